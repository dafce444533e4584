#include "emulator/scenario.h"

namespace poplarsail::emulator {

namespace {

using namespace std::chrono_literals;

constexpr SteadyTime kBusyBegin = kSimulationStart + 8s;
constexpr SteadyTime::duration kBusyTime = 6s;
constexpr WorkDistribution kWork{0.5, 0, 1};
// Demand of the base rates, relative to the capacity of the first service.
constexpr double kBaseDemand = 0.215;

// `demand` relative to the capacity of the first service.
Scenario MakeScenario(const std::string& name, double demand) {
  Scenario scenario;
  scenario.name = name;
  scenario.length = 20s;
  scenario.services = {{"orders", 14, {}}, {"drawings", 4, {}}};
  RequestKind feed{"feed", 0,    292,  15ms, 120ms, 1'500ms,
                   0.3,    true, true, 2,    kWork};
  RequestKind quote{"quote", 0,     83,    20ms, 150ms, 2'000ms,
                    0.3,     false, false, 1,    kWork};
  RequestKind drawing{"drawing", 1,    25,    5ms, 500ms, 8'000ms,
                      0.3,       true, false, 2,   kWork};
  scenario.kinds = {feed, quote, drawing};
  scenario.has_listener_per_kind = true;
  scenario.retry_delay = 50ms;
  scenario.busy_begin = kBusyBegin;
  scenario.busy_end = kBusyBegin + kBusyTime;
  scenario.disturbances = {{DisturbanceKind::kBurst, kBusyBegin,
                            std::chrono::duration_cast<milliseconds>(kBusyTime),
                            demand / kBaseDemand}};
  return scenario;
}

}  // namespace

std::vector<Scenario> MixedScenarios() {
  Scenario slow = MakeScenario("mixed-slow", 0.6);
  slow.disturbances.push_back(
      {DisturbanceKind::kSlow, kBusyBegin,
       std::chrono::duration_cast<milliseconds>(kBusyTime), 6, 4});
  return {MakeScenario("mixed-60", 0.6), MakeScenario("mixed-90", 0.9),
          MakeScenario("mixed-150", 1.5), MakeScenario("mixed-200", 2.0), slow};
}

}  // namespace poplarsail::emulator
