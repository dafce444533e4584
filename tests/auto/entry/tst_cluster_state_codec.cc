#include <catch2/catch.hpp>

#include <string>

#include <nlohmann/json.hpp>

#include "entry/cluster_state_codec.h"

namespace poplarsail::entry {
namespace {

using cluster_state::ClusterState;
using cluster_state::ObjectKind;
using namespace std::chrono_literals;

const cluster_state::SteadyTime kNow{1'000s};

ClusterState MakeClusterState() {
  ClusterState cluster_state;
  cluster_state::Configuration configuration;
  configuration.version = 3;
  configuration.listeners = {{"alerts",
                              {0xc6120001, 8443},
                              {{"tally", 90}, {"archive", 10}},
                              1,
                              120ms,
                              500ms}};
  configuration.services = {{"tally", 4.5, "/health"}};
  configuration.flow_idle_timeout = 15s;
  cluster_state.ApplyList<cluster_state::Configuration>(
      ObjectKind::kConfiguration,
      {ClusterState::ConfigurationEntry{"main", 5, configuration}}, {0, 9},
      kNow);
  cluster_state::UpstreamRecord upstream;
  upstream.id = 0x1122334455667788;
  upstream.service = "tally";
  upstream.endpoint = {0x0a000001, 8080};
  upstream.failure_domain = "regina";
  upstream.cold_until = kNow + 1500ms;
  upstream.started_unix_ms = 1'700'000'000'000;
  upstream.slots = 2;
  cluster_state.ApplyList<cluster_state::UpstreamRecord>(
      ObjectKind::kUpstreams, {ClusterState::UpstreamEntry{"i-1", 7, upstream}},
      {0, 9}, kNow);
  cluster_state.ApplyList<cluster_state::Evacuation>(
      ObjectKind::kEvacuations,
      {ClusterState::EvacuationEntry{"brandon", 8,
                                     cluster_state::Evacuation{"brandon"}}},
      {0, 9}, kNow);
  return cluster_state;
}

// Guards against messages that can't be written for bytes that a peer sent.
TEST_CASE("Names and texts of any bytes are passed on") {
  const std::string bytes = std::string("\0\n\x7f\xff\xc0", 5);
  ClusterState sender = MakeClusterState();
  cluster_state::UpstreamRecord upstream;
  upstream.id = 7;
  upstream.service = bytes;
  upstream.failure_domain = bytes;
  sender.Apply(ClusterState::UpstreamEntry{bytes, 10, upstream}, kNow);
  ClusterState receiver;
  MergeClusterState(EncodeClusterState(&sender, {}, {}, kNow), &receiver, kNow);
  ClusterState third;
  MergeClusterState(EncodeClusterState(&receiver, {}, {}, kNow), &third, kNow);
  CHECK(third.upstreams().at(bytes).record.service == bytes);
}

TEST_CASE("A host without state takes over the full state") {
  const ClusterState sender = MakeClusterState();
  ClusterState receiver;
  // The steady clocks of hosts are unrelated.
  const cluster_state::SteadyTime later{50'000s};
  MergeClusterState(EncodeClusterState(&sender, {}, {}, kNow), &receiver,
                    later);
  CHECK(receiver.IsComplete());
  CHECK(receiver.configuration() == sender.configuration());
  CHECK(receiver.IsEvacuated("brandon"));
  const cluster_state::UpstreamRecord& record =
      receiver.upstreams().at("i-1").record;
  CHECK(record.cold_until == later + 1500ms);
  CHECK(record.slots == 2);
  CHECK(record.id == 0x1122334455667788);
  CHECK(record.started_unix_ms == 1'700'000'000'000);
  CHECK(KnownVersionsOf(receiver) == KnownVersionsOf(sender));
}

TEST_CASE("An older state reverts no newer changes") {
  ClusterState receiver = MakeClusterState();
  const std::string old_message = EncodeClusterState(&receiver, {}, {}, kNow);
  cluster_state::UpstreamRecord draining =
      receiver.upstreams().at("i-1").record;
  draining.phase = cluster_state::UpstreamPhase::kDraining;
  receiver.Apply(ClusterState::UpstreamEntry{"i-1", 12, draining}, kNow);
  receiver.Apply(ClusterState::EvacuationEntry{"brandon", 13, std::nullopt},
                 kNow);
  cluster_state::Configuration newer = *receiver.configuration();
  newer.version = 4;
  receiver.Apply(ClusterState::ConfigurationEntry{"main", 14, newer}, kNow);
  MergeClusterState(old_message, &receiver, kNow);
  CHECK(receiver.upstreams().at("i-1").record.phase ==
        cluster_state::UpstreamPhase::kDraining);
  CHECK_FALSE(receiver.IsEvacuated("brandon"));
  CHECK(receiver.configuration()->version == 4);
}

TEST_CASE("Kinds that a peer never listed remove nothing") {
  ClusterState receiver = MakeClusterState();
  const ClusterState empty;
  MergeClusterState(EncodeClusterState(&empty, {}, {}, kNow), &receiver, kNow);
  CHECK(receiver.upstreams().size() == 1);
  CHECK_FALSE(receiver.upstreams().at("i-1").is_unregistered);
  CHECK(receiver.IsEvacuated("brandon"));
}

TEST_CASE("An invalid message changes nothing") {
  const ClusterState sender = MakeClusterState();
  const std::string full_message = EncodeClusterState(&sender, {}, {}, kNow);
  nlohmann::json parsed = nlohmann::json::from_msgpack(full_message);
  std::string message;
  SECTION("empty") {}
  SECTION("truncated") {
    message = full_message.substr(0, full_message.size() / 2);
  }
  SECTION("another version") {
    parsed["version"] = 2;
    nlohmann::json::to_msgpack(parsed, message);
  }
  SECTION("a kind is missing") {
    parsed.erase("take_outs");
    nlohmann::json::to_msgpack(parsed, message);
  }
  SECTION("a kind has a value of the wrong type") {
    parsed["upstreams"]["objects"] = "none";
    nlohmann::json::to_msgpack(parsed, message);
  }
  SECTION("too long") {
    message.assign(kMaxStateMessageBytes + 1, '\0');
  }
  ClusterState receiver;
  CHECK_THROWS_AS(MergeClusterState(message, &receiver, kNow),
                  StateMessageError);
  CHECK(receiver.generation() == 0);
}

TEST_CASE("Unknown fields are ignored") {
  const ClusterState sender = MakeClusterState();
  nlohmann::json parsed =
      nlohmann::json::from_msgpack(EncodeClusterState(&sender, {}, {}, kNow));
  parsed["later_addition"] = {1, 2, 3};
  parsed["upstreams"]["objects"][0][2]["weight"] = 4;
  std::string message;
  nlohmann::json::to_msgpack(parsed, message);
  ClusterState receiver;
  MergeClusterState(message, &receiver, kNow);
  CHECK(receiver.IsComplete());
}

TEST_CASE("A host that knows a revision gets the changes since then") {
  ClusterState sender = MakeClusterState();
  ClusterState receiver = MakeClusterState();
  cluster_state::UpstreamRecord added = sender.upstreams().at("i-1").record;
  added.id = 2;
  added.endpoint.port = 9;
  sender.Apply(ClusterState::UpstreamEntry{"i-2", 12, added}, kNow);
  sender.Apply(ClusterState::UpstreamEntry{"i-1", 13, std::nullopt}, kNow);
  sender.Apply(ClusterState::EvacuationEntry{"brandon", 14, std::nullopt},
               kNow);
  sender.MarkListed(ObjectKind::kUpstreams, {0, 14});
  sender.MarkListed(ObjectKind::kEvacuations, {0, 14});
  const std::string full_message = EncodeClusterState(&sender, {}, {}, kNow);
  const std::string changes =
      EncodeClusterState(&sender, KnownVersionsOf(receiver), {}, kNow);
  CHECK(changes.size() < full_message.size());
  MergeClusterState(changes, &receiver, kNow);
  CHECK(receiver.upstreams().contains("i-2"));
  CHECK(receiver.upstreams().at("i-1").is_unregistered);
  CHECK_FALSE(receiver.IsEvacuated("brandon"));
  CHECK(KnownVersionsOf(receiver) == KnownVersionsOf(sender));
}

TEST_CASE("A message carries the fleet view without a cluster state") {
  const FleetView fleet{9, {{0x0a000001, 7720}, {0x0a000002, 7720}}};
  ClusterState receiver;
  CHECK(MergeClusterState(EncodeClusterState(nullptr, {}, fleet, kNow),
                          &receiver, kNow) == fleet);
  CHECK(receiver.generation() == 0);
}

// Earlier releases neither send capacities nor know the field.
TEST_CASE("Capacities accompany the local peers if they are stated") {
  FleetView fleet{9, {{0x0a000001, 7720}, {0x0a000002, 7720}}};
  fleet.local_capacities = {350, 0};
  ClusterState receiver;
  const std::string message = EncodeClusterState(nullptr, {}, fleet, kNow);
  CHECK(MergeClusterState(message, &receiver, kNow) == fleet);
  nlohmann::json parsed = nlohmann::json::from_msgpack(message);
  std::vector<uint32_t> expected;
  SECTION("missing") {
    parsed.erase("capacities");
  }
  SECTION("another number than peers") {
    parsed["capacities"] = {350};
  }
  SECTION("invalid values are unknown") {
    parsed["capacities"] = {-1, 350};
    expected = {0, 350};
  }
  std::string changed;
  nlohmann::json::to_msgpack(parsed, changed);
  fleet.local_capacities = expected;
  CHECK(MergeClusterState(changed, &receiver, kNow) == fleet);
}

KnownVersions Known(uint64_t configuration,
                    uint64_t upstreams,
                    uint64_t evacuations,
                    uint64_t era = 0) {
  KnownVersions known;
  known.listed = {cluster_state::StoreVersion{era, configuration},
                  cluster_state::StoreVersion{era, upstreams},
                  cluster_state::StoreVersion{era, evacuations}};
  return known;
}

TEST_CASE("Known versions are converted to text and back") {
  KnownVersions known = Known(1, 0, 4'000'000'000'000, 7);
  known.configuration = 12;
  CHECK(ParseKnownVersions(ToText(known)) == known);
  // The text of earlier releases holds the revisions only.
  CHECK(ParseKnownVersions("7,x,9") == Known(7, 0, 9));
  CHECK(ParseKnownVersions("") == KnownVersions{});
  CHECK(IsNewer(MakeClusterState(), Known(9, 8, 9)));
  CHECK_FALSE(IsNewer(MakeClusterState(), Known(9, 9, 9)));
  KnownVersions without_configuration = Known(9, 9, 9);
  without_configuration.configuration = 0;
  CHECK(ParseKnownVersions(ToText(without_configuration)) ==
        without_configuration);
  CHECK(IsNewer(MakeClusterState(), without_configuration));
  // A later era is newer whatever the revisions are.
  CHECK_FALSE(IsNewer(MakeClusterState(), Known(1, 1, 1, 1)));
}

// The state of a host that listed the store after a restore from a copy without
// the upstream and the evacuation of MakeClusterState().
ClusterState MakeRestoredState() {
  ClusterState restored;
  cluster_state::Configuration configuration;
  configuration.version = 2;
  restored.ApplyList<cluster_state::Configuration>(
      ObjectKind::kConfiguration,
      {ClusterState::ConfigurationEntry{"main", 3, configuration}}, {1, 4},
      kNow);
  cluster_state::UpstreamRecord upstream;
  upstream.id = 2;
  restored.ApplyList<cluster_state::UpstreamRecord>(
      ObjectKind::kUpstreams, {ClusterState::UpstreamEntry{"i-2", 4, upstream}},
      {1, 4}, kNow);
  restored.ApplyList<cluster_state::Evacuation>(ObjectKind::kEvacuations, {},
                                                {1, 4}, kNow);
  return restored;
}

TEST_CASE("A host learns of a restore of the store from a peer") {
  const ClusterState restored = MakeRestoredState();
  ClusterState receiver = MakeClusterState();
  REQUIRE(IsNewer(restored, KnownVersionsOf(receiver)));
  CHECK(NeedsAllUpstreams(restored, KnownVersionsOf(receiver)));
  MergeClusterState(
      EncodeClusterState(&restored, KnownVersionsOf(receiver), {}, kNow),
      &receiver, kNow);
  CHECK(KnownVersionsOf(receiver).listed == KnownVersionsOf(restored).listed);
  CHECK(receiver.upstreams().contains("i-2"));
  // What the copy lacks stays in force for now.
  CHECK_FALSE(receiver.upstreams().at("i-1").is_unregistered);
  CHECK(receiver.IsEvacuated("brandon"));
  CHECK(receiver.configuration()->version == 3);
}

TEST_CASE("A message from before a restore changes nothing") {
  const ClusterState old = MakeClusterState();
  ClusterState receiver = MakeRestoredState();
  const uint64_t generation = receiver.generation();
  SECTION("a full state") {
    MergeClusterState(EncodeClusterState(&old, {}, {}, kNow), &receiver, kNow);
    // Only a newer configuration is taken, whatever its era.
    CHECK(receiver.generation() == generation + 1);
    CHECK(receiver.configuration()->version == 3);
  }
  SECTION("changes") {
    MergeClusterState(EncodeClusterState(&old, Known(5, 4, 4), {}, kNow),
                      &receiver, kNow);
  }
  CHECK_FALSE(receiver.upstreams().contains("i-1"));
  CHECK_FALSE(receiver.IsEvacuated("brandon"));
  CHECK(KnownVersionsOf(receiver).listed ==
        KnownVersionsOf(MakeRestoredState()).listed);
}

TEST_CASE("Removals before a host's last list reach its peers") {
  // The sender listed the store after the upstream had left and never knew it.
  ClusterState receiver = MakeClusterState();
  ClusterState sender;
  sender.ApplyList<cluster_state::UpstreamRecord>(ObjectKind::kUpstreams, {},
                                                  {0, 30}, kNow);
  MergeClusterState(
      EncodeClusterState(&sender, KnownVersionsOf(receiver), {}, kNow),
      &receiver, kNow);
  CHECK(receiver.upstreams().at("i-1").is_unregistered);
}

TEST_CASE("Changes of a later era need a complete list first") {
  ClusterState sender = MakeRestoredState();
  cluster_state::UpstreamRecord added;
  added.id = 3;
  sender.Apply(ClusterState::UpstreamEntry{"i-3", 5, added}, kNow);
  sender.MarkListed(ObjectKind::kUpstreams, {1, 5});
  ClusterState receiver = MakeClusterState();
  MergeClusterState(EncodeClusterState(&sender, Known(4, 4, 4, 1), {}, kNow),
                    &receiver, kNow);
  CHECK(receiver.listed_version(ObjectKind::kUpstreams).era == 0);
  CHECK_FALSE(receiver.upstreams().contains("i-3"));
}

TEST_CASE("The newest configuration in force spreads after a restore") {
  // A host that starts after the restore lists the older configuration.
  ClusterState veteran = MakeClusterState();
  const ClusterState restored = MakeRestoredState();
  MergeClusterState(EncodeClusterState(&restored, {}, {}, kNow), &veteran,
                    kNow);
  REQUIRE(veteran.configuration()->version == 3);
  ClusterState newcomer = MakeRestoredState();
  REQUIRE(IsNewer(veteran, KnownVersionsOf(newcomer)));
  MergeClusterState(
      EncodeClusterState(&veteran, KnownVersionsOf(newcomer), {}, kNow),
      &newcomer, kNow);
  CHECK(newcomer.configuration() == veteran.configuration());
  CHECK_FALSE(IsNewer(veteran, KnownVersionsOf(newcomer)));
}

// Guards against a stack overflow while a message is decoded.
TEST_CASE("A deeply nested message is refused") {
  constexpr char kArrayOfOne = '\x91';
  ClusterState receiver;
  CHECK_THROWS_AS(
      MergeClusterState(std::string(1'000'000, kArrayOfOne) + '\xc0', &receiver,
                        kNow),
      StateMessageError);
}

}  // namespace
}  // namespace poplarsail::entry
