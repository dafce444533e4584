#ifndef EMULATOR_RECORDER_H_
#define EMULATOR_RECORDER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "emulator/event_queue.h"
#include "emulator/load_report.h"
#include "emulator/request_outcome.h"

namespace poplarsail::emulator {

// Utility is averaged over windows of this length.
inline constexpr std::chrono::seconds kReportWindow{2};

// The results of one run of a scenario.
struct Report {
  uint64_t requests = 0;
  // Mean utility per request: overall, and of the worst window, failure domain
  // and request kind.
  double served = 0;
  double worst_window = 1;
  double worst_domain = 1;
  double worst_kind = 1;
  double attempts_per_request = 0;
  double p99_ms = 0;
  // Requests processed by the busiest upstream of the first service, divided by
  // the mean of all its upstreams.
  double imbalance = 0;
  // Rate of processed requests during a burst, relative to the capacity of the
  // upstreams of the first service.
  double goodput = 0;
  // 99th percentile of the time between the crash of an upstream and a new flow
  // sent to it.
  double last_flow_after_crash_ms = 0;
  std::vector<double> by_window;
  std::vector<double> by_kind;
  LoadReport load;

  friend bool operator==(const Report&, const Report&) = default;
};

// Collects request outcomes and summarizes them in a report.
class Recorder {
 public:
  void Add(const RequestOutcome& outcome) { m_outcomes.push_back(outcome); }
  void AddFlowToCrashed(SteadyTime::duration since_crash) {
    m_flows_to_crashed.push_back(since_crash);
  }

  const std::vector<RequestOutcome>& outcomes() const { return m_outcomes; }

  Report Summarize(size_t kinds, size_t failure_domains) const;

 private:
  std::vector<RequestOutcome> m_outcomes;
  std::vector<SteadyTime::duration> m_flows_to_crashed;
};

}  // namespace poplarsail::emulator

#endif  // EMULATOR_RECORDER_H_
