#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <set>
#include <string>

#include "flow_fixture.h"

namespace poplarsail::flows {
namespace {

// What callers of a directory can see of it.
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

TEST_CASE("A directory that follows changes equals one built anew") {
  constexpr uint64_t kIds = 40;
  std::mt19937_64 random(7);
  FlowFixture fixture;
  RoutingTable followed;
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
        fixture.now += cluster_state::kLapseGrace / 2;
        fixture.cluster_state.RemoveExpiredUpstreams(fixture.now);
        break;
      case 3:
        fixture.Evacuation(random() % 10 == 0 ? "regina" : "brandon");
        break;
      default:
        fixture.PutUpstream(record);
    }
    followed.Update(fixture.cluster_state, fixture.now);
    RoutingTable built;
    built.Update(fixture.cluster_state, fixture.now);
    REQUIRE(Describe(&followed, kIds) == Describe(&built, kIds));
  }
}

TEST_CASE("A directory that fell behind looks at all upstreams") {
  FlowFixture fixture;
  RoutingTable routing_table;
  routing_table.Update(fixture.cluster_state, fixture.now);
  for (uint64_t id = 1; id <= cluster_state::kRememberedChanges + 10; ++id) {
    fixture.AddUpstream(id);
  }
  routing_table.Update(fixture.cluster_state, fixture.now);
  CHECK(routing_table.upstreams().size() == cluster_state::kRememberedChanges + 10);
}

TEST_CASE("What was observed of an upstream outlives changes of its record") {
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
