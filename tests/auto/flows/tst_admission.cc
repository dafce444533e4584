// New flows of a service whose upstreams refuse requests.
#include <catch2/catch.hpp>

#include "flow_fixture.h"

namespace poplarsail::flows {
namespace {

constexpr Ipv4Endpoint kFeedListener = kTallyListener;
constexpr Ipv4Endpoint kQuoteListener{0xc6120003, 8080};
constexpr uint32_t kResponseBytes = 2'400;
constexpr uint32_t kRefusalBytes = 147;
// Response times with free slots and with full queues.
constexpr milliseconds kOrdinaryTime{24};
constexpr milliseconds kOverloadTime{80};

// Two upstreams that serve a feed, whose clients keep their flows open, and
// quotes, which are more urgent.
struct OverloadFixture : FlowFixture {
  OverloadFixture() {
    auto& configuration = EditConfiguration();
    configuration.listeners = {
        {"feed", kFeedListener, {{"tally", 1}}, 2, 120ms, 1'500ms},
        {"quote", kQuoteListener, {{"tally", 1}}, 1, 150ms, 2'000ms}};
    ApplyConfiguration();
    AddUpstream(1);
    AddUpstream(2);
    for (uint16_t port = 1; port <= kOpenFlows; ++port) {
      m_flows.push_back(OpenFlow(port));
      now += kOrdinaryTime;
      Answer(port, kResponseBytes);
    }
    SendRequests(0, kOrdinaryTime);
  }

  // Requests on all open flows, and the acknowledgements of their answers; of
  // twenty, `refused` are refused. Lasts a second or more.
  void SendRequests(int refused, milliseconds response_time) {
    for (int i = 0; i < 20; ++i) {
      for (uint16_t port = 1; port <= kOpenFlows; ++port) {
        SendRequest(port);
      }
      now += response_time;
      for (uint16_t port = 1; port <= kOpenFlows; ++port) {
        const bool is_refused = (i + port) % 20 < refused;
        Answer(port, is_refused ? kRefusalBytes : kResponseBytes);
        now += 1ms;
      }
    }
  }

  // Returns how many of 50 new flows are admitted.
  int CountAdmitted(const Ipv4Endpoint& listener, uint32_t retransmits = 0) {
    steering.JudgeUpstreams(now);
    int admitted = 0;
    for (int i = 0; i < 50; ++i) {
      const Decision decision =
          steering.Decide(Syn(m_next_port++, listener, retransmits), now);
      const bool is_refused = decision.action == Action::kReset &&
                              decision.reason == Reason::kNoRoom;
      admitted += is_refused ? 0 : 1;
      REQUIRE((is_refused || decision.action == Action::kForward));
    }
    return admitted;
  }

 private:
  static constexpr uint16_t kOpenFlows = 12;

  void SendRequest(uint16_t port) {
    const size_t index = port - 1;
    steering.Decide(Data(port, m_flows[index].tag, m_sequences[index],
                         m_acknowledged[index]),
                    now);
    m_sequences[index] += 150;
  }

  void Answer(uint16_t port, uint32_t bytes) {
    const size_t index = port - 1;
    m_acknowledged[index] += bytes;
    FlowPacket packet = Data(port, m_flows[index].tag, m_sequences[index],
                             m_acknowledged[index]);
    packet.data_bytes = 0;
    steering.Decide(packet, now);
  }

  std::vector<Decision> m_flows;
  std::vector<uint32_t> m_acknowledged = std::vector<uint32_t>(kOpenFlows, 500);
  std::vector<uint32_t> m_sequences = std::vector<uint32_t>(kOpenFlows, 251);
  uint16_t m_next_port = 1'000;
};

// Each caller that was refused on its open flow came back on two new ones, and
// half of all arrivals at the upstreams were refused (zlab-west, crowded).
TEST_CASE("Returning callers don't take the places of first requests") {
  OverloadFixture fixture;
  fixture.SendRequests(8, kOverloadTime);
  CHECK(fixture.CountAdmitted(kFeedListener) <= 6);
  // The refused flows have run nothing, and their clients hear so at once.
  SECTION("the more urgent are admitted") {
    CHECK(fixture.CountAdmitted(kQuoteListener) == 50);
  }
  SECTION("a copy is placed, since the first may have been forwarded") {
    CHECK(fixture.CountAdmitted(kFeedListener, 1) == 50);
  }
  SECTION("all are admitted when the overload is over") {
    fixture.SendRequests(0, kOrdinaryTime);
    CHECK(fixture.CountAdmitted(kFeedListener) == 50);
  }
}

TEST_CASE("The random peaks of an ordinary load refuse no flow") {
  OverloadFixture fixture;
  fixture.SendRequests(0, kOrdinaryTime);
  CHECK(fixture.CountAdmitted(kFeedListener) == 50);
  fixture.SendRequests(1, kOverloadTime);
  CHECK(fixture.CountAdmitted(kFeedListener) == 50);
}

// Flows that were open at slow upstreams had a quarter of all requests refused,
// and callers were turned away while other upstreams had room (zlab-west-grown,
// crowded, seed 2).
TEST_CASE("Refusals by some slow upstreams turn nobody away") {
  OverloadFixture fixture;
  fixture.AddUpstream(3);
  for (uint64_t id = 1; id <= 3; ++id) {
    Upstream* upstream = fixture.steering.routing_table().FindUpstream(id);
    for (int i = 0; i < 50; ++i) {
      upstream->refusals.Add(id == 1, fixture.now);
    }
  }
  CHECK(fixture.CountAdmitted(kFeedListener) == 50);
}

// Redirects and errors are as short as refusals.
TEST_CASE("Short answers without a queue refuse no flow") {
  OverloadFixture fixture;
  fixture.SendRequests(8, kOrdinaryTime);
  CHECK(fixture.CountAdmitted(kFeedListener) == 50);
}

TEST_CASE("Without stated priorities all listeners are alike") {
  OverloadFixture fixture;
  auto& configuration = fixture.EditConfiguration();
  configuration.listeners = {{"feed", kFeedListener, {{"tally", 1}}},
                             {"quote", kQuoteListener, {{"tally", 1}}}};
  fixture.ApplyConfiguration();
  fixture.SendRequests(8, kOverloadTime);
  CHECK(fixture.CountAdmitted(kQuoteListener) <= 6);
}

TEST_CASE("The share of admitted flows falls with that of refused requests") {
  CHECK(AdmissionProbability(0) == 1);
  CHECK(AdmissionProbability(0.1) == 1);
  CHECK(AdmissionProbability(0.2) < 0.5);
  CHECK(AdmissionProbability(0.4) < 0.1);
  CHECK(AdmissionProbability(1) > 0);
}

}  // namespace
}  // namespace poplarsail::flows
