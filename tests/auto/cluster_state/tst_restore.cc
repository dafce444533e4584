// The store comes back from a copy that is some seconds old: revisions go back
// and are given out again, and what was written since is gone.
#include <catch2/catch.hpp>

#include "cluster_state/cluster_state.h"

namespace poplarsail::cluster_state {
namespace {

using namespace std::chrono_literals;

const SteadyTime kStart{1'000s};
constexpr uint64_t kEra = 4;

UpstreamRecord MakeUpstream(uint64_t id, int64_t started = 1'000) {
  UpstreamRecord record;
  record.id = id;
  record.service = "tally";
  record.endpoint = {0x0a000000 + static_cast<uint32_t>(id), 8080};
  record.failure_domain = "regina";
  record.started_unix_ms = started;
  return record;
}

ClusterState::UpstreamEntry Entry(const UpstreamRecord& record,
                                  uint64_t revision) {
  return {"u" + std::to_string(record.id), revision, record};
}

Configuration MakeConfiguration(int64_t version) {
  Configuration configuration;
  configuration.version = version;
  return configuration;
}

// Host that knows the upstreams 1, 2 and 3 up to revision 100 of the first era.
struct RestoreFixture {
  RestoreFixture() {
    state.ApplyList<UpstreamRecord>(
        ObjectKind::kUpstreams,
        {Entry(MakeUpstream(1), 10), Entry(MakeUpstream(2), 20),
         Entry(MakeUpstream(3), 90)},
        {kEra, 100}, kStart);
  }

  // Applies the first list after the restore, of revision 50.
  void Restore(const std::vector<ClusterState::UpstreamEntry>& copy,
               SteadyTime now = kStart) {
    state.ApplyList(ObjectKind::kUpstreams, copy, {kEra + 1, 50}, now);
  }

  const KnownUpstream* Find(uint64_t id) const {
    const auto found = state.upstreams().find("u" + std::to_string(id));
    return found == state.upstreams().end() ? nullptr : &found->second;
  }

  bool IsInUse(uint64_t id) const {
    const KnownUpstream* known = Find(id);
    return known != nullptr && !known->is_unregistered &&
           known->record.phase == UpstreamPhase::kServing;
  }

  ClusterState state;
};

TEST_CASE("Changes after a restore count although their revisions repeat") {
  RestoreFixture fixture;
  fixture.Restore({Entry(MakeUpstream(1), 10), Entry(MakeUpstream(2), 20)});
  fixture.state.Apply(Entry(MakeUpstream(4), 51), kStart);
  auto draining = MakeUpstream(1);
  draining.phase = UpstreamPhase::kDraining;
  fixture.state.Apply(Entry(draining, 52), kStart);
  CHECK(fixture.IsInUse(4));
  CHECK_FALSE(fixture.IsInUse(1));
}

TEST_CASE("A list from before a restore changes nothing") {
  RestoreFixture fixture;
  fixture.Restore({Entry(MakeUpstream(1), 10)});
  const uint64_t generation = fixture.state.generation();
  fixture.state.ApplyList<UpstreamRecord>(ObjectKind::kUpstreams, {},
                                          {kEra, 120}, kStart);
  CHECK(fixture.state.generation() == generation);
  CHECK(fixture.state.listed_version(ObjectKind::kUpstreams) ==
        StoreVersion{kEra + 1, 50});
}

TEST_CASE("An upstream that the copy lacks stays until it should be back") {
  RestoreFixture fixture;
  fixture.Restore({Entry(MakeUpstream(1), 10), Entry(MakeUpstream(2), 20)});
  CHECK(fixture.IsInUse(3));
  SECTION("it registers again") {
    fixture.state.Apply(Entry(MakeUpstream(3), 55), kStart + 1s);
    fixture.state.RemoveExpired(kStart + 1h);
    CHECK(fixture.IsInUse(3));
  }
  SECTION("it does not") {
    fixture.state.RemoveExpired(kStart + kRegistrationReturnTime);
    REQUIRE(fixture.Find(3) != nullptr);
    CHECK(fixture.Find(3)->is_unregistered);
    fixture.state.RemoveExpired(kStart + kRegistrationReturnTime +
                                kUnregisteredGracePeriod);
    CHECK(fixture.Find(3) == nullptr);
  }
  SECTION("it drains") {
    auto draining = MakeUpstream(3);
    draining.phase = UpstreamPhase::kDraining;
    fixture.state.Apply(Entry(draining, 55), kStart + 1s);
    CHECK_FALSE(fixture.IsInUse(3));
  }
}

TEST_CASE("An upstream that had left does not return with the copy") {
  RestoreFixture fixture;
  fixture.state.Apply(ClusterState::UpstreamEntry{"u2", 110, std::nullopt},
                      kStart);
  fixture.state.RemoveExpired(kStart + kUnregisteredGracePeriod);
  REQUIRE(fixture.Find(2) == nullptr);
  const SteadyTime restored = kStart + 5s;
  fixture.Restore({Entry(MakeUpstream(1), 10), Entry(MakeUpstream(2), 20)},
                  restored);
  CHECK(fixture.Find(2) == nullptr);
  SECTION("the store removes it again") {
    fixture.state.Apply(ClusterState::UpstreamEntry{"u2", 60, std::nullopt},
                        restored + 3s);
    fixture.state.RemoveExpired(restored + kDepartedQuarantine);
    CHECK(fixture.Find(2) == nullptr);
  }
  SECTION("its heartbeats keep it registered") {
    fixture.state.RemoveExpired(restored + kDepartedQuarantine);
    CHECK(fixture.IsInUse(2));
  }
  SECTION("it starts again under its name") {
    fixture.state.Apply(Entry(MakeUpstream(2, 9'000), 61), restored + 1s);
    CHECK(fixture.IsInUse(2));
  }
}

TEST_CASE("An upstream that drains goes on draining after a restore") {
  RestoreFixture fixture;
  auto draining = MakeUpstream(2);
  draining.phase = UpstreamPhase::kDraining;
  fixture.state.Apply(Entry(draining, 110), kStart);
  SECTION("the same process") {
    fixture.Restore({Entry(MakeUpstream(2), 20)});
    CHECK_FALSE(fixture.IsInUse(2));
    REQUIRE(fixture.Find(2) != nullptr);
    CHECK_FALSE(fixture.Find(2)->is_unregistered);
    // Its owner says otherwise.
    fixture.state.Apply(Entry(MakeUpstream(2), 70), kStart);
    CHECK(fixture.IsInUse(2));
  }
  SECTION("a later process of the same name") {
    fixture.Restore({Entry(MakeUpstream(2, 9'000), 20)});
    CHECK(fixture.IsInUse(2));
  }
}

TEST_CASE("An address belongs to the upstream that started last") {
  RestoreFixture fixture;
  // Since the copy was made, 3 has taken over the address of 9.
  auto former = MakeUpstream(9, 500);
  former.service = "archive";
  former.endpoint = MakeUpstream(3).endpoint;
  SECTION("the copy lists its former user") {
    fixture.Restore({Entry(MakeUpstream(1), 10), Entry(former, 20)});
    CHECK(fixture.Find(9) == nullptr);
    CHECK(fixture.IsInUse(3));
    fixture.state.Apply(Entry(MakeUpstream(3), 55), kStart);
    fixture.state.Apply(ClusterState::UpstreamEntry{"u9", 56, std::nullopt},
                        kStart);
    fixture.state.RemoveExpired(kStart + 1h);
    CHECK(fixture.Find(9) == nullptr);
    CHECK(fixture.IsInUse(3));
  }
  SECTION("the list has its present user") {
    auto successor = former;
    successor.started_unix_ms = 9'000;
    fixture.Restore({Entry(MakeUpstream(1), 10), Entry(successor, 20)});
    CHECK(fixture.IsInUse(9));
    CHECK_FALSE(fixture.IsInUse(3));
  }
}

TEST_CASE("Without stated starts an address stays with its known user") {
  // The copy lists the former user of an address; flows of the present one were
  // reset as those of an upstream that is gone (soak, seed 3004).
  ClusterState state;
  const UpstreamRecord present = MakeUpstream(3, 0);
  state.ApplyList<UpstreamRecord>(ObjectKind::kUpstreams, {Entry(present, 90)},
                                  {kEra, 100}, kStart);
  UpstreamRecord former = MakeUpstream(9, 0);
  former.endpoint = present.endpoint;
  state.ApplyList<UpstreamRecord>(ObjectKind::kUpstreams, {Entry(former, 20)},
                                  {kEra + 1, 50}, kStart);
  REQUIRE(state.upstreams().contains("u3"));
  CHECK_FALSE(state.upstreams().at("u3").is_unregistered);
  CHECK_FALSE(state.upstreams().contains("u9"));
  SECTION("it registers again") {
    state.Apply(Entry(present, 55), kStart);
    state.Apply(ClusterState::UpstreamEntry{"u9", 56, std::nullopt}, kStart);
    state.RemoveExpired(kStart + 1h);
    CHECK(state.upstreams().contains("u3"));
    CHECK_FALSE(state.upstreams().contains("u9"));
  }
  SECTION("another one registers there") {
    UpstreamRecord successor = MakeUpstream(4, 0);
    successor.endpoint = present.endpoint;
    state.Apply(Entry(successor, 55), kStart);
    CHECK(state.upstreams().contains("u4"));
    CHECK_FALSE(state.upstreams().contains("u3"));
  }
}

TEST_CASE("The configuration does not go back with the store") {
  ClusterState state;
  const auto list = [&state](int64_t version, StoreVersion at) {
    state.ApplyList<Configuration>(
        ObjectKind::kConfiguration,
        {ClusterState::ConfigurationEntry{"main", at.revision,
                                          MakeConfiguration(version)}},
        at, kStart);
  };
  list(8, {kEra, 100});
  list(6, {kEra + 1, 50});
  CHECK(state.configuration()->version == 8);
  // Another change with the revision that version 8 had.
  state.Apply(
      ClusterState::ConfigurationEntry{"main", 100, MakeConfiguration(7)},
      kStart);
  CHECK(state.configuration()->version == 8);
  state.Apply(
      ClusterState::ConfigurationEntry{"main", 101, MakeConfiguration(9)},
      kStart);
  CHECK(state.configuration()->version == 9);
}

TEST_CASE("An evacuation outlives a restore of the store") {
  ClusterState state;
  const auto list = [&state](const std::vector<std::string>& domains,
                             StoreVersion at) {
    std::vector<ClusterState::EvacuationEntry> entries;
    for (const std::string& domain : domains) {
      entries.push_back({domain, at.revision, Evacuation{domain}});
    }
    state.ApplyList(ObjectKind::kEvacuations, entries, at, kStart);
  };
  list({"regina"}, {kEra, 100});
  SECTION("that the copy lacks") {
    list({}, {kEra + 1, 50});
    CHECK(state.IsEvacuated("regina"));
    SECTION("the operator requests it again") {
      state.Apply(
          ClusterState::EvacuationEntry{"regina", 60, Evacuation{"regina"}},
          kStart);
      state.RemoveExpired(kStart + 1h);
      CHECK(state.IsEvacuated("regina"));
    }
    SECTION("the operator ends it") {
      state.Apply(ClusterState::EvacuationEntry{"regina", 60, std::nullopt},
                  kStart);
      CHECK_FALSE(state.IsEvacuated("regina"));
    }
    SECTION("nobody mentions it again") {
      const uint64_t generation = state.generation();
      state.RemoveExpired(kStart + kEvacuationReturnTime);
      CHECK_FALSE(state.IsEvacuated("regina"));
      CHECK(state.generation() > generation);
    }
  }
  SECTION("that was ended since the copy was made") {
    state.Apply(ClusterState::EvacuationEntry{"regina", 110, std::nullopt},
                kStart);
    list({"regina"}, {kEra + 1, 50});
    // In force until it is ended again: too few upstreams rather than a broken
    // evacuation.
    CHECK(state.IsEvacuated("regina"));
    state.Apply(ClusterState::EvacuationEntry{"regina", 60, std::nullopt},
                kStart);
    CHECK_FALSE(state.IsEvacuated("regina"));
  }
}

TEST_CASE("Two restores in quick succession") {
  RestoreFixture fixture;
  fixture.Restore({Entry(MakeUpstream(1), 10), Entry(MakeUpstream(2), 20)});
  fixture.state.ApplyList<UpstreamRecord>(ObjectKind::kUpstreams,
                                          {Entry(MakeUpstream(2), 20)},
                                          {kEra + 2, 30}, kStart + 2s);
  CHECK(fixture.IsInUse(1));
  CHECK(fixture.IsInUse(2));
  CHECK(fixture.IsInUse(3));
  fixture.state.RemoveExpired(kStart + 2s + kRegistrationReturnTime);
  CHECK_FALSE(fixture.IsInUse(1));
  CHECK(fixture.IsInUse(2));
  CHECK_FALSE(fixture.IsInUse(3));
}

}  // namespace
}  // namespace poplarsail::cluster_state
