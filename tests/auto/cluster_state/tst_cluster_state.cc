#include <catch2/catch.hpp>

#include "cluster_state/cluster_state.h"

namespace poplarsail::cluster_state {
namespace {

using namespace std::chrono_literals;

const SteadyTime kStart{1'000s};

UpstreamRecord MakeUpstream(uint64_t id) {
  UpstreamRecord record;
  record.id = id;
  record.service = "tally";
  record.endpoint = {0x0a000000 + static_cast<uint32_t>(id), 8080};
  record.failure_domain = "regina";
  return record;
}

ClusterState::UpstreamEntry Entry(uint64_t id, uint64_t revision) {
  return {"u" + std::to_string(id), revision, MakeUpstream(id)};
}

ClusterState::UpstreamEntry Removed(uint64_t id, uint64_t revision) {
  return {"u" + std::to_string(id), revision, std::nullopt};
}

Configuration MakeConfiguration(int64_t version) {
  Configuration configuration;
  configuration.version = version;
  return configuration;
}

TEST_CASE("The older of two revisions of an object is ignored") {
  ClusterState cluster_state;
  cluster_state.Apply(Entry(1, 10), kStart);
  const uint64_t generation = cluster_state.generation();
  auto older = Entry(1, 9);
  older.value->service = "archive";
  cluster_state.Apply(older, kStart);
  CHECK(cluster_state.generation() == generation);
  CHECK(cluster_state.upstreams().at("u1").record.service == "tally");
}

TEST_CASE("An older source can't bring back what was removed") {
  ClusterState cluster_state;
  cluster_state.Apply(Entry(1, 10), kStart);
  cluster_state.Apply(Removed(1, 12), kStart);
  cluster_state.RemoveExpiredUpstreams(kStart + kLapseGrace);
  REQUIRE(cluster_state.upstreams().empty());
  cluster_state.Apply(Entry(1, 11), kStart + kLapseGrace);
  CHECK(cluster_state.upstreams().empty());
}

TEST_CASE("A configuration never goes back") {
  ClusterState cluster_state;
  cluster_state.Apply(ClusterState::ConfigurationEntry{"main", 5, MakeConfiguration(8)},
               kStart);
  SECTION("by an older revision") {
    cluster_state.Apply(ClusterState::ConfigurationEntry{"main", 4, MakeConfiguration(7)},
                 kStart);
  }
  SECTION("by a newer revision with an older version") {
    cluster_state.Apply(ClusterState::ConfigurationEntry{"main", 6, MakeConfiguration(7)},
                 kStart);
  }
  SECTION("by its removal") {
    cluster_state.Apply(ClusterState::ConfigurationEntry{"main", 6, std::nullopt}, kStart);
  }
  REQUIRE(cluster_state.configuration().has_value());
  CHECK(cluster_state.configuration()->version == 8);
}

TEST_CASE("A registration that vanishes lapses first and is gone later") {
  ClusterState cluster_state;
  cluster_state.Apply(Entry(1, 10), kStart);
  cluster_state.Apply(Removed(1, 11), kStart);
  REQUIRE(cluster_state.upstreams().contains("u1"));
  CHECK(cluster_state.upstreams().at("u1").is_unregistered);

  SECTION("it is back within the grace") {
    cluster_state.Apply(Entry(1, 12), kStart + 2s);
    cluster_state.RemoveExpiredUpstreams(kStart + 10s);
    REQUIRE(cluster_state.upstreams().contains("u1"));
    CHECK_FALSE(cluster_state.upstreams().at("u1").is_unregistered);
  }
  SECTION("it is back unchanged, from a source of the same revision") {
    cluster_state.Apply(Entry(1, 11), kStart + 2s);
    cluster_state.RemoveExpiredUpstreams(kStart + 10s);
    CHECK_FALSE(cluster_state.upstreams().contains("u1"));
  }
  SECTION("it stays away") {
    cluster_state.RemoveExpiredUpstreams(kStart + kLapseGrace - 1ms);
    CHECK(cluster_state.upstreams().contains("u1"));
    cluster_state.RemoveExpiredUpstreams(kStart + kLapseGrace);
    CHECK_FALSE(cluster_state.upstreams().contains("u1"));
  }
  SECTION("the store was away meanwhile: the grace starts at its return") {
    cluster_state.OnStoreRecovered(kStart + 2s);
    cluster_state.RemoveExpiredUpstreams(kStart + kLapseGrace);
    CHECK(cluster_state.upstreams().contains("u1"));
    cluster_state.RemoveExpiredUpstreams(kStart + 2s + kLapseGrace);
    CHECK_FALSE(cluster_state.upstreams().contains("u1"));
  }
}

TEST_CASE("A draining upstream whose registration vanishes lapses as well") {
  // It may go on serving its flows for seconds (abo-sail-grown scale-2, FLOW).
  ClusterState cluster_state;
  auto draining = Entry(1, 10);
  draining.value->phase = UpstreamPhase::kDraining;
  cluster_state.Apply(draining, kStart);
  cluster_state.Apply(Removed(1, 11), kStart);
  REQUIRE(cluster_state.upstreams().contains("u1"));
  CHECK(cluster_state.upstreams().at("u1").is_unregistered);
  CHECK(cluster_state.upstreams().at("u1").record.phase == UpstreamPhase::kDraining);
  cluster_state.RemoveExpiredUpstreams(kStart + kLapseGrace);
  CHECK(cluster_state.upstreams().empty());
}

TEST_CASE("A lapsed upstream whose address is in use again is gone") {
  ClusterState cluster_state;
  cluster_state.Apply(Entry(1, 10), kStart);
  cluster_state.Apply(Removed(1, 11), kStart);
  auto successor = Entry(2, 12);
  successor.value->endpoint = Entry(1, 10).value->endpoint;
  cluster_state.Apply(successor, kStart);
  CHECK_FALSE(cluster_state.upstreams().contains("u1"));
  cluster_state.RemoveExpiredUpstreams(kStart + kLapseGrace);
  CHECK(cluster_state.upstreams().contains("u2"));
}

TEST_CASE("A whole list removes what it misses, as of its revision") {
  ClusterState cluster_state;
  cluster_state.Apply(Entry(1, 10), kStart);
  cluster_state.Apply(Entry(2, 10), kStart);
  cluster_state.Apply(Entry(3, 30), kStart);
  const std::vector<ClusterState::UpstreamEntry> listed = {Entry(1, 10)};
  cluster_state.ApplyList(ObjectKind::kUpstreams, listed, 20, kStart);
  CHECK_FALSE(cluster_state.upstreams().at("u1").is_unregistered);
  CHECK(cluster_state.upstreams().at("u2").is_unregistered);
  // Newer than the list.
  CHECK_FALSE(cluster_state.upstreams().at("u3").is_unregistered);
}

TEST_CASE("A list of a stale source does not undo a removal or a return") {
  ClusterState cluster_state;
  cluster_state.Apply(Entry(1, 10), kStart);
  cluster_state.Apply(Removed(1, 20), kStart);
  cluster_state.Apply(Entry(1, 25), kStart);
  const std::vector<ClusterState::UpstreamEntry> stale = {};
  cluster_state.ApplyList(ObjectKind::kUpstreams, stale, 22, kStart);
  CHECK_FALSE(cluster_state.upstreams().at("u1").is_unregistered);
}

TEST_CASE("Take-outs come and go") {
  ClusterState cluster_state;
  cluster_state.Apply(ClusterState::EvacuationEntry{"regina", 5, Evacuation{"regina"}}, kStart);
  CHECK(cluster_state.IsEvacuated("regina"));
  CHECK_FALSE(cluster_state.IsEvacuated("brandon"));
  cluster_state.Apply(ClusterState::EvacuationEntry{"regina", 6, std::nullopt}, kStart);
  CHECK_FALSE(cluster_state.IsEvacuated("regina"));
  // An older source.
  cluster_state.Apply(ClusterState::EvacuationEntry{"regina", 5, Evacuation{"regina"}}, kStart);
  CHECK_FALSE(cluster_state.IsEvacuated("regina"));
}

TEST_CASE("The belief is complete once all that steers packets was listed") {
  ClusterState cluster_state;
  cluster_state.ApplyList<Configuration>(
      ObjectKind::kConfiguration,
      {ClusterState::ConfigurationEntry{"main", 5, MakeConfiguration(1)}}, 6, kStart);
  cluster_state.ApplyList<UpstreamRecord>(ObjectKind::kUpstreams, {}, 6, kStart);
  CHECK_FALSE(cluster_state.IsComplete());
  cluster_state.ApplyList<Evacuation>(ObjectKind::kEvacuations, {}, 6, kStart);
  CHECK(cluster_state.IsComplete());
}

}  // namespace
}  // namespace poplarsail::belief
