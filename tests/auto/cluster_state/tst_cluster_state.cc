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

TEST_CASE("A source with older data can't restore a removed upstream") {
  ClusterState cluster_state;
  cluster_state.Apply(Entry(1, 10), kStart);
  cluster_state.Apply(Removed(1, 12), kStart);
  cluster_state.RemoveExpired(kStart + kUnregisteredGracePeriod);
  REQUIRE(cluster_state.upstreams().empty());
  cluster_state.Apply(Entry(1, 11), kStart + kUnregisteredGracePeriod);
  CHECK(cluster_state.upstreams().empty());
}

TEST_CASE("A configuration is never replaced by an older version") {
  ClusterState cluster_state;
  cluster_state.Apply(
      ClusterState::ConfigurationEntry{"main", 5, MakeConfiguration(8)},
      kStart);
  SECTION("by an older revision") {
    cluster_state.Apply(
        ClusterState::ConfigurationEntry{"main", 4, MakeConfiguration(7)},
        kStart);
  }
  SECTION("by a newer revision with an older version") {
    cluster_state.Apply(
        ClusterState::ConfigurationEntry{"main", 6, MakeConfiguration(7)},
        kStart);
  }
  SECTION("by its removal") {
    cluster_state.Apply(
        ClusterState::ConfigurationEntry{"main", 6, std::nullopt}, kStart);
  }
  REQUIRE(cluster_state.configuration().has_value());
  CHECK(cluster_state.configuration()->version == 8);
}

TEST_CASE(
    "An upstream whose registration is removed is kept for a grace period") {
  ClusterState cluster_state;
  cluster_state.Apply(Entry(1, 10), kStart);
  cluster_state.Apply(Removed(1, 11), kStart);
  REQUIRE(cluster_state.upstreams().contains("u1"));
  CHECK(cluster_state.upstreams().at("u1").is_unregistered);

  SECTION("it registers again within the grace period") {
    cluster_state.Apply(Entry(1, 12), kStart + 2s);
    cluster_state.RemoveExpired(kStart + 10s);
    REQUIRE(cluster_state.upstreams().contains("u1"));
    CHECK_FALSE(cluster_state.upstreams().at("u1").is_unregistered);
  }
  SECTION("a source with the same revision does not restore it") {
    cluster_state.Apply(Entry(1, 11), kStart + 2s);
    cluster_state.RemoveExpired(kStart + 10s);
    CHECK_FALSE(cluster_state.upstreams().contains("u1"));
  }
  SECTION("it does not register again") {
    cluster_state.RemoveExpired(kStart + kUnregisteredGracePeriod - 1ms);
    CHECK(cluster_state.upstreams().contains("u1"));
    cluster_state.RemoveExpired(kStart + kUnregisteredGracePeriod);
    CHECK_FALSE(cluster_state.upstreams().contains("u1"));
  }
  SECTION("the grace period restarts when the store recovers") {
    cluster_state.OnStoreRecovered(kStart + 2s);
    cluster_state.RemoveExpired(kStart + kUnregisteredGracePeriod);
    CHECK(cluster_state.upstreams().contains("u1"));
    cluster_state.RemoveExpired(kStart + 2s + kUnregisteredGracePeriod);
    CHECK_FALSE(cluster_state.upstreams().contains("u1"));
  }
}

TEST_CASE("A draining upstream is also kept when its registration is removed") {
  // Such an upstream may serve its flows for seconds more (abo-sail-grown
  // scale-2, FLOW).
  ClusterState cluster_state;
  auto draining = Entry(1, 10);
  draining.value->phase = UpstreamPhase::kDraining;
  cluster_state.Apply(draining, kStart);
  cluster_state.Apply(Removed(1, 11), kStart);
  REQUIRE(cluster_state.upstreams().contains("u1"));
  CHECK(cluster_state.upstreams().at("u1").is_unregistered);
  CHECK(cluster_state.upstreams().at("u1").record.phase ==
        UpstreamPhase::kDraining);
  cluster_state.RemoveExpired(kStart + kUnregisteredGracePeriod);
  CHECK(cluster_state.upstreams().empty());
}

TEST_CASE(
    "An unregistered upstream is removed once its address is in use again") {
  ClusterState cluster_state;
  cluster_state.Apply(Entry(1, 10), kStart);
  cluster_state.Apply(Removed(1, 11), kStart);
  auto successor = Entry(2, 12);
  successor.value->endpoint = Entry(1, 10).value->endpoint;
  cluster_state.Apply(successor, kStart);
  CHECK_FALSE(cluster_state.upstreams().contains("u1"));
  cluster_state.RemoveExpired(kStart + kUnregisteredGracePeriod);
  CHECK(cluster_state.upstreams().contains("u2"));
}

TEST_CASE("A complete list removes objects that it lacks, as of its revision") {
  ClusterState cluster_state;
  cluster_state.Apply(Entry(1, 10), kStart);
  cluster_state.Apply(Entry(2, 10), kStart);
  cluster_state.Apply(Entry(3, 30), kStart);
  const std::vector<ClusterState::UpstreamEntry> listed = {Entry(1, 10)};
  cluster_state.ApplyList(ObjectKind::kUpstreams, listed, {0, 20}, kStart);
  CHECK_FALSE(cluster_state.upstreams().at("u1").is_unregistered);
  CHECK(cluster_state.upstreams().at("u2").is_unregistered);
  // u3 was registered after the list was made.
  CHECK_FALSE(cluster_state.upstreams().at("u3").is_unregistered);
}

TEST_CASE("A list older than the last one does not return what has left") {
  // A host that starts lists the store and queries its peers at the same time.
  // A peer's older state would bring back an upstream that left in between, and
  // no further event would remove it.
  ClusterState cluster_state;
  const std::vector<ClusterState::UpstreamEntry> latest = {Entry(1, 10)};
  cluster_state.ApplyList(ObjectKind::kUpstreams, latest, {0, 40}, kStart);
  const std::vector<ClusterState::UpstreamEntry> older = {Entry(1, 10),
                                                          Entry(2, 20)};
  SECTION("by a list") {
    cluster_state.ApplyList(ObjectKind::kUpstreams, older, {0, 30}, kStart);
  }
  SECTION("by a single change") {
    cluster_state.Apply(Entry(2, 20), kStart);
  }
  CHECK(cluster_state.upstreams().contains("u1"));
  CHECK_FALSE(cluster_state.upstreams().contains("u2"));
  CHECK(cluster_state.listed_version(ObjectKind::kUpstreams).revision == 40);
  cluster_state.Apply(Entry(2, 41), kStart);
  CHECK(cluster_state.upstreams().contains("u2"));
}

TEST_CASE("A list from a stale source does not undo a newer registration") {
  ClusterState cluster_state;
  cluster_state.Apply(Entry(1, 10), kStart);
  cluster_state.Apply(Removed(1, 20), kStart);
  cluster_state.Apply(Entry(1, 25), kStart);
  const std::vector<ClusterState::UpstreamEntry> stale = {};
  cluster_state.ApplyList(ObjectKind::kUpstreams, stale, {0, 22}, kStart);
  CHECK_FALSE(cluster_state.upstreams().at("u1").is_unregistered);
}

TEST_CASE("A failure domain is evacuated until its evacuation is removed") {
  ClusterState cluster_state;
  cluster_state.Apply(
      ClusterState::EvacuationEntry{"regina", 5, Evacuation{"regina"}}, kStart);
  CHECK(cluster_state.IsEvacuated("regina"));
  CHECK_FALSE(cluster_state.IsEvacuated("brandon"));
  cluster_state.Apply(ClusterState::EvacuationEntry{"regina", 6, std::nullopt},
                      kStart);
  CHECK_FALSE(cluster_state.IsEvacuated("regina"));
  // A source with older data does not evacuate it again.
  cluster_state.Apply(
      ClusterState::EvacuationEntry{"regina", 5, Evacuation{"regina"}}, kStart);
  CHECK_FALSE(cluster_state.IsEvacuated("regina"));
}

TEST_CASE("The cluster state is complete once all kinds were listed") {
  ClusterState cluster_state;
  cluster_state.ApplyList<Configuration>(
      ObjectKind::kConfiguration,
      {ClusterState::ConfigurationEntry{"main", 5, MakeConfiguration(1)}},
      {0, 6}, kStart);
  cluster_state.ApplyList<UpstreamRecord>(ObjectKind::kUpstreams, {}, {0, 6},
                                          kStart);
  CHECK_FALSE(cluster_state.IsComplete());
  cluster_state.ApplyList<Evacuation>(ObjectKind::kEvacuations, {}, {0, 6},
                                      kStart);
  CHECK(cluster_state.IsComplete());
}

// Guards against memory that grows with each new name of another writer.
TEST_CASE("Objects that come and go under ever new names are forgotten") {
  constexpr uint64_t kNames = 60'000;
  ClusterState cluster_state;
  for (uint64_t i = 1; i <= kNames; ++i) {
    const std::string name = std::to_string(i);
    cluster_state.Apply(ClusterState::ConfigurationEntry{name, i, {}}, kStart);
    cluster_state.Apply(ClusterState::EvacuationEntry{name, i, {}}, kStart);
    if (i % 1'000 == 0) {
      cluster_state.MarkListed(ObjectKind::kConfiguration, {0, i});
      cluster_state.MarkListed(ObjectKind::kEvacuations, {0, i});
    }
  }
  CHECK(cluster_state.versioned_set<Configuration>().entries().size() <=
        kTombstoneRetentionRevisions);
  CHECK(cluster_state.versioned_set<Evacuation>().entries().size() <=
        kTombstoneRetentionRevisions);
}

TEST_CASE("An address is forgotten with its upstream") {
  ClusterState cluster_state;
  SECTION("upstreams come and go") {
    for (uint64_t id = 1; id <= 100; ++id) {
      const SteadyTime now = kStart + id * kUnregisteredGracePeriod;
      cluster_state.Apply(Entry(id, 2 * id), now);
      cluster_state.Apply(Removed(id, 2 * id + 1), now);
      cluster_state.RemoveExpired(now + kUnregisteredGracePeriod);
    }
    CHECK(cluster_state.address_count() == 0);
  }
  SECTION("an upstream changes its address") {
    for (uint64_t i = 1; i <= 100; ++i) {
      auto entry = Entry(1, i);
      entry.value->endpoint.address += static_cast<uint32_t>(i);
      cluster_state.Apply(entry, kStart);
    }
    CHECK(cluster_state.address_count() == 1);
  }
}

}  // namespace
}  // namespace poplarsail::cluster_state
