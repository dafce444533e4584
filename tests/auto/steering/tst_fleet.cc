#include <catch2/catch.hpp>

#include <algorithm>

#include "measure/packet_cases.h"

// Broken flows that were found by scripts/measure packets, each with its seed.
namespace poplarsail::measure {
namespace {

FleetResult RunCase(const std::string& name, uint64_t seed) {
  const auto& cases = PacketCases();
  const auto found =
      std::find_if(cases.begin(), cases.end(),
                   [&](const PacketCase& item) { return item.name == name; });
  REQUIRE(found != cases.end());
  FleetOptions options;
  options.seed = seed;
  options.length_ms = found->length_ms;
  return FleetSimulation(SteeringStrategy::kReplicas, options, found->events)
      .Run();
}

TEST_CASE("the only entry host of a domain leaves with its flow records") {
  FleetOptions options;
  options.hosts = 4;
  options.open_flows = 5'000;
  options.new_flows_per_second = 500;
  options.length_ms = 60'000;
  const FleetResult result =
      FleetSimulation(SteeringStrategy::kReplicas, options,
                      {{5'000, EventKind::kDrain, 3},
                       {20'000, EventKind::kHostLeaves, 1},
                       {30'000, EventKind::kHostJoins, 4}})
          .Run();
  CHECK(result.broken_flows == 0);
}

TEST_CASE("new flows begin while hosts learn late of a domain's take-out") {
  const FleetResult result = RunCase("take-out", 1);
  CHECK(result.broken_flows == 0);
  CHECK(result.abandoned_flows > 0);
}

TEST_CASE("a domain's hosts and upstreams return at once") {
  CHECK(RunCase("add+take-out", 1).broken_flows == 0);
}

TEST_CASE("a new keeper that does not know all flows decides alone") {
  CHECK(RunCase("cold+host-joins", 1).broken_flows == 0);
}

TEST_CASE("a keeper of two domains sends the copy to the deciding one") {
  CHECK(RunCase("chain-of-20", 4).broken_flows == 0);
}

TEST_CASE("a drained upstream gets no new flow after three seconds") {
  const FleetResult result = RunCase("drain", 1);
  CHECK(result.last_new_flow_ms <= 3'000);
}

// The control: without keepers the same seeds do break flows.
TEST_CASE("the history way breaks flows in the same run") {
  FleetOptions options;
  options.open_flows = 3'000;
  options.new_flows_per_second = 300;
  options.length_ms = 30'000;
  const FleetResult result =
      FleetSimulation(SteeringStrategy::kHistory, options,
                      {{5'000, EventKind::kDrain, 3}})
          .Run();
  CHECK(result.broken_flows > 0);
}

}  // namespace
}  // namespace poplarsail::measure
