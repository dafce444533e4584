#include "emulator/run.h"

#include <algorithm>
#include <numeric>

#include "emulator/callers.h"
#include "emulator/fleet.h"

namespace poplarsail::emulator {

namespace {

double Imbalance(const std::vector<uint64_t>& runs) {
  if (runs.empty()) {
    return 0;
  }
  const auto sum = std::accumulate(runs.begin(), runs.end(), uint64_t{0});
  const auto busiest = *std::max_element(runs.begin(), runs.end());
  return sum == 0 ? 0
                  : static_cast<double>(busiest * runs.size()) /
                        static_cast<double>(sum);
}

uint64_t Sum(const std::vector<uint64_t>& runs) {
  return std::accumulate(runs.begin(), runs.end(), uint64_t{0});
}

// Requests a second that the upstreams of the first service bear.
double Capacity(const Scenario& scenario) {
  double work_seconds = 0;
  double per_second = 0;
  for (const RequestKind& kind : scenario.kinds) {
    if (kind.service == 0) {
      work_seconds +=
          kind.per_second * std::chrono::duration<double>(kind.work).count();
      per_second += kind.per_second;
    }
  }
  return static_cast<double>(scenario.services.front().upstreams * kSlots) *
         per_second / work_seconds;
}

}  // namespace

Report Run(const Scenario& scenario,
           const PlacementFactory& placement,
           uint64_t seed) {
  EventQueue events;
  Recorder recorder;
  Fleet fleet(&events, scenario, placement, seed);
  Callers callers(&events, scenario, &fleet, &recorder, seed + 1);
  fleet.set_on_flow_to_crashed([&recorder](SteadyTime::duration since) {
    recorder.AddFlowToCrashed(since);
  });
  double goodput = 0;
  for (const Trouble& trouble : scenario.troubles) {
    events.At(trouble.begin, [&fleet, &trouble]() { fleet.Begin(trouble); });
    if (trouble.kind != TroubleKind::kBurst) {
      continue;
    }
    events.At(trouble.begin + trouble.length, [&, runs = &goodput]() {
      *runs += static_cast<double>(Sum(fleet.RunsOf(0)));
    });
    events.At(trouble.begin, [&, runs = &goodput]() {
      *runs -= static_cast<double>(Sum(fleet.RunsOf(0)));
    });
  }
  callers.Start();
  events.RunUntil(kStartOfTime + scenario.length);
  Report report =
      recorder.Summarize(scenario.kinds.size(), scenario.failure_domains);
  report.imbalance = Imbalance(fleet.RunsOf(0));
  for (const Trouble& trouble : scenario.troubles) {
    if (trouble.kind == TroubleKind::kBurst) {
      const std::chrono::duration<double> length = trouble.length;
      report.goodput = goodput / length.count() / Capacity(scenario);
    }
  }
  return report;
}

}  // namespace poplarsail::emulator
