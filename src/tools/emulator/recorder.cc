#include "emulator/recorder.h"

#include <algorithm>

#include "emulator/percentile.h"

namespace poplarsail::emulator {

namespace {

// Accumulates the mean utility of a set of requests.
struct MeanUtility {
  double utility = 0;
  uint64_t requests = 0;

  void Add(double added) {
    utility += added;
    ++requests;
  }
  double value() const {
    return requests == 0 ? 1.0 : utility / static_cast<double>(requests);
  }
};

std::vector<double> MeanValues(const std::vector<MeanUtility>& means) {
  std::vector<double> values;
  for (const MeanUtility& mean : means) {
    values.push_back(mean.value());
  }
  return values;
}

double MinValue(const std::vector<double>& values) {
  return values.empty() ? 1.0 : *std::min_element(values.begin(), values.end());
}

double ToMs(SteadyTime::duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace

Report Recorder::Summarize(size_t kinds, size_t failure_domains) const {
  MeanUtility all;
  std::vector<MeanUtility> by_window;
  std::vector<MeanUtility> by_kind(kinds);
  std::vector<MeanUtility> by_domain(failure_domains);
  uint64_t attempts = 0;
  std::vector<double> durations;
  for (const RequestOutcome& outcome : m_outcomes) {
    const auto window =
        static_cast<size_t>((outcome.begin - kSimulationStart) / kReportWindow);
    by_window.resize(std::max(by_window.size(), window + 1));
    by_window[window].Add(outcome.utility);
    by_kind[outcome.kind].Add(outcome.utility);
    by_domain[outcome.failure_domain].Add(outcome.utility);
    all.Add(outcome.utility);
    attempts += outcome.attempts;
    if (outcome.utility > 0) {
      durations.push_back(static_cast<double>(outcome.duration.count()));
    }
  }
  std::vector<double> after_crash;
  for (const SteadyTime::duration since : m_flows_to_crashed) {
    after_crash.push_back(ToMs(since));
  }
  Report report;
  report.requests = all.requests;
  report.served = all.value();
  report.by_window = MeanValues(by_window);
  report.by_kind = MeanValues(by_kind);
  report.worst_window = MinValue(report.by_window);
  report.worst_kind = MinValue(report.by_kind);
  report.worst_domain = MinValue(MeanValues(by_domain));
  report.attempts_per_request =
      all.requests == 0
          ? 0
          : static_cast<double>(attempts) / static_cast<double>(all.requests);
  report.p99_ms = Percentile(durations, 99);
  report.last_flow_after_crash_ms = Percentile(after_crash, 99);
  return report;
}

}  // namespace poplarsail::emulator
