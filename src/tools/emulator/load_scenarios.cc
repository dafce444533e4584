#include "emulator/scenario.h"

namespace poplarsail::emulator {

namespace {

using namespace std::chrono_literals;

constexpr SteadyTime kBusyBegin = kSimulationStart + 4s;
constexpr WorkDistribution kHeavyTail{0.5, 0.03, 7};
constexpr WorkDistribution kNoTail{0.5, 0, 1};
// Demand outside of bursts, relative to the capacity.
constexpr double kOrdinaryDemand = 0.37;
constexpr size_t kUpstreams = 120;
constexpr size_t kSlots = 2;
constexpr double kMeanSpeed = (0.55 + 3 * 1.2) / 4;

// Sets the rates of the kinds so that their work is the ordinary demand and
// their numbers are proportional to the present rates.
void ScaleRates(std::vector<RequestKind>* kinds) {
  double work_seconds = 0;
  for (const RequestKind& kind : *kinds) {
    work_seconds += kind.requests_per_second *
                    std::chrono::duration<double>(kind.work).count();
  }
  for (RequestKind& kind : *kinds) {
    kind.requests_per_second *=
        kOrdinaryDemand * kUpstreams * kSlots * kMeanSpeed / work_seconds;
  }
}

RequestKind MakeKind(const std::string& name,
                     uint32_t priority,
                     double share,
                     milliseconds work,
                     milliseconds latency_target,
                     milliseconds timeout) {
  RequestKind kind;
  kind.name = name;
  kind.requests_per_second = share;
  kind.work = work;
  kind.latency_target = latency_target;
  kind.timeout = timeout;
  kind.late_utility = 0.1;
  kind.reuses_flows = false;
  kind.priority = priority;
  kind.distribution = kHeavyTail;
  return kind;
}

Scenario MakeScenario(const std::string& name,
                      const std::vector<Disturbance>& disturbances,
                      SteadyTime::duration busy_time = 6s) {
  Scenario scenario;
  scenario.name = name;
  scenario.hosts = 57;
  scenario.services = {{"tally", kUpstreams, {0.55, 1.2, 1.2, 1.2}}};
  // The tail is late on the slowest upstreams, and in time on the others. At
  // twice the capacity, the first two kinds need 0.8 of it.
  scenario.kinds = {MakeKind("alert", 0, 0.15, 20ms, 180ms, 500ms),
                    MakeKind("entry", 1, 0.25, 22ms, 220ms, 600ms),
                    MakeKind("fetch", 2, 0.60, 22ms, 260ms, 1'500ms)};
  scenario.kinds[1].is_idempotent = false;
  ScaleRates(&scenario.kinds);
  scenario.disturbances = disturbances;
  scenario.cold_factor = 1.6;
  scenario.cold_time = 2'000ms;
  scenario.drain_time = 1'000ms;
  scenario.is_schedulable = true;
  scenario.busy_begin = kBusyBegin;
  scenario.busy_end = kBusyBegin + busy_time;
  scenario.length = scenario.busy_end + 2s - kSimulationStart;
  return scenario;
}

Disturbance MakeDemand(double demand, milliseconds length = 6'000ms) {
  return {DisturbanceKind::kBurst, kBusyBegin, length,
          demand / kOrdinaryDemand};
}

// One listener's requests cost 20 times those of the other.
Scenario MakeCostRatioScenario() {
  Scenario scenario = MakeScenario("cost-1-20", {MakeDemand(0.9)});
  scenario.kinds = {MakeKind("small", 0, 0.9, 6ms, 150ms, 600ms),
                    MakeKind("large", 1, 0.1, 120ms, 2'000ms, 4'000ms)};
  ScaleRates(&scenario.kinds);
  return scenario;
}

Scenario WithoutTail(Scenario scenario) {
  for (RequestKind& kind : scenario.kinds) {
    kind.distribution = kNoTail;
  }
  return scenario;
}

}  // namespace

std::vector<Scenario> LoadScenarios() {
  return {
      // Longer, since the work of few requests has a large variance.
      MakeScenario("demand-37", {}, 16s),
      MakeScenario("demand-60", {MakeDemand(0.6)}),
      MakeScenario("demand-90", {MakeDemand(0.9)}),
      WithoutTail(MakeScenario("no-tail-90", {MakeDemand(0.9)})),
      MakeScenario("demand-200", {MakeDemand(2)}),
      MakeScenario("slow-upstreams",
                   {{DisturbanceKind::kSlow, kBusyBegin, 6'000ms, 6, 6},
                    MakeDemand(0.6)}),
      MakeScenario("fast-errors",
                   {{DisturbanceKind::kFastErrors, kBusyBegin, 6'000ms, 1, 4},
                    MakeDemand(0.6)}),
      MakeScenario("drift",
                   {{DisturbanceKind::kDrift, kBusyBegin, 10'000ms, 2}}, 12s),
      MakeCostRatioScenario(),
      MakeScenario("domain-waves",
                   {{DisturbanceKind::kDomainWaves, kBusyBegin, 3'000ms, 0.6},
                    MakeDemand(0.75)}),
      MakeScenario("moved-callers",
                   {{DisturbanceKind::kShift, kBusyBegin, 6'000ms, 0.5},
                    MakeDemand(0.75)}),
      MakeScenario(
          "rolling-release",
          {{DisturbanceKind::kRollingRelease, kBusyBegin, 500ms, 0.4, 6}}, 8s),
  };
}

}  // namespace poplarsail::emulator
