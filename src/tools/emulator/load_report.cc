#include "emulator/load_report.h"

#include <algorithm>

#include "emulator/percentile.h"

namespace poplarsail::emulator {

namespace {

KindReport SummarizeKind(const std::string& name,
                         const std::vector<RequestOutcome>& outcomes) {
  KindReport report;
  report.name = name;
  if (outcomes.empty()) {
    return report;
  }
  std::vector<double> durations;
  for (const RequestOutcome& outcome : outcomes) {
    report.in_target += outcome.utility == 1 ? 1 : 0;
    report.refused += outcome.ending == Ending::kRefused ? 1 : 0;
    report.failed += outcome.ending == Ending::kFailed ? 1 : 0;
    if (outcome.ending == Ending::kAnswered) {
      durations.push_back(static_cast<double>(outcome.duration.count()));
    }
  }
  const auto count = static_cast<double>(outcomes.size());
  report.in_target /= count;
  report.refused /= count;
  report.failed /= count;
  report.p50_ms = Percentile(durations, 50);
  report.p99_ms = Percentile(std::move(durations), 99);
  return report;
}

double BusiestOverMean(const UpstreamTotals& begin, const UpstreamTotals& end) {
  std::vector<double> busy_seconds;
  for (const auto& [id, busy_time] : end.busy_time) {
    const auto before = begin.busy_time.find(id);
    // Upstreams that started or ended meanwhile aren't comparable.
    if (before != begin.busy_time.end()) {
      busy_seconds.push_back((busy_time - before->second).count());
    }
  }
  double sum = 0;
  for (const double seconds : busy_seconds) {
    sum += seconds;
  }
  return sum == 0
             ? 0
             : *std::max_element(busy_seconds.begin(), busy_seconds.end()) *
                   static_cast<double>(busy_seconds.size()) / sum;
}

}  // namespace

LoadReport SummarizeLoad(const Scenario& scenario,
                         const std::vector<RequestOutcome>& outcomes,
                         const UpstreamTotals& begin,
                         const UpstreamTotals& end) {
  std::vector<RequestOutcome> all;
  std::vector<std::vector<RequestOutcome>> by_kind(scenario.kinds.size());
  std::vector<double> refusal_ms;
  std::chrono::duration<double> answered_work{0};
  std::chrono::duration<double> work_in_target{0};
  for (const RequestOutcome& outcome : outcomes) {
    const SteadyTime finished = outcome.begin + outcome.duration;
    if (outcome.ending == Ending::kAnswered &&
        finished >= scenario.busy_begin && finished < scenario.busy_end) {
      answered_work += outcome.work;
      work_in_target +=
          outcome.utility == 1 ? outcome.work : SteadyTime::duration::zero();
    }
    if (outcome.begin < scenario.busy_begin ||
        outcome.begin >= scenario.busy_end) {
      continue;
    }
    all.push_back(outcome);
    by_kind[outcome.kind].push_back(outcome);
    if (outcome.ending == Ending::kRefused) {
      refusal_ms.push_back(static_cast<double>(outcome.duration.count()));
    }
  }
  LoadReport report;
  for (size_t kind = 0; kind < by_kind.size(); ++kind) {
    report.kinds.push_back(
        SummarizeKind(scenario.kinds[kind].name, by_kind[kind]));
  }
  report.all = SummarizeKind("all", all);
  const auto arrivals = static_cast<double>(end.arrivals - begin.arrivals);
  report.sheds_per_arrival =
      arrivals == 0 ? 0
                    : static_cast<double>(end.sheds - begin.sheds) / arrivals;
  const std::chrono::duration<double> length =
      scenario.busy_end - scenario.busy_begin;
  report.goodput = answered_work / length / begin.capacity;
  report.goodput_in_target = work_in_target / length / begin.capacity;
  report.busiest_over_mean = BusiestOverMean(begin, end);
  report.refusal_p99_ms = Percentile(std::move(refusal_ms), 99);
  return report;
}

}  // namespace poplarsail::emulator
