#include <catch2/catch.hpp>

#include <string>

#include <nlohmann/json.hpp>

#include "entry/belief_codec.h"

namespace poplarsail::entry {
namespace {

using cluster_state::ClusterState;
using cluster_state::ObjectKind;
using namespace std::chrono_literals;

const cluster_state::SteadyTime kNow{1'000s};

ClusterState MakeBelief() {
  ClusterState cluster_state;
  cluster_state::Configuration configuration;
  configuration.version = 3;
  configuration.listeners = {
      {"alerts", {0xc6120001, 8443}, {{"tally", 90}, {"archive", 10}}}};
  configuration.services = {{"tally", 4.5, "/health"}};
  configuration.flow_idle_timeout = 15s;
  cluster_state.ApplyList<cluster_state::Configuration>(
      ObjectKind::kConfiguration,
      {ClusterState::ConfigurationEntry{"main", 5, configuration}}, 9, kNow);
  cluster_state::UpstreamRecord upstream;
  upstream.id = 0x1122334455667788;
  upstream.service = "tally";
  upstream.endpoint = {0x0a000001, 8080};
  upstream.failure_domain = "regina";
  upstream.cold_until = kNow + 1500ms;
  upstream.started_unix_ms = 1'700'000'000'000;
  cluster_state.ApplyList<cluster_state::UpstreamRecord>(
      ObjectKind::kUpstreams, {ClusterState::UpstreamEntry{"i-1", 7, upstream}}, 9, kNow);
  cluster_state.ApplyList<cluster_state::Evacuation>(
      ObjectKind::kEvacuations,
      {ClusterState::EvacuationEntry{"brandon", 8, cluster_state::Evacuation{"brandon"}}}, 9,
      kNow);
  return cluster_state;
}

TEST_CASE("A host that starts empty takes over the whole belief") {
  const ClusterState sender = MakeBelief();
  ClusterState receiver;
  // Steady clocks of hosts have nothing to do with each other.
  const cluster_state::SteadyTime later{50'000s};
  MergeBelief(EncodeBelief(&sender, {}, {}, kNow), &receiver, later);
  CHECK(receiver.IsComplete());
  CHECK(receiver.configuration() == sender.configuration());
  CHECK(receiver.IsEvacuated("brandon"));
  const cluster_state::UpstreamRecord& record = receiver.upstreams().at("i-1").record;
  CHECK(record.cold_until == later + 1500ms);
  CHECK(record.id == 0x1122334455667788);
  CHECK(record.started_unix_ms == 1'700'000'000'000);
  CHECK(ListedRevisionsOf(receiver) == ListedRevisionsOf(sender));
}

TEST_CASE("An older belief takes nothing back") {
  ClusterState receiver = MakeBelief();
  const std::string old_message = EncodeBelief(&receiver, {}, {}, kNow);
  cluster_state::UpstreamRecord draining = receiver.upstreams().at("i-1").record;
  draining.phase = cluster_state::UpstreamPhase::kDraining;
  receiver.Apply(ClusterState::UpstreamEntry{"i-1", 12, draining}, kNow);
  receiver.Apply(ClusterState::EvacuationEntry{"brandon", 13, std::nullopt}, kNow);
  cluster_state::Configuration newer = *receiver.configuration();
  newer.version = 4;
  receiver.Apply(ClusterState::ConfigurationEntry{"main", 14, newer}, kNow);
  MergeBelief(old_message, &receiver, kNow);
  CHECK(receiver.upstreams().at("i-1").record.phase ==
        cluster_state::UpstreamPhase::kDraining);
  CHECK_FALSE(receiver.IsEvacuated("brandon"));
  CHECK(receiver.configuration()->version == 4);
}

TEST_CASE("What a peer never listed removes nothing") {
  ClusterState receiver = MakeBelief();
  const ClusterState empty;
  MergeBelief(EncodeBelief(&empty, {}, {}, kNow), &receiver, kNow);
  CHECK(receiver.upstreams().size() == 1);
  CHECK_FALSE(receiver.upstreams().at("i-1").is_unregistered);
  CHECK(receiver.IsEvacuated("brandon"));
}

TEST_CASE("A message that can't be used changes nothing") {
  const ClusterState sender = MakeBelief();
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
  ClusterState receiver;
  CHECK_THROWS_AS(MergeBelief(message, &receiver, kNow), BeliefMessageError);
  CHECK(receiver.generation() == 0);
}

TEST_CASE("Unknown fields are skipped") {
  const ClusterState sender = MakeBelief();
  nlohmann::json parsed =
      nlohmann::json::from_msgpack(EncodeBelief(&sender, {}, {}, kNow));
  parsed["later_addition"] = {1, 2, 3};
  parsed["upstreams"]["objects"][0][2]["weight"] = 4;
  std::string message;
  nlohmann::json::to_msgpack(parsed, message);
  ClusterState receiver;
  MergeBelief(message, &receiver, kNow);
  CHECK(receiver.IsComplete());
}

TEST_CASE("A host that knows a revision gets what changed since") {
  ClusterState sender = MakeBelief();
  ClusterState receiver = MakeBelief();
  cluster_state::UpstreamRecord added = sender.upstreams().at("i-1").record;
  added.id = 2;
  added.endpoint.port = 9;
  sender.Apply(ClusterState::UpstreamEntry{"i-2", 12, added}, kNow);
  sender.Apply(ClusterState::UpstreamEntry{"i-1", 13, std::nullopt}, kNow);
  sender.Apply(ClusterState::EvacuationEntry{"brandon", 14, std::nullopt}, kNow);
  sender.MarkListed(ObjectKind::kUpstreams, 14);
  sender.MarkListed(ObjectKind::kEvacuations, 14);
  const std::string whole = EncodeBelief(&sender, {}, {}, kNow);
  const std::string changes =
      EncodeBelief(&sender, ListedRevisionsOf(receiver), {}, kNow);
  CHECK(changes.size() < whole.size());
  MergeBelief(changes, &receiver, kNow);
  CHECK(receiver.upstreams().contains("i-2"));
  CHECK(receiver.upstreams().at("i-1").is_unregistered);
  CHECK_FALSE(receiver.IsEvacuated("brandon"));
  CHECK(ListedRevisionsOf(receiver) == ListedRevisionsOf(sender));
}

TEST_CASE("A message tells of the fleet, with or without a belief") {
  const FleetView fleet{9, {{0x0a000001, 7720}, {0x0a000002, 7720}}};
  ClusterState receiver;
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
