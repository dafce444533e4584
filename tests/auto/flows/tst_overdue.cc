// Upstreams that leave requests unanswered while they accept connections.
#include <catch2/catch.hpp>

#include <map>

#include "flow_fixture.h"

namespace poplarsail::flows {
namespace {

// Five upstreams of one service.
struct OverdueFixture : FlowFixture {
  OverdueFixture() {
    for (uint64_t id = 1; id <= kUpstreams; ++id) {
      AddUpstream(id);
    }
  }

  const Upstream& Find(uint64_t id) {
    return *steering.routing_table().FindUpstream(id);
  }

  // Opens flows and returns how many each upstream got.
  std::map<uint64_t, int> PlaceFlows(int count) {
    std::map<uint64_t, int> placed;
    for (int i = 0; i < count; ++i) {
      const Decision decision = steering.Decide(Syn(m_next_port++), now);
      REQUIRE(decision.action == Action::kForward);
      ++placed[decision.upstream->record.id];
      now += 1ms;
    }
    return placed;
  }

  // Opens flows to all upstreams. The requests on flows to `silent` get no
  // response, the others do; the upstream answers on other flows.
  void LeaveUnanswered(uint64_t silent, int flows) {
    for (int i = 0; i < flows; ++i) {
      const uint16_t port = m_next_port++;
      const Decision open = OpenFlow(port);
      const FlowPacket request = Data(port, open.tag, 101, 500);
      const bool is_silent = open.upstream->record.id == silent;
      if (!is_silent) {
        now += 20ms;
        AcknowledgeResponse(port, open.tag);
        continue;
      }
      now = *open.response_deadline;
      steering.DecideOnTimeout(request, now);
    }
  }

  static constexpr uint64_t kUpstreams = 5;

 private:
  uint16_t m_next_port = 1;
};

std::vector<OverdueCount> Overdue(uint64_t id, uint32_t requests) {
  return {{id, requests}};
}

// 19 of 120 upstreams answered 60 % of their requests for 6.6 s, and 546
// requests ran into their clients' deadlines (zlab-west-grown, scale-1).
TEST_CASE("New flows avoid an upstream that leaves requests unanswered") {
  OverdueFixture fixture;
  fixture.LeaveUnanswered(3, 60);
  CHECK(fixture.steering.JudgeUpstreams(fixture.now) ==
        std::vector<UnresponsiveChange>{{3, true}});
  CHECK_FALSE(fixture.PlaceFlows(50).contains(3));
  // Its open flows stay: it lives.
  CHECK(fixture.Find(3).liveness.health(fixture.now) != Health::kPresumedDead);
  SECTION("for a while") {
    fixture.now += 10s;
    CHECK(fixture.steering.JudgeUpstreams(fixture.now) ==
          std::vector<UnresponsiveChange>{{3, false}});
    CHECK(fixture.PlaceFlows(50).contains(3));
  }
}

// In a large fleet a host sends an upstream a request every few seconds.
TEST_CASE("Overdue requests of other hosts count") {
  OverdueFixture fixture;
  fixture.steering.AddOverdueRequests(Overdue(2, 4), fixture.now);
  CHECK(fixture.steering.JudgeUpstreams(fixture.now).size() == 1);
  CHECK_FALSE(fixture.PlaceFlows(50).contains(2));
  // They are not passed on.
  CHECK(fixture.steering.TakeOverdueRequests().empty());
  fixture.steering.AddOverdueRequests(Overdue(77, 4), fixture.now);
  CHECK(fixture.steering.JudgeUpstreams(fixture.now).empty());
}

TEST_CASE("Overdue requests are told to other hosts once") {
  OverdueFixture fixture;
  fixture.LeaveUnanswered(1, 30);
  const auto counts = fixture.steering.TakeOverdueRequests();
  REQUIRE(counts.size() == 1);
  CHECK(counts.front().upstream_id == 1);
  CHECK(counts.front().requests > 3);
  CHECK(fixture.steering.TakeOverdueRequests().empty());
}

// Under overload responses of all upstreams are overdue. No one is better.
TEST_CASE("No upstream is unresponsive if all have overdue requests") {
  OverdueFixture fixture;
  for (uint64_t id = 1; id <= OverdueFixture::kUpstreams; ++id) {
    fixture.steering.AddOverdueRequests(
        Overdue(id, 10 + static_cast<uint32_t>(id)), fixture.now);
  }
  CHECK(fixture.steering.JudgeUpstreams(fixture.now).empty());
}

TEST_CASE("A few overdue requests show nothing") {
  OverdueFixture fixture;
  fixture.steering.AddOverdueRequests(Overdue(2, 2), fixture.now);
  CHECK(fixture.steering.JudgeUpstreams(fixture.now).empty());
}

TEST_CASE("An unresponsive upstream is used if there is no other") {
  FlowFixture fixture;
  fixture.AddUpstream(1);
  fixture.steering.AddOverdueRequests(Overdue(1, 9), fixture.now);
  fixture.steering.JudgeUpstreams(fixture.now);
  CHECK(fixture.steering.Decide(FlowFixture::Syn(1), fixture.now).action ==
        Action::kForward);
}

}  // namespace
}  // namespace poplarsail::flows
