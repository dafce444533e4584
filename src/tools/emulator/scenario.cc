#include "emulator/scenario.h"

namespace poplarsail::emulator {

namespace {

using namespace std::chrono_literals;

// Load and upstreams like those of the observers' small site.
Scenario MakeBaseScenario(const std::string& name) {
  Scenario scenario;
  scenario.name = name;
  scenario.services = {{"tally", 14, {}}, {"archive", 4, {}}};
  scenario.kinds = {
      {"shower-alert", 0, 292, 15ms, 120ms, 500ms, 0.1, true, true, 0, {}},
      {"count-entry", 0, 83, 20ms, 150ms, 600ms, 0.2, false, true, 0, {}},
      {"sheet-fetch", 1, 25, 5ms, 500ms, 3'000ms, 0.1, true, false, 0, {}}};
  return scenario;
}

Scenario MakeScenario(const std::string& name,
                      const std::vector<Disturbance>& disturbances) {
  Scenario scenario = MakeBaseScenario(name);
  scenario.disturbances = disturbances;
  return scenario;
}

}  // namespace

std::vector<Scenario> StandardScenarios() {
  const SteadyTime begin = kSimulationStart + 10s;
  return {
      MakeScenario("quiet", {}),
      MakeScenario("waves", {{DisturbanceKind::kWaves, begin, 6'000ms, 0.6}}),
      MakeScenario("burst-3", {{DisturbanceKind::kBurst, begin, 4'000ms, 3}}),
      MakeScenario("burst-10", {{DisturbanceKind::kBurst, begin, 4'000ms, 10}}),
      // Three times the capacity of the upstreams.
      MakeScenario("overload", {{DisturbanceKind::kBurst, begin, 6'000ms, 14}}),
      MakeScenario("shift", {{DisturbanceKind::kShift, begin, 8'000ms, 1}}),
      MakeScenario("crash", {{DisturbanceKind::kCrash, begin, 0ms, 1, 3}}),
      MakeScenario("domain-crash",
                   {{DisturbanceKind::kDomainCrash, begin, 6'000ms}}),
      MakeScenario("reuse",
                   {{DisturbanceKind::kAddressReuse, begin, 6'000ms, 1, 3}}),
      MakeScenario("flap", {{DisturbanceKind::kFlap, begin, 8'000ms, 1.5, 3}}),
      MakeScenario("slow", {{DisturbanceKind::kSlow, begin, 8'000ms, 6, 3}}),
      MakeScenario("release",
                   {{DisturbanceKind::kRelease, begin, 600ms, 1, 2}}),
      MakeScenario("restart-all",
                   {{DisturbanceKind::kRestartAll, begin, 1'000ms}}),
  };
}

}  // namespace poplarsail::emulator
