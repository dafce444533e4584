#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <set>
#include <string>

#include "flow_fixture.h"

namespace poplarsail::flows {
namespace {

// Returns the state of the table that its users can observe.
std::set<std::string> Describe(RoutingTable* routing_table, uint64_t ids) {
  std::set<std::string> lines;
  for (const std::string service : {"tally", "archive"}) {
    for (const Upstream* upstream :
         routing_table->FindService(service)->upstreams) {
      lines.insert(service + " has " + std::to_string(upstream->record.id));
    }
  }
  for (uint64_t id = 1; id <= ids; ++id) {
    const Upstream* upstream = routing_table->FindUpstream(id);
    const uint32_t tag = MakeTag(kTallyListener, TagBase(id));
    const Upstream* tagged = routing_table->FindByTag(kTallyListener, tag);
    lines.insert(std::to_string(id) + (upstream == nullptr ? " gone" : "") +
                 (tagged == nullptr ? " untagged" : ""));
    if (upstream != nullptr) {
      CHECK(tagged == upstream);
      lines.insert(std::to_string(id) + " at " +
                   std::to_string(upstream->revision) +
                   (upstream->is_unregistered ? " lapsed" : "") +
                   (upstream->is_evacuated ? " out" : ""));
    }
  }
  return lines;
}

TEST_CASE("Incremental updates give the same routing table as a rebuild") {
  constexpr uint64_t kIds = 40;
  std::mt19937_64 random(7);
  FlowFixture fixture;
  RoutingTable incremental;
  for (int step = 0; step < 500; ++step) {
    const uint64_t id = 1 + random() % kIds;
    auto record = FlowFixture::MakeUpstream(
        id, random() % 2 == 0 ? "tally" : "archive", "regina");
    record.endpoint.address = 0x0a010000 + static_cast<uint32_t>(random() % 50);
    record.started_unix_ms = static_cast<int64_t>(random() % 3);
    switch (random() % 8) {
      case 0:
      case 1:
        fixture.RemoveUpstream(id);
        break;
      case 2:
        fixture.now += cluster_state::kUnregisteredGracePeriod / 2;
        fixture.cluster_state.RemoveExpired(fixture.now);
        break;
      case 3:
        fixture.Evacuate(random() % 10 == 0 ? "regina" : "brandon");
        break;
      default:
        fixture.PutUpstream(record);
    }
    incremental.Update(fixture.cluster_state, fixture.now);
    RoutingTable rebuilt;
    rebuilt.Update(fixture.cluster_state, fixture.now);
    REQUIRE(Describe(&incremental, kIds) == Describe(&rebuilt, kIds));
  }
}

TEST_CASE("A routing table that missed too many changes reads all upstreams") {
  FlowFixture fixture;
  RoutingTable routing_table;
  routing_table.Update(fixture.cluster_state, fixture.now);
  for (uint64_t id = 1; id <= cluster_state::kMaxChangeHistory + 10; ++id) {
    fixture.AddUpstream(id);
  }
  routing_table.Update(fixture.cluster_state, fixture.now);
  CHECK(routing_table.upstreams().size() ==
        cluster_state::kMaxChangeHistory + 10);
}

TEST_CASE("Observations of an upstream survive changes of its record") {
  FlowFixture fixture;
  auto record = FlowFixture::MakeUpstream(1, "tally", "regina");
  fixture.PutUpstream(record);
  RoutingTable routing_table;
  routing_table.Update(fixture.cluster_state, fixture.now);
  routing_table.FindUpstream(1)->open_flows = 7;
  record.phase = cluster_state::UpstreamPhase::kDraining;
  fixture.PutUpstream(record);
  routing_table.Update(fixture.cluster_state, fixture.now);
  CHECK(routing_table.FindUpstream(1)->open_flows == 7);
  record.started_unix_ms = 5;
  fixture.PutUpstream(record);
  routing_table.Update(fixture.cluster_state, fixture.now);
  CHECK(routing_table.FindUpstream(1)->open_flows == 0);
}

}  // namespace
}  // namespace poplarsail::flows
