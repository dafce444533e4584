#include "emulator/run.h"

#include <algorithm>
#include <numeric>

#include "emulator/clients.h"
#include "emulator/fleet.h"

namespace poplarsail::emulator {

namespace {

double Imbalance(const std::vector<uint64_t>& completed) {
  if (completed.empty()) {
    return 0;
  }
  const auto sum =
      std::accumulate(completed.begin(), completed.end(), uint64_t{0});
  const auto busiest = *std::max_element(completed.begin(), completed.end());
  return sum == 0 ? 0
                  : static_cast<double>(busiest * completed.size()) /
                        static_cast<double>(sum);
}

uint64_t Sum(const std::vector<uint64_t>& completed) {
  return std::accumulate(completed.begin(), completed.end(), uint64_t{0});
}

// Returns the requests per second that the first service's upstreams sustain.
double Capacity(const Scenario& scenario) {
  double work_seconds = 0;
  double requests_per_second = 0;
  for (const RequestKind& kind : scenario.kinds) {
    if (kind.service == 0) {
      work_seconds += kind.requests_per_second *
                      std::chrono::duration<double>(kind.work).count();
      requests_per_second += kind.requests_per_second;
    }
  }
  return static_cast<double>(scenario.services.front().upstreams *
                             kMaxConcurrentRequests) *
         requests_per_second / work_seconds;
}

}  // namespace

Report Run(const Scenario& scenario,
           const PlacementFactory& placement,
           uint64_t seed,
           SchedulingMode mode) {
  EventQueue events;
  Recorder recorder;
  Fleet fleet(&events, scenario, placement, seed, mode);
  Clients clients(&events, scenario, &fleet, &recorder, seed + 1);
  fleet.set_on_flow_to_crashed([&recorder](SteadyTime::duration since) {
    recorder.AddFlowToCrashed(since);
  });
  double completed_in_burst = 0;
  for (const Disturbance& disturbance : scenario.disturbances) {
    events.ScheduleAt(disturbance.begin, [&fleet, &disturbance]() {
      fleet.StartDisturbance(disturbance);
    });
    if (disturbance.kind != DisturbanceKind::kBurst) {
      continue;
    }
    events.ScheduleAt(
        disturbance.begin + disturbance.length,
        [&, total = &completed_in_burst]() {
          *total += static_cast<double>(Sum(fleet.CompletedRequests(0)));
        });
    events.ScheduleAt(disturbance.begin, [&, total = &completed_in_burst]() {
      *total -= static_cast<double>(Sum(fleet.CompletedRequests(0)));
    });
  }
  UpstreamTotals busy_begin;
  UpstreamTotals busy_end;
  events.ScheduleAt(scenario.busy_begin,
                    [&]() { busy_begin = fleet.Totals(0); });
  events.ScheduleAt(scenario.busy_end, [&]() { busy_end = fleet.Totals(0); });
  clients.Start();
  events.RunUntil(kSimulationStart + scenario.length);
  Report report =
      recorder.Summarize(scenario.kinds.size(), scenario.failure_domains);
  report.imbalance = Imbalance(fleet.CompletedRequests(0));
  for (const Disturbance& disturbance : scenario.disturbances) {
    if (disturbance.kind == DisturbanceKind::kBurst) {
      const std::chrono::duration<double> length = disturbance.length;
      report.goodput = completed_in_burst / length.count() / Capacity(scenario);
    }
  }
  report.load =
      SummarizeLoad(scenario, recorder.outcomes(), busy_begin, busy_end);
  return report;
}

}  // namespace poplarsail::emulator
