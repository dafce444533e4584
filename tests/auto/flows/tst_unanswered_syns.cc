// SYNs without a response in time, and their copies.
#include <catch2/catch.hpp>

#include "flow_fixture.h"

namespace poplarsail::flows {
namespace {

// A host with two upstreams that places the SYN of client port 1. Both answer
// other flows in time.
struct UnansweredSynFixture : FlowFixture {
  UnansweredSynFixture() {
    AddUpstream(1);
    AddUpstream(2);
    first = steering.Decide(Syn(1), now);
  }
  void RespondOnAnotherFlow() {
    steering.RecordConnection(first.upstream->record.id, now);
  }
  uint64_t first_id() const { return first.upstream->record.id; }

  Decision first;
};

// Guards against a SYN at two upstreams after a lost response: the client may
// end up with the tag of the one that does not hold its flow.
TEST_CASE("A SYN goes to the same upstream while that is alive") {
  UnansweredSynFixture fixture;
  fixture.now += 25ms;
  fixture.RespondOnAnotherFlow();
  SECTION("when its response is overdue") {
    fixture.now = *fixture.first.response_deadline;
    const ResponseTimeoutDecision overdue =
        fixture.steering.DecideOnTimeout(FlowFixture::Syn(1), fixture.now);
    REQUIRE(overdue.resend);
    CHECK(overdue.resend->reason == Reason::kSentAgain);
    CHECK(overdue.resend->upstream->record.id == fixture.first_id());
    CHECK(overdue.resend->tag == fixture.first.tag);
    CHECK(overdue.check == nullptr);
    // Only once.
    fixture.now += kSynTimeoutBounds.max;
    CHECK_FALSE(
        fixture.steering.DecideOnTimeout(FlowFixture::Syn(1), fixture.now)
            .resend);
  }
  SECTION("when the client sends a copy") {
    fixture.now += 175ms;
    const Decision copy = fixture.steering.Decide(
        FlowFixture::Syn(1, kTallyListener, 1), fixture.now);
    CHECK(copy.action == Action::kForward);
    CHECK(copy.reason == Reason::kSentAgain);
    CHECK(copy.upstream->record.id == fixture.first_id());
  }
}

TEST_CASE("A SYN goes to another upstream although the first is alive") {
  UnansweredSynFixture fixture;
  fixture.now += 25ms;
  fixture.RespondOnAnotherFlow();
  uint32_t copy = 1;
  SECTION("with the client's last copy") {
    copy = 2;
  }
  SECTION("if the first is draining") {
    auto draining =
        FlowFixture::MakeUpstream(fixture.first_id(), "tally", "regina");
    draining.phase = cluster_state::UpstreamPhase::kDraining;
    fixture.PutUpstream(draining);
  }
  SECTION("if the first answers no SYN") {
    Upstream* full =
        fixture.steering.routing_table().FindUpstream(fixture.first_id());
    for (uint32_t i = 0; i < kMaxUnansweredSyns; ++i) {
      full->liveness.RecordUnansweredSyn();
    }
  }
  fixture.now += 175ms;
  const Decision placed = fixture.steering.Decide(
      FlowFixture::Syn(1, kTallyListener, copy), fixture.now);
  CHECK(placed.action == Action::kForward);
  CHECK(placed.upstream->record.id != fixture.first_id());
}

TEST_CASE("An upstream without a response is probed before the deadline") {
  UnansweredSynFixture fixture;
  REQUIRE(fixture.first.probe_time);
  CHECK(*fixture.first.probe_time < *fixture.first.response_deadline);
  fixture.now = *fixture.first.probe_time;
  const ResponseTimeoutDecision early =
      fixture.steering.DecideOnTimeout(FlowFixture::Syn(1), fixture.now);
  REQUIRE(early.probe != nullptr);
  CHECK(early.probe->record.id == fixture.first_id());
  CHECK(early.next_deadline == fixture.first.response_deadline);
  CHECK_FALSE(early.resend);
  // Without an answer to the probe the SYN goes elsewhere.
  fixture.now = *early.next_deadline;
  const ResponseTimeoutDecision overdue =
      fixture.steering.DecideOnTimeout(FlowFixture::Syn(1), fixture.now);
  REQUIRE(overdue.resend);
  CHECK(overdue.resend->upstream->record.id != fixture.first_id());
}

// Guards against a second upstream for a SYN whose copy arrives at another
// host, as in a rolling restart.
TEST_CASE("A copy of a SYN goes where a peer has placed the flow") {
  FlowFixture fixture;
  for (uint64_t id = 1; id <= 8; ++id) {
    fixture.AddUpstream(id);
  }
  const uint64_t placed_at = GENERATE(1, 5, 8);
  fixture.steering.RecordPeerPlacement(FlowFixture::Key(1, kTallyListener),
                                       placed_at, fixture.now);
  const FlowPacket copy = FlowFixture::Syn(1, kTallyListener, 1);
  SECTION("the first copy") {
    fixture.now += 150ms;
    const Decision decision = fixture.steering.Decide(copy, fixture.now);
    CHECK(decision.reason == Reason::kPlacedByPeer);
    CHECK(decision.upstream->record.id == placed_at);
  }
  SECTION("unless the upstream is draining") {
    auto draining = FlowFixture::MakeUpstream(placed_at, "tally", "regina");
    draining.phase = cluster_state::UpstreamPhase::kDraining;
    fixture.PutUpstream(draining);
    CHECK(fixture.steering.Decide(copy, fixture.now).upstream->record.id !=
          placed_at);
  }
  SECTION("unless it is about an earlier flow with the same ports") {
    fixture.now += kPeerPlacementRetention;
    CHECK(fixture.steering.Decide(copy, fixture.now).reason == Reason::kPlaced);
  }
}

}  // namespace
}  // namespace poplarsail::flows
