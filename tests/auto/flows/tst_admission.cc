// New flows of a service whose upstreams refuse requests.
#include <catch2/catch.hpp>

#include "flow_fixture.h"

namespace poplarsail::flows {
namespace {

constexpr Ipv4Endpoint kFeedListener = kTallyListener;
constexpr Ipv4Endpoint kQuoteListener{0xc6120003, 8080};
constexpr uint32_t kResponseBytes = 2'400;
constexpr uint32_t kRefusalBytes = 147;

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
      Answer(port, kResponseBytes);
    }
  }

  // A request on an open flow, and the acknowledgement of its answer.
  void Request(uint16_t port, uint32_t answer_bytes) {
    now += 5ms;
    const size_t index = port - 1;
    steering.Decide(Data(port, m_flows[index].tag, NextSequence(port),
                         m_acknowledged[index]),
                    now);
    now += 5ms;
    Answer(port, answer_bytes);
  }

  // `refused` of twenty requests are refused, for 600 ms.
  void SendRequests(int refused) {
    for (int i = 0; i < 60; ++i) {
      Request(1 + i % kOpenFlows,
              i % 20 < refused ? kRefusalBytes : kResponseBytes);
    }
  }

  // Returns how many of 50 new flows are admitted.
  int CountAdmitted(const Ipv4Endpoint& listener, uint32_t retransmits = 0) {
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
  static constexpr uint16_t kOpenFlows = 6;

  uint32_t NextSequence(uint16_t port) {
    m_sequences.resize(kOpenFlows, 251);
    const uint32_t sequence = m_sequences[port - 1];
    m_sequences[port - 1] += 150;
    return sequence;
  }

  void Answer(uint16_t port, uint32_t bytes) {
    const size_t index = port - 1;
    m_acknowledged.resize(kOpenFlows, 500);
    m_acknowledged[index] += bytes;
    m_sequences.resize(kOpenFlows, 251);
    FlowPacket packet = Data(port, m_flows[index].tag, m_sequences[index],
                             m_acknowledged[index]);
    packet.data_bytes = 0;
    steering.Decide(packet, now);
  }

  std::vector<Decision> m_flows;
  std::vector<uint32_t> m_acknowledged;
  std::vector<uint32_t> m_sequences;
  uint16_t m_next_port = 1'000;
};

// Each caller that was refused on its open flow came back on two new ones, and
// half of all arrivals at the upstreams were refused (zlab-west, crowded).
TEST_CASE("Returning callers don't take the places of first requests") {
  OverloadFixture fixture;
  fixture.SendRequests(8);
  CHECK(fixture.CountAdmitted(kFeedListener) <= 6);
  // The refused flows have run nothing, and their clients hear so at once.
  SECTION("the more urgent are admitted") {
    CHECK(fixture.CountAdmitted(kQuoteListener) == 50);
  }
  SECTION("a copy is placed, since the first may have been forwarded") {
    CHECK(fixture.CountAdmitted(kFeedListener, 1) == 50);
  }
  SECTION("all are admitted when the overload is over") {
    fixture.SendRequests(0);
    fixture.SendRequests(0);
    CHECK(fixture.CountAdmitted(kFeedListener) == 50);
  }
}

TEST_CASE("The random peaks of an ordinary load refuse no flow") {
  OverloadFixture fixture;
  fixture.SendRequests(0);
  CHECK(fixture.CountAdmitted(kFeedListener) == 50);
  fixture.SendRequests(1);
  CHECK(fixture.CountAdmitted(kFeedListener) == 50);
}

TEST_CASE("Without stated priorities all listeners are alike") {
  OverloadFixture fixture;
  auto& configuration = fixture.EditConfiguration();
  configuration.listeners = {{"feed", kFeedListener, {{"tally", 1}}},
                             {"quote", kQuoteListener, {{"tally", 1}}}};
  fixture.ApplyConfiguration();
  fixture.SendRequests(8);
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
