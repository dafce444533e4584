#include <catch2/catch.hpp>

#include <map>

#include "flow_fixture.h"

namespace poplarsail::flows {
namespace {

// Opens `count` flows and returns how many each upstream got.
std::map<uint64_t, int> PlaceFlows(FlowFixture* fixture, uint16_t count) {
  std::map<uint64_t, int> placed;
  for (uint16_t port = 1; port <= count; ++port) {
    const Decision decision =
        fixture->steering.Decide(FlowFixture::Syn(port), fixture->now);
    if (decision.action == Action::kForward) {
      ++placed[decision.upstream->record.id];
    }
    fixture->now += 1ms;
  }
  return placed;
}

TEST_CASE(
    "Flows spread evenly over the upstreams of the local failure domain") {
  FlowFixture fixture;
  for (uint64_t id = 1; id <= 5; ++id) {
    fixture.AddUpstream(id);
  }
  fixture.AddUpstream(9, "tally", "brandon");
  const auto placed = PlaceFlows(&fixture, 100);
  for (uint64_t id = 1; id <= 5; ++id) {
    CHECK(placed.at(id) >= 16);
    CHECK(placed.at(id) <= 22);
  }
}

TEST_CASE("Flows spill over before the last local upstream is overloaded") {
  FlowFixture fixture;
  fixture.AddUpstream(1);
  for (uint64_t id = 2; id <= 9; ++id) {
    fixture.AddUpstream(id, "tally", "brandon");
  }
  const auto placed = PlaceFlows(&fixture, 60);
  CHECK(placed.at(1) < 25);
  CHECK(placed.at(1) > 8);
}

TEST_CASE("Without a local upstream all flows go to other failure domains") {
  FlowFixture fixture;
  fixture.AddUpstream(1, "tally", "brandon");
  fixture.AddUpstream(2, "tally", "saskatoon");
  const auto placed = PlaceFlows(&fixture, 20);
  CHECK(placed.at(1) + placed.at(2) == 20);
}

TEST_CASE("Draining and evacuated upstreams get no new flows") {
  FlowFixture fixture;
  fixture.AddUpstream(1);
  auto draining = FlowFixture::MakeUpstream(2, "tally", "regina");
  draining.phase = cluster_state::UpstreamPhase::kDraining;
  fixture.PutUpstream(draining);
  fixture.AddUpstream(3, "tally", "brandon");
  fixture.Evacuate("brandon");
  const auto placed = PlaceFlows(&fixture, 20);
  CHECK(placed == std::map<uint64_t, int>{{1, 20}});
}

// Hosts of an evacuated domain that was then cut off sent each new flow to the
// other domains, and a quarter of the requests failed (zlab-west, an evacuation
// at 22 s and a cut from 33 to 37 s).
TEST_CASE("A host that reaches nothing else uses its evacuated upstreams") {
  FlowFixture fixture;
  fixture.AddUpstream(1);
  fixture.AddUpstream(2, "tally", "brandon");
  fixture.AddUpstream(3, "tally", "saskatoon");
  fixture.Evacuate("regina");
  fixture.Evacuate("saskatoon");
  fixture.steering.set_registrations_current(false);
  SECTION("not while another domain responds") {
    CHECK(PlaceFlows(&fixture, 20) == std::map<uint64_t, int>{{2, 20}});
  }
  SECTION("once the other domain fails its checks") {
    fixture.steering.HandleFailureReport(2, fixture.now);
    fixture.now += 90ms;
    fixture.steering.HandleCheckResult(2, CheckOutcome::kNoResponse,
                                       fixture.now);
    CHECK(PlaceFlows(&fixture, 20) == std::map<uint64_t, int>{{1, 20}});
    SECTION("until the store is reachable") {
      fixture.steering.set_registrations_current(true);
      CHECK(PlaceFlows(&fixture, 20) == std::map<uint64_t, int>{{2, 20}});
    }
    SECTION("until the other domain responds") {
      fixture.now += 1s;
      fixture.steering.Decide(
          FlowFixture::Data(900, MakeTag(kTallyListener, TagBase(2)), 101, 500),
          fixture.now);
      fixture.now += 10ms;
      fixture.AcknowledgeResponse(900, MakeTag(kTallyListener, TagBase(2)));
      CHECK(PlaceFlows(&fixture, 20) == std::map<uint64_t, int>{{2, 20}});
    }
  }
}

TEST_CASE("An unregistered upstream is used only if no other is left") {
  FlowFixture fixture;
  fixture.AddUpstream(1);
  fixture.AddUpstream(2, "tally", "brandon");
  fixture.RemoveUpstream(1);
  SECTION("another upstream is registered") {
    CHECK(PlaceFlows(&fixture, 20) == std::map<uint64_t, int>{{2, 20}});
  }
  SECTION("all registrations were removed, as in a store outage") {
    fixture.RemoveUpstream(2);
    CHECK(PlaceFlows(&fixture, 20).size() == 2);
  }
}

TEST_CASE("A slow upstream gets fewer flows") {
  FlowFixture fixture;
  fixture.AddUpstream(1);
  fixture.AddUpstream(2);
  fixture.steering.routing_table().FindUpstream(1)->response_ms = 200;
  fixture.steering.routing_table().FindUpstream(2)->response_ms = 20;
  const auto placed = PlaceFlows(&fixture, 60);
  CHECK(placed.at(1) <= 15);
}

TEST_CASE("All hosts together keep to the flow rate of cold upstreams") {
  // After a failure domain recovers, all its upstreams are cold, and every host
  // sees them without flows.
  FlowFixture fixture;
  fixture.EditConfiguration().services[0].cold_flows_per_second = 10;
  fixture.ApplyConfiguration();
  auto cold = FlowFixture::MakeUpstream(1, "tally", "regina");
  cold.cold_until = kStart + 10s;
  fixture.PutUpstream(cold);
  auto placement = std::make_unique<LocalFirstPlacement>("regina", 1);
  placement->set_host_count(5);
  Steering steering(std::move(placement));
  steering.Update(fixture.cluster_state, kStart);
  int placed = 0;
  for (int i = 0; i < 1'000; ++i) {
    const Decision decision = steering.Decide(
        FlowFixture::Syn(static_cast<uint16_t>(i + 1)), kStart + i * 1ms);
    placed += decision.action == Action::kForward ? 1 : 0;
  }
  // 10 flows per second, shared by 5 hosts.
  CHECK(placed == 2);
}

// Load pattern: flows of one request that ends within milliseconds. No host has
// more than a few open, so their number says nothing about the load.
TEST_CASE("Short flows spread by recent placements") {
  FlowFixture fixture;
  for (uint64_t id = 1; id <= 4; ++id) {
    fixture.AddUpstream(id);
  }
  std::map<uint64_t, int> placed;
  for (uint16_t port = 1; port <= 80; ++port) {
    const Decision opened = fixture.OpenFlow(port);
    ++placed[opened.upstream->record.id];
    FlowPacket fin = FlowFixture::Data(port, opened.tag, 251, 900);
    fin.data_bytes = 0;
    fin.is_fin = true;
    fixture.now += 20ms;
    fixture.steering.Decide(fin, fixture.now);
  }
  for (uint64_t id = 1; id <= 4; ++id) {
    CHECK(placed.at(id) >= 15);
    CHECK(placed.at(id) <= 25);
  }
}

// Load pattern: a release. All hosts see the new upstream at the same moment,
// and each one sees no flow there.
TEST_CASE("A new upstream gets at most its share of new flows at once") {
  FlowFixture fixture;
  for (uint64_t id = 1; id <= 10; ++id) {
    fixture.AddUpstream(id);
  }
  PlaceFlows(&fixture, 200);
  auto added = FlowFixture::MakeUpstream(11, "tally", "regina");
  const bool is_cold = GENERATE(false, true);
  added.cold_until = fixture.now + (is_cold ? 2s : 0s);
  fixture.PutUpstream(added);
  std::map<uint64_t, int> placed;
  for (uint16_t port = 1'001; port <= 1'022; ++port) {
    const Decision opened =
        fixture.steering.Decide(FlowFixture::Syn(port), fixture.now);
    ++placed[opened.upstream->record.id];
    fixture.now += 5ms;
  }
  // An even share is two flows.
  CHECK(placed[11] <= (is_cold ? 2 : 4));
}

TEST_CASE("Lost flows count as load of a recovered upstream") {
  // A flapping upstream would otherwise get all new flows after each recovery.
  FlowFixture fixture;
  fixture.AddUpstream(1);
  fixture.AddUpstream(2);
  for (uint16_t port = 1; port <= 40; ++port) {
    fixture.OpenFlow(port);
  }
  RoutingTable& routing_table = fixture.steering.routing_table();
  const uint32_t before = routing_table.FindUpstream(1)->open_flows;
  REQUIRE(before >= 15);
  fixture.now += 1s;
  REQUIRE(fixture.steering.HandleFailureReport(1, fixture.now) != nullptr);
  fixture.now += 90ms;
  REQUIRE(fixture.steering
              .HandleCheckResult(1, CheckOutcome::kNoResponse, fixture.now)
              .flows_to_reset.size() == before);
  fixture.now += 1s;
  fixture.steering.HandleCheckResult(1, CheckOutcome::kConnected, fixture.now);
  // The first new flow gets a response.
  routing_table.FindUpstream(1)->liveness.RecordResponse(fixture.now);
  const auto new_flows = [&](uint16_t first_port) {
    for (uint16_t port = first_port; port < first_port + 10; ++port) {
      fixture.steering.Decide(FlowFixture::Syn(port), fixture.now);
    }
    return routing_table.FindUpstream(1)->open_flows;
  };
  CHECK(new_flows(100) < 8);
  fixture.now += kRecoveryTime;
  CHECK(routing_table.FindUpstream(1)->RemainingLostFlows(fixture.now) == 0);
  CHECK(new_flows(200) >= 10);
}

}  // namespace
}  // namespace poplarsail::flows
