#include "emulator/scenario.h"

namespace poplarsail::emulator {

namespace {

using namespace std::chrono_literals;

// Callers and upstreams like those of the observers' small site.
Scenario Base(const std::string& name) {
  Scenario scenario;
  scenario.name = name;
  scenario.services = {{"tally", 14}, {"archive", 4}};
  scenario.kinds = {
      {"shower-alert", 0, 292, 15ms, 120ms, 500ms, 0.1, true, true},
      {"count-entry", 0, 83, 20ms, 150ms, 600ms, 0.2, false, true},
      {"sheet-fetch", 1, 25, 5ms, 500ms, 3'000ms, 0.1, true, false}};
  return scenario;
}

Scenario With(const std::string& name, const std::vector<Trouble>& troubles) {
  Scenario scenario = Base(name);
  scenario.troubles = troubles;
  return scenario;
}

}  // namespace

std::vector<Scenario> StandardScenarios() {
  const SteadyTime begin = kStartOfTime + 10s;
  return {
      With("quiet", {}),
      With("waves", {{TroubleKind::kWaves, begin, 6'000ms, 0.6}}),
      With("burst-3", {{TroubleKind::kBurst, begin, 4'000ms, 3}}),
      With("burst-10", {{TroubleKind::kBurst, begin, 4'000ms, 10}}),
      // Three times what the upstreams bear.
      With("overload", {{TroubleKind::kBurst, begin, 6'000ms, 14}}),
      With("shift", {{TroubleKind::kShift, begin, 8'000ms, 1}}),
      With("crash", {{TroubleKind::kCrash, begin, 0ms, 1, 3}}),
      With("domain-crash", {{TroubleKind::kDomainCrash, begin, 6'000ms}}),
      With("reuse", {{TroubleKind::kReuse, begin, 6'000ms, 1, 3}}),
      With("flap", {{TroubleKind::kFlap, begin, 8'000ms, 1.5, 3}}),
      With("slow", {{TroubleKind::kSlow, begin, 8'000ms, 6, 3}}),
      With("release", {{TroubleKind::kRelease, begin, 600ms, 1, 2}}),
      With("restart-all", {{TroubleKind::kRestartAll, begin, 1'000ms}}),
  };
}

}  // namespace poplarsail::emulator
