#include "emulator/recorder.h"

#include <algorithm>

namespace poplarsail::emulator {

namespace {

// Worth and number of some requests.
struct Share {
  double worth = 0;
  uint64_t requests = 0;

  void Add(double added) {
    worth += added;
    ++requests;
  }
  double value() const {
    return requests == 0 ? 1.0 : worth / static_cast<double>(requests);
  }
};

std::vector<double> Values(const std::vector<Share>& shares) {
  std::vector<double> values;
  for (const Share& share : shares) {
    values.push_back(share.value());
  }
  return values;
}

double Least(const std::vector<double>& values) {
  return values.empty() ? 1.0 : *std::min_element(values.begin(), values.end());
}

// The value that 99 of 100 do not exceed; 0 where there is none.
double Percentile99(std::vector<double> values) {
  if (values.empty()) {
    return 0;
  }
  const size_t rank = (values.size() - 1) * 99 / 100;
  std::nth_element(values.begin(), values.begin() + static_cast<int64_t>(rank),
                   values.end());
  return values[rank];
}

double ToMs(SteadyTime::duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace

Report Recorder::Summarize(size_t kinds, size_t failure_domains) const {
  Share all;
  std::vector<Share> by_window;
  std::vector<Share> by_kind(kinds);
  std::vector<Share> by_domain(failure_domains);
  uint64_t tries = 0;
  std::vector<double> durations;
  for (const RequestOutcome& outcome : m_outcomes) {
    const auto window =
        static_cast<size_t>((outcome.begin - kStartOfTime) / kWindow);
    by_window.resize(std::max(by_window.size(), window + 1));
    by_window[window].Add(outcome.worth);
    by_kind[outcome.kind].Add(outcome.worth);
    by_domain[outcome.failure_domain].Add(outcome.worth);
    all.Add(outcome.worth);
    tries += outcome.tries;
    if (outcome.worth > 0) {
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
  report.by_window = Values(by_window);
  report.by_kind = Values(by_kind);
  report.worst_window = Least(report.by_window);
  report.worst_kind = Least(report.by_kind);
  report.worst_domain = Least(Values(by_domain));
  report.tries_a_request =
      all.requests == 0
          ? 0
          : static_cast<double>(tries) / static_cast<double>(all.requests);
  report.p99_ms = Percentile99(durations);
  report.last_flow_after_crash_ms = Percentile99(after_crash);
  return report;
}

}  // namespace poplarsail::emulator
