#ifndef EMULATOR_RECORDER_H_
#define EMULATOR_RECORDER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "emulator/event_queue.h"

namespace poplarsail::emulator {

// Service is told for windows of this length.
inline constexpr std::chrono::seconds kWindow{2};

// One request from its first try to its end.
struct RequestOutcome {
  SteadyTime begin;
  size_t kind = 0;
  size_t failure_domain = 0;
  // 1 within the aim, less when late, 0 where it failed.
  double worth = 0;
  milliseconds duration{0};
  uint32_t tries = 0;
};

// What a run of a scenario came to.
struct Report {
  uint64_t requests = 0;
  // Shares of the requests' worth.
  double served = 0;
  double worst_window = 1;
  double worst_domain = 1;
  double worst_kind = 1;
  double tries_a_request = 0;
  double p99_ms = 0;
  // Busiest upstream of the first service over their mean, by requests run.
  double imbalance = 0;
  // Requests run a second over what the upstreams bear, while load lasts.
  double goodput = 0;
  // From a crash to the last new flow sent there, at the 99th percentile.
  double last_flow_after_crash_ms = 0;
  std::vector<double> by_window;
  std::vector<double> by_kind;

  friend bool operator==(const Report&, const Report&) = default;
};

// Collects outcomes and sums them up.
class Recorder {
 public:
  void Add(const RequestOutcome& outcome) { m_outcomes.push_back(outcome); }
  void AddFlowToCrashed(SteadyTime::duration since_crash) {
    m_flows_to_crashed.push_back(since_crash);
  }

  Report Summarize(size_t kinds, size_t failure_domains) const;

 private:
  std::vector<RequestOutcome> m_outcomes;
  std::vector<SteadyTime::duration> m_flows_to_crashed;
};

}  // namespace poplarsail::emulator

#endif  // EMULATOR_RECORDER_H_
