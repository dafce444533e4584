#include <catch2/catch.hpp>

#include <string>

#include <nlohmann/json.hpp>

#include "entry/belief_codec.h"

namespace poplarsail::entry {
namespace {

using belief::Belief;
using belief::Kind;
using namespace std::chrono_literals;

const belief::SteadyTime kNow{1'000s};

Belief MakeBelief() {
  Belief belief;
  belief::Configuration configuration;
  configuration.version = 3;
  configuration.listeners = {
      {"alerts", {0xc6120001, 8443}, {{"tally", 90}, {"archive", 10}}}};
  configuration.services = {{"tally", 4.5, "/health"}};
  configuration.flow_idle_timeout = 15s;
  belief.ApplyList<belief::Configuration>(
      Kind::kConfiguration,
      {Belief::ConfigurationEntry{"main", 5, configuration}}, 9, kNow);
  belief::UpstreamRecord upstream;
  upstream.id = 0x1122334455667788;
  upstream.service = "tally";
  upstream.endpoint = {0x0a000001, 8080};
  upstream.failure_domain = "regina";
  upstream.cold_until = kNow + 1500ms;
  upstream.started_unix_ms = 1'700'000'000'000;
  belief.ApplyList<belief::UpstreamRecord>(
      Kind::kUpstreams, {Belief::UpstreamEntry{"i-1", 7, upstream}}, 9, kNow);
  belief.ApplyList<belief::TakeOut>(
      Kind::kTakeOuts,
      {Belief::TakeOutEntry{"brandon", 8, belief::TakeOut{"brandon"}}}, 9,
      kNow);
  return belief;
}

TEST_CASE("A host that starts empty takes over the whole belief") {
  const Belief sender = MakeBelief();
  Belief receiver;
  // Steady clocks of hosts have nothing to do with each other.
  const belief::SteadyTime later{50'000s};
  MergeBelief(EncodeBelief(&sender, {}, {}, kNow), &receiver, later);
  CHECK(receiver.IsComplete());
  CHECK(receiver.configuration() == sender.configuration());
  CHECK(receiver.IsTakenOut("brandon"));
  const belief::UpstreamRecord& record = receiver.upstreams().at("i-1").record;
  CHECK(record.cold_until == later + 1500ms);
  CHECK(record.id == 0x1122334455667788);
  CHECK(record.started_unix_ms == 1'700'000'000'000);
  CHECK(ListedRevisionsOf(receiver) == ListedRevisionsOf(sender));
}

TEST_CASE("An older belief takes nothing back") {
  Belief receiver = MakeBelief();
  const std::string old_message = EncodeBelief(&receiver, {}, {}, kNow);
  belief::UpstreamRecord draining = receiver.upstreams().at("i-1").record;
  draining.phase = belief::UpstreamPhase::kDraining;
  receiver.Apply(Belief::UpstreamEntry{"i-1", 12, draining}, kNow);
  receiver.Apply(Belief::TakeOutEntry{"brandon", 13, std::nullopt}, kNow);
  belief::Configuration newer = *receiver.configuration();
  newer.version = 4;
  receiver.Apply(Belief::ConfigurationEntry{"main", 14, newer}, kNow);
  MergeBelief(old_message, &receiver, kNow);
  CHECK(receiver.upstreams().at("i-1").record.phase ==
        belief::UpstreamPhase::kDraining);
  CHECK_FALSE(receiver.IsTakenOut("brandon"));
  CHECK(receiver.configuration()->version == 4);
}

TEST_CASE("What a peer never listed removes nothing") {
  Belief receiver = MakeBelief();
  const Belief empty;
  MergeBelief(EncodeBelief(&empty, {}, {}, kNow), &receiver, kNow);
  CHECK(receiver.upstreams().size() == 1);
  CHECK_FALSE(receiver.upstreams().at("i-1").is_lapsed);
  CHECK(receiver.IsTakenOut("brandon"));
}

TEST_CASE("A message that can't be used changes nothing") {
  const Belief sender = MakeBelief();
  const std::string whole = EncodeBelief(&sender, {}, {}, kNow);
  nlohmann::json parsed = nlohmann::json::from_msgpack(whole);
  std::string message;
  SECTION("empty") {}
  SECTION("cut") {
    message = whole.substr(0, whole.size() / 2);
  }
  SECTION("another version") {
    parsed["version"] = 2;
    nlohmann::json::to_msgpack(parsed, message);
  }
  SECTION("a part is missing") {
    parsed.erase("take_outs");
    nlohmann::json::to_msgpack(parsed, message);
  }
  SECTION("a part has another shape") {
    parsed["upstreams"]["objects"] = "none";
    nlohmann::json::to_msgpack(parsed, message);
  }
  SECTION("too long") {
    message.assign(kMaxBeliefMessageBytes + 1, '\0');
  }
  Belief receiver;
  CHECK_THROWS_AS(MergeBelief(message, &receiver, kNow), BeliefMessageError);
  CHECK(receiver.generation() == 0);
}

TEST_CASE("Unknown fields are skipped") {
  const Belief sender = MakeBelief();
  nlohmann::json parsed =
      nlohmann::json::from_msgpack(EncodeBelief(&sender, {}, {}, kNow));
  parsed["later_addition"] = {1, 2, 3};
  parsed["upstreams"]["objects"][0][2]["weight"] = 4;
  std::string message;
  nlohmann::json::to_msgpack(parsed, message);
  Belief receiver;
  MergeBelief(message, &receiver, kNow);
  CHECK(receiver.IsComplete());
}

TEST_CASE("A host that knows a revision gets what changed since") {
  Belief sender = MakeBelief();
  Belief receiver = MakeBelief();
  belief::UpstreamRecord added = sender.upstreams().at("i-1").record;
  added.id = 2;
  added.endpoint.port = 9;
  sender.Apply(Belief::UpstreamEntry{"i-2", 12, added}, kNow);
  sender.Apply(Belief::UpstreamEntry{"i-1", 13, std::nullopt}, kNow);
  sender.Apply(Belief::TakeOutEntry{"brandon", 14, std::nullopt}, kNow);
  sender.MarkListed(Kind::kUpstreams, 14);
  sender.MarkListed(Kind::kTakeOuts, 14);
  const std::string whole = EncodeBelief(&sender, {}, {}, kNow);
  const std::string changes =
      EncodeBelief(&sender, ListedRevisionsOf(receiver), {}, kNow);
  CHECK(changes.size() < whole.size());
  MergeBelief(changes, &receiver, kNow);
  CHECK(receiver.upstreams().contains("i-2"));
  CHECK(receiver.upstreams().at("i-1").is_lapsed);
  CHECK_FALSE(receiver.IsTakenOut("brandon"));
  CHECK(ListedRevisionsOf(receiver) == ListedRevisionsOf(sender));
}

TEST_CASE("A message tells of the fleet, with or without a belief") {
  const FleetView fleet{9, {{0x0a000001, 7720}, {0x0a000002, 7720}}};
  Belief receiver;
  CHECK(MergeBelief(EncodeBelief(nullptr, {}, fleet, kNow), &receiver, kNow) ==
        fleet);
  CHECK(receiver.generation() == 0);
}

TEST_CASE("Listed revisions travel as text") {
  const ListedRevisions revisions = {1, 0, 4'000'000'000'000};
  CHECK(ParseListedRevisions(ToText(revisions)) == revisions);
  CHECK(ParseListedRevisions("7,x,9") == ListedRevisions{7, 0, 9});
  CHECK(ParseListedRevisions("") == ListedRevisions{});
  CHECK(IsNewer(MakeBelief(), ListedRevisions{9, 8, 9}));
  CHECK_FALSE(IsNewer(MakeBelief(), ListedRevisions{9, 9, 9}));
}

}  // namespace
}  // namespace poplarsail::entry
