#include <catch2/catch.hpp>

#include <vector>

#include "flow_fixture.h"

namespace poplarsail::flows {
namespace {

// Schedules the service tally and records what it is told.
class FakeScheduler : public FlowScheduler {
 public:
  bool IsScheduled(const std::string& service) const override {
    return service == "tally";
  }
  uint32_t Request(const std::string&,
                   scheduling::PlacementRequest request) override {
    requests.push_back(std::move(request));
    return NewToken();
  }
  uint32_t NewToken() override { return ++m_last_token; }
  void OnPlaced(const std::string&, uint32_t token, uint64_t id) override {
    placed.emplace_back(token, id);
  }
  void OnCompleted(const scheduling::Completion& completion) override {
    completions.push_back(completion);
  }
  void OnFlowEnded(const model::Ipv4Endpoint&, uint32_t count) override {
    ended_request_counts.push_back(count);
  }
  void OnFlowReused(const model::Ipv4Endpoint&) override { ++reused; }

  std::vector<scheduling::PlacementRequest> requests;
  std::vector<std::pair<uint32_t, uint64_t>> placed;
  std::vector<scheduling::Completion> completions;
  std::vector<uint32_t> ended_request_counts;
  int reused = 0;

 private:
  uint32_t m_last_token = 0;
};

class ScheduledFixture : public FlowFixture {
 public:
  ScheduledFixture() {
    AddUpstream(1);
    AddUpstream(2);
    steering.set_scheduler(&scheduler);
  }

  // Opens a flow on upstream 2 and sends its request.
  Decision OpenScheduledFlow(uint16_t port) {
    const Decision held = steering.Decide(Syn(port), now);
    REQUIRE(held.action == Action::kAwaitPlacement);
    const Decision placed =
        steering.PlaceHeldFlow(Syn(port), held.token, 2, now);
    REQUIRE(placed.action == Action::kForward);
    now += 3ms;
    steering.Decide(Data(port, placed.tag, 101, 500), now);
    return placed;
  }

  FlowPacket Fin(uint16_t port, uint32_t tag) {
    FlowPacket packet = Data(port, tag, 251, 900);
    packet.data_bytes = 0;
    packet.is_fin = true;
    return packet;
  }

  FakeScheduler scheduler;
};

// Guards against a caller that counts several times, or is forwarded twice,
// since it retransmits its SYN while it waits.
TEST_CASE("Retransmissions of a held SYN are one caller") {
  ScheduledFixture fixture;
  const Decision held =
      fixture.steering.Decide(FlowFixture::Syn(1), fixture.now);
  REQUIRE(held.action == Action::kAwaitPlacement);
  fixture.now += 200ms;
  const Decision copy = fixture.steering.Decide(
      FlowFixture::Syn(1, kTallyListener, 1), fixture.now);
  CHECK(copy.action == Action::kDrop);
  CHECK(copy.reason == Reason::kHeld);
  CHECK(fixture.scheduler.requests.size() == 1);
  CHECK(fixture.scheduler.placed.empty());
}

// Guards against a place that stays taken after the response: the upstream is
// free although the client keeps the flow open for a moment.
TEST_CASE("A place is released by the first sign of the response, once") {
  ScheduledFixture fixture;
  const Decision placed = fixture.OpenScheduledFlow(1);
  CHECK(fixture.scheduler.completions.empty());
  fixture.now += 40ms;
  fixture.AcknowledgeResponse(1, placed.tag);
  REQUIRE(fixture.scheduler.completions.size() == 1);
  const scheduling::Completion& completion = fixture.scheduler.completions[0];
  CHECK(completion.outcome == scheduling::Outcome::kResponded);
  CHECK(completion.upstream_id == 2);
  CHECK(completion.response_time == 40ms);
  fixture.steering.Decide(fixture.Fin(1, placed.tag), fixture.now);
  CHECK(fixture.scheduler.completions.size() == 1);
  CHECK(fixture.scheduler.ended_request_counts == std::vector<uint32_t>{1});
}

TEST_CASE("A place is released when a flow ends without a response") {
  ScheduledFixture fixture;
  const Decision placed = fixture.OpenScheduledFlow(1);
  scheduling::Outcome expected = scheduling::Outcome::kAbandoned;
  SECTION("The client ends it") {
    FlowPacket fin = fixture.Fin(1, placed.tag);
    fin.ack_number = 500;  // Nothing was received since the request.
    fixture.steering.Decide(fin, fixture.now);
  }
  SECTION("The client has gone") {
    fixture.now += 16s;
    fixture.steering.EvictIdleFlows(fixture.now);
  }
  SECTION("Another flow uses its port") {
    fixture.now += 1s;
    fixture.steering.Decide(FlowFixture::Syn(1), fixture.now);
  }
  SECTION("The upstream fails a check") {
    fixture.now += 500ms;
    fixture.steering.HandleFailureReport(2, fixture.now);
    fixture.now += 50ms;
    fixture.steering.HandleCheckResult(2, CheckOutcome::kNoResponse,
                                       fixture.now);
    expected = scheduling::Outcome::kFailed;
  }
  REQUIRE(fixture.scheduler.completions.size() == 1);
  CHECK(fixture.scheduler.completions[0].outcome == expected);
}

// Guards against a second place in use for one flow: a SYN without a response
// is sent to another upstream, and the first place has to be free again.
TEST_CASE("A SYN that is sent again takes a new place and frees the old one") {
  ScheduledFixture fixture;
  const FlowPacket syn = FlowFixture::Syn(1);
  const Decision held = fixture.steering.Decide(syn, fixture.now);
  const Decision placed =
      fixture.steering.PlaceHeldFlow(syn, held.token, 2, fixture.now);
  REQUIRE(placed.response_deadline);
  fixture.now = *placed.response_deadline + 1ms;
  const ResponseTimeoutDecision late =
      fixture.steering.DecideOnTimeout(syn, fixture.now);
  REQUIRE(late.resend);
  CHECK(late.resend->upstream->record.id == 1);
  REQUIRE(fixture.scheduler.completions.size() == 1);
  CHECK(fixture.scheduler.completions[0].token == held.token);
  CHECK(fixture.scheduler.completions[0].outcome ==
        scheduling::Outcome::kFailed);
  REQUIRE(fixture.scheduler.placed.size() == 2);
  CHECK(fixture.scheduler.placed[1].first != held.token);
}

// Guards against a failure of the wrong upstream: the one that got the SYN
// first answered after all, and the other one has done nothing wrong.
TEST_CASE("A late handshake takes the place of the upstream that answered") {
  ScheduledFixture fixture;
  const FlowPacket syn = FlowFixture::Syn(1);
  const Decision held = fixture.steering.Decide(syn, fixture.now);
  const Decision placed =
      fixture.steering.PlaceHeldFlow(syn, held.token, 2, fixture.now);
  fixture.now = *placed.response_deadline + 1ms;
  REQUIRE(fixture.steering.DecideOnTimeout(syn, fixture.now).resend);
  fixture.now += 5ms;
  fixture.steering.Decide(FlowFixture::Data(1, placed.tag, 101, 500),
                          fixture.now);
  REQUIRE(fixture.scheduler.completions.size() == 2);
  CHECK(fixture.scheduler.completions[1].upstream_id == 1);
  CHECK(fixture.scheduler.completions[1].outcome ==
        scheduling::Outcome::kAbandoned);
  REQUIRE(fixture.scheduler.placed.size() == 3);
  CHECK(fixture.scheduler.placed[2].second == 2);
}

// Guards against a flow that moves to a second upstream because its client sent
// a copy of the SYN while it waited.
TEST_CASE("A copy that arrives just after the grant is not placed again") {
  ScheduledFixture fixture;
  const FlowPacket syn = FlowFixture::Syn(1);
  const Decision held = fixture.steering.Decide(syn, fixture.now);
  fixture.now += 199ms;
  fixture.steering.PlaceHeldFlow(syn, held.token, 2, fixture.now);
  fixture.now += 1ms;
  const Decision copy = fixture.steering.Decide(
      FlowFixture::Syn(1, kTallyListener, 1), fixture.now);
  CHECK(copy.action == Action::kDrop);
  CHECK(fixture.scheduler.completions.empty());
}

// Guards against forwarding by an answer that comes too late or names an
// upstream that left meanwhile.
TEST_CASE("A grant that cannot be used places nothing") {
  ScheduledFixture fixture;
  const FlowPacket syn = FlowFixture::Syn(1);
  const Decision held = fixture.steering.Decide(syn, fixture.now);
  SECTION("The upstream drains") {
    auto draining = FlowFixture::MakeUpstream(2, "tally", "regina");
    draining.phase = cluster_state::UpstreamPhase::kDraining;
    fixture.PutUpstream(draining);
    CHECK(fixture.steering.PlaceHeldFlow(syn, held.token, 2, fixture.now)
              .action == Action::kDrop);
  }
  SECTION("The failure domain is evacuated") {
    fixture.Evacuate("regina");
    CHECK(fixture.steering.PlaceHeldFlow(syn, held.token, 2, fixture.now)
              .action == Action::kDrop);
  }
  SECTION("The upstream belongs to another service") {
    fixture.AddUpstream(3, "archive");
    CHECK(fixture.steering.PlaceHeldFlow(syn, held.token, 3, fixture.now)
              .action == Action::kDrop);
  }
  SECTION("The upstream is unknown") {
    CHECK(fixture.steering.PlaceHeldFlow(syn, held.token, 99, fixture.now)
              .action == Action::kDrop);
  }
  SECTION("The flow was refused") {
    CHECK(fixture.steering
              .RefuseHeldFlow(syn, held.token, Reason::kNoRoom, fixture.now)
              .action == Action::kReset);
    CHECK(fixture.steering.PlaceHeldFlow(syn, held.token, 2, fixture.now)
              .action == Action::kDrop);
    CHECK(fixture.steering.PlaceHeldFlowLocally(syn, held.token, fixture.now)
              .action == Action::kDrop);
  }
  CHECK(fixture.scheduler.placed.empty());
}

TEST_CASE("Without an answer the flow is placed by the host itself") {
  ScheduledFixture fixture;
  const FlowPacket syn = FlowFixture::Syn(1);
  const Decision held = fixture.steering.Decide(syn, fixture.now);
  const Decision placed =
      fixture.steering.PlaceHeldFlowLocally(syn, held.token, fixture.now);
  CHECK(placed.action == Action::kForward);
  // The scheduler has to count the flow nevertheless.
  REQUIRE(fixture.scheduler.placed.size() == 1);
  CHECK(fixture.scheduler.placed[0].first != 0);
}

// Guards against scheduling of flows that stay open for many requests.
TEST_CASE("A second request on a flow is noticed at once") {
  ScheduledFixture fixture;
  const Decision placed = fixture.OpenScheduledFlow(1);
  fixture.now += 40ms;
  fixture.AcknowledgeResponse(1, placed.tag);
  CHECK(fixture.scheduler.reused == 0);
  fixture.now += 1s;
  fixture.steering.Decide(FlowFixture::Data(1, placed.tag, 251, 900),
                          fixture.now);
  CHECK(fixture.scheduler.reused == 1);
}

TEST_CASE("Flows of other services are placed at once") {
  ScheduledFixture fixture;
  fixture.AddUpstream(5, "archive");
  const Decision placed = fixture.steering.Decide(
      FlowFixture::Syn(1, kArchiveListener), fixture.now);
  CHECK(placed.action == Action::kForward);
  CHECK(fixture.scheduler.requests.empty());
  CHECK(fixture.scheduler.placed.empty());
}

}  // namespace
}  // namespace poplarsail::flows
