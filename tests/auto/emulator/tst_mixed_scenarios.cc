// A service with flows of many requests and flows of one, under the load shapes
// of docs/design/overload-of-open-flows.md.
#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

#include "emulator/emulator.h"

namespace poplarsail::emulator {
namespace {

// Index of the urgent kind of requests, each on a flow of its own.
constexpr size_t kQuote = 1;

LoadReport RunMixed(const std::string& name, uint64_t seed) {
  const auto scenarios = MixedScenarios();
  const auto scenario =
      std::find_if(scenarios.begin(), scenarios.end(),
                   [&](const Scenario& s) { return s.name == name; });
  REQUIRE(scenario != scenarios.end());
  const auto policies = AllPlacementPolicies();
  const auto local_first = std::find_if(
      policies.begin(), policies.end(),
      [](const auto& policy) { return policy.name == "local-first"; });
  REQUIRE(local_first != policies.end());
  return Run(*scenario, local_first->factory, seed).load;
}

// Without admission: 0.41 in time at 1.5 times the capacity, 0.66 of the
// arrivals refused by upstreams.
TEST_CASE("Returning callers leave room for first requests") {
  for (const uint64_t seed : {1, 2, 3}) {
    CAPTURE(seed);
    const LoadReport load = RunMixed("mixed-150", seed);
    CHECK(load.all.in_target > 0.5);
    CHECK(load.kinds.at(kQuote).in_target > 0.7);
    CHECK(load.sheds_per_arrival < 0.4);
    CHECK(load.goodput > 0.95);
  }
}

TEST_CASE("Nothing is refused while there is room") {
  for (const uint64_t seed : {1, 2, 3}) {
    CAPTURE(seed);
    CHECK(RunMixed("mixed-60", seed).all.refused == 0);
    CHECK(RunMixed("mixed-90", seed).all.refused < 0.005);
    CHECK(RunMixed("mixed-slow", seed).all.refused < 0.01);
  }
}

// In KNOWN-RED.txt: the test program tst_mixed_overload runs it.
TEST_CASE("At twice the capacity, the urgent are served", "[.overload]") {
  const LoadReport load = RunMixed("mixed-200", 1);
  CHECK(load.goodput_in_target >= 0.9);
  CHECK(load.kinds.at(kQuote).in_target >= 0.98);
  CHECK(load.sheds_per_arrival < 0.05);
  CHECK(load.all.failed < 0.001);
}

}  // namespace
}  // namespace poplarsail::emulator
