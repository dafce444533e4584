#include <catch2/catch.hpp>

#include "belief/belief.h"

namespace poplarsail::belief {
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

Belief::UpstreamEntry Entry(uint64_t id, uint64_t revision) {
  return {"u" + std::to_string(id), revision, MakeUpstream(id)};
}

Belief::UpstreamEntry Removed(uint64_t id, uint64_t revision) {
  return {"u" + std::to_string(id), revision, std::nullopt};
}

Configuration MakeConfiguration(int64_t version) {
  Configuration configuration;
  configuration.version = version;
  return configuration;
}

TEST_CASE("The older of two revisions of an object is ignored") {
  Belief belief;
  belief.Apply(Entry(1, 10), kStart);
  const uint64_t generation = belief.generation();
  auto older = Entry(1, 9);
  older.value->service = "archive";
  belief.Apply(older, kStart);
  CHECK(belief.generation() == generation);
  CHECK(belief.upstreams().at("u1").record.service == "tally");
}

TEST_CASE("An older source can't bring back what was removed") {
  Belief belief;
  belief.Apply(Entry(1, 10), kStart);
  belief.Apply(Removed(1, 12), kStart);
  belief.Advance(kStart + kLapseGrace);
  REQUIRE(belief.upstreams().empty());
  belief.Apply(Entry(1, 11), kStart + kLapseGrace);
  CHECK(belief.upstreams().empty());
}

TEST_CASE("A configuration never goes back") {
  Belief belief;
  belief.Apply(Belief::ConfigurationEntry{"main", 5, MakeConfiguration(8)},
               kStart);
  SECTION("by an older revision") {
    belief.Apply(Belief::ConfigurationEntry{"main", 4, MakeConfiguration(7)},
                 kStart);
  }
  SECTION("by a newer revision with an older version") {
    belief.Apply(Belief::ConfigurationEntry{"main", 6, MakeConfiguration(7)},
                 kStart);
  }
  SECTION("by its removal") {
    belief.Apply(Belief::ConfigurationEntry{"main", 6, std::nullopt}, kStart);
  }
  REQUIRE(belief.configuration().has_value());
  CHECK(belief.configuration()->version == 8);
}

TEST_CASE("A registration that vanishes lapses first and is gone later") {
  Belief belief;
  belief.Apply(Entry(1, 10), kStart);
  belief.Apply(Removed(1, 11), kStart);
  REQUIRE(belief.upstreams().contains("u1"));
  CHECK(belief.upstreams().at("u1").is_lapsed);

  SECTION("it is back within the grace") {
    belief.Apply(Entry(1, 12), kStart + 2s);
    belief.Advance(kStart + 10s);
    REQUIRE(belief.upstreams().contains("u1"));
    CHECK_FALSE(belief.upstreams().at("u1").is_lapsed);
  }
  SECTION("it is back unchanged, from a source of the same revision") {
    belief.Apply(Entry(1, 11), kStart + 2s);
    belief.Advance(kStart + 10s);
    CHECK_FALSE(belief.upstreams().contains("u1"));
  }
  SECTION("it stays away") {
    belief.Advance(kStart + kLapseGrace - 1ms);
    CHECK(belief.upstreams().contains("u1"));
    belief.Advance(kStart + kLapseGrace);
    CHECK_FALSE(belief.upstreams().contains("u1"));
  }
  SECTION("the store was away meanwhile: the grace starts at its return") {
    belief.StoreRegained(kStart + 2s);
    belief.Advance(kStart + kLapseGrace);
    CHECK(belief.upstreams().contains("u1"));
    belief.Advance(kStart + 2s + kLapseGrace);
    CHECK_FALSE(belief.upstreams().contains("u1"));
  }
}

TEST_CASE("A draining upstream whose registration vanishes lapses as well") {
  // It may go on serving its flows for seconds (abo-sail-grown scale-2, FLOW).
  Belief belief;
  auto draining = Entry(1, 10);
  draining.value->phase = UpstreamPhase::kDraining;
  belief.Apply(draining, kStart);
  belief.Apply(Removed(1, 11), kStart);
  REQUIRE(belief.upstreams().contains("u1"));
  CHECK(belief.upstreams().at("u1").is_lapsed);
  CHECK(belief.upstreams().at("u1").record.phase == UpstreamPhase::kDraining);
  belief.Advance(kStart + kLapseGrace);
  CHECK(belief.upstreams().empty());
}

TEST_CASE("A lapsed upstream whose address is in use again is gone") {
  Belief belief;
  belief.Apply(Entry(1, 10), kStart);
  belief.Apply(Removed(1, 11), kStart);
  auto successor = Entry(2, 12);
  successor.value->endpoint = Entry(1, 10).value->endpoint;
  belief.Apply(successor, kStart);
  CHECK_FALSE(belief.upstreams().contains("u1"));
  belief.Advance(kStart + kLapseGrace);
  CHECK(belief.upstreams().contains("u2"));
}

TEST_CASE("A whole list removes what it misses, as of its revision") {
  Belief belief;
  belief.Apply(Entry(1, 10), kStart);
  belief.Apply(Entry(2, 10), kStart);
  belief.Apply(Entry(3, 30), kStart);
  const std::vector<Belief::UpstreamEntry> listed = {Entry(1, 10)};
  belief.ApplyList(Kind::kUpstreams, listed, 20, kStart);
  CHECK_FALSE(belief.upstreams().at("u1").is_lapsed);
  CHECK(belief.upstreams().at("u2").is_lapsed);
  // Newer than the list.
  CHECK_FALSE(belief.upstreams().at("u3").is_lapsed);
}

TEST_CASE("A list of a stale source does not undo a removal or a return") {
  Belief belief;
  belief.Apply(Entry(1, 10), kStart);
  belief.Apply(Removed(1, 20), kStart);
  belief.Apply(Entry(1, 25), kStart);
  const std::vector<Belief::UpstreamEntry> stale = {};
  belief.ApplyList(Kind::kUpstreams, stale, 22, kStart);
  CHECK_FALSE(belief.upstreams().at("u1").is_lapsed);
}

TEST_CASE("Take-outs come and go") {
  Belief belief;
  belief.Apply(Belief::TakeOutEntry{"regina", 5, TakeOut{"regina"}}, kStart);
  CHECK(belief.IsTakenOut("regina"));
  CHECK_FALSE(belief.IsTakenOut("brandon"));
  belief.Apply(Belief::TakeOutEntry{"regina", 6, std::nullopt}, kStart);
  CHECK_FALSE(belief.IsTakenOut("regina"));
  // An older source.
  belief.Apply(Belief::TakeOutEntry{"regina", 5, TakeOut{"regina"}}, kStart);
  CHECK_FALSE(belief.IsTakenOut("regina"));
}

TEST_CASE("The belief is complete once all that steers packets was listed") {
  Belief belief;
  belief.ApplyList<Configuration>(
      Kind::kConfiguration,
      {Belief::ConfigurationEntry{"main", 5, MakeConfiguration(1)}}, 6, kStart);
  belief.ApplyList<UpstreamRecord>(Kind::kUpstreams, {}, 6, kStart);
  CHECK_FALSE(belief.IsComplete());
  belief.ApplyList<TakeOut>(Kind::kTakeOuts, {}, 6, kStart);
  CHECK(belief.IsComplete());
}

}  // namespace
}  // namespace poplarsail::belief
