#include <catch2/catch.hpp>

#include <cmath>
#include <random>

#include "flow_fixture.h"

namespace poplarsail::flows {
namespace {

TEST_CASE("Timeouts follow the work of a service") {
  struct Work {
    double mean_ms;
    milliseconds min_timeout;
    milliseconds max_timeout;
  };
  const Work work = GENERATE(Work{5, 100ms, 100ms}, Work{20, 100ms, 100ms},
                             Work{80, 180ms, 400ms}, Work{400, 900ms, 1'500ms});
  ResponseTimeouts timeouts;
  CHECK(timeouts.RequestTimeout("tally") == kRequestTimeoutBounds.initial);
  std::mt19937 random(1);
  std::lognormal_distribution<double> spread(-0.11, 0.47);
  const auto sample = [&]() {
    return std::chrono::microseconds(
        static_cast<int64_t>(1'000 * work.mean_ms * spread(random)));
  };
  for (int i = 0; i < 500; ++i) {
    timeouts.RecordResponse("tally", sample());
  }
  CHECK(timeouts.RequestTimeout("tally") >= work.min_timeout);
  CHECK(timeouts.RequestTimeout("tally") <= work.max_timeout);
  int overdue = 0;
  for (int i = 0; i < 1'000; ++i) {
    overdue += sample() > timeouts.RequestTimeout("tally") ? 1 : 0;
  }
  CHECK(overdue <= 20);
  // Other services are not affected.
  CHECK(timeouts.RequestTimeout("archive") == kRequestTimeoutBounds.initial);
}

TEST_CASE("One late response does not prolong a timeout") {
  ResponseTimeouts timeouts;
  for (int i = 0; i < 50; ++i) {
    timeouts.RecordResponse("tally", 70ms);
  }
  const milliseconds before = timeouts.RequestTimeout("tally");
  timeouts.RecordResponse("tally", 8s);
  CHECK(timeouts.RequestTimeout("tally") <= before * 11 / 10);
}

TEST_CASE("Timeouts return after an overload") {
  ResponseTimeouts timeouts;
  for (int i = 0; i < 100; ++i) {
    timeouts.RecordResponse("tally", 20ms);
  }
  for (int i = 0; i < 100; ++i) {
    timeouts.RecordResponse("tally", 600ms);
  }
  CHECK(timeouts.RequestTimeout("tally") >= 900ms);
  for (int i = 0; i < 1'000; ++i) {
    timeouts.RecordResponse("tally", 20ms);
  }
  CHECK(timeouts.RequestTimeout("tally") == kRequestTimeoutBounds.min);
}

TEST_CASE("Timeouts follow the distance of a failure domain") {
  ResponseTimeouts timeouts;
  // Both ways to a domain 40 ms away.
  for (int i = 0; i < 20; ++i) {
    timeouts.RecordHandshake("near", 3ms);
    timeouts.RecordHandshake("far", 82ms);
  }
  CHECK(timeouts.SynTimeout("near") == kSynTimeoutBounds.min);
  CHECK(timeouts.ConnectTimeout("near") == kConnectTimeoutBounds.min);
  CHECK(timeouts.SynTimeout("far") >= 100ms);
  CHECK(timeouts.ConnectTimeout("far") >= 100ms);
  CHECK(timeouts.SynTimeout("unknown") == kSynTimeoutBounds.initial);
}

// Plays a request that is answered after `time` and returns whether its
// upstream was to be checked meanwhile.
bool RequestCausesCheck(FlowFixture* fixture,
                        uint16_t port,
                        uint32_t tag,
                        uint32_t sequence,
                        milliseconds time) {
  const FlowPacket request =
      FlowFixture::Data(port, tag, sequence, 500 + sequence);
  const Decision sent = fixture->steering.Decide(request, fixture->now);
  const SteadyTime answered = fixture->now + time;
  bool is_checked = false;
  if (sent.response_deadline && *sent.response_deadline < answered) {
    is_checked =
        fixture->steering.DecideOnTimeout(request, *sent.response_deadline)
            .check != nullptr;
  }
  fixture->now = answered;
  FlowPacket acknowledgement =
      FlowFixture::Data(port, tag, sequence + 150, 900 + sequence);
  acknowledgement.data_bytes = 0;
  fixture->steering.Decide(acknowledgement, fixture->now);
  fixture->now += 20ms;
  return is_checked;
}

TEST_CASE("An upstream at long work is not checked for each request") {
  FlowFixture fixture;
  fixture.AddUpstream(1);
  const Decision open =
      fixture.steering.Decide(FlowFixture::Syn(1), fixture.now);
  fixture.now += 3ms;
  const milliseconds work = GENERATE(80ms, 400ms);
  int checks = 0;
  for (uint32_t i = 0; i < 60; ++i) {
    // Work varies by a quarter.
    const milliseconds time = work * (75 + i % 5 * 12) / 100;
    const bool is_checked =
        RequestCausesCheck(&fixture, 1, open.tag, 101 + i * 150, time);
    checks += is_checked && i >= 20 ? 1 : 0;
  }
  CHECK(checks == 0);
}

TEST_CASE("Retransmitted requests do not condemn a slow service") {
  // Clients retransmit after 200 ms, while the work takes 400 ms. Four flows
  // did so at once, another service responded in time, and all flows of the
  // upstream were reset.
  FlowFixture fixture;
  fixture.AddUpstream(1, "archive");
  fixture.AddUpstream(2, "tally");
  const uint32_t slow = MakeTag(kArchiveListener, TagBase(1));
  const uint32_t quick = MakeTag(kTallyListener, TagBase(2));
  const auto request = [&](uint16_t port) {
    return FlowFixture::Data(port, slow, 101, 500, kArchiveListener);
  };
  for (uint16_t port = 1; port <= 8; ++port) {
    fixture.steering.Decide(request(port), fixture.now);
  }
  fixture.now += 170ms;
  RequestCausesCheck(&fixture, 50, quick, 101, 10ms);
  for (uint16_t port = 1; port <= 8; ++port) {
    fixture.now += 25ms;
    CHECK(fixture.steering.Decide(request(port), fixture.now).action ==
          Action::kForward);
  }
  RequestCausesCheck(&fixture, 50, quick, 401, 10ms);
  for (uint16_t port = 1; port <= 8; ++port) {
    fixture.now += 5ms;
    CHECK(fixture.steering.Decide(request(port), fixture.now).action ==
          Action::kForward);
  }
}

TEST_CASE("An upload does not count as overdue while it goes on") {
  FlowFixture fixture;
  fixture.AddUpstream(1);
  const Decision open = fixture.OpenFlow(1);
  fixture.AcknowledgeResponse(1, open.tag);
  std::vector<std::pair<SteadyTime, FlowPacket>> pending;
  uint32_t sequence = 251;
  // 80,000 bytes at 200 KB a second.
  for (int i = 0; i < 67; ++i) {
    FlowPacket packet = FlowFixture::Data(1, open.tag, sequence, 900);
    packet.data_bytes = 1'200;
    sequence += 1'200;
    fixture.now += 6ms;
    const Decision sent = fixture.steering.Decide(packet, fixture.now);
    REQUIRE(sent.response_deadline.has_value());
    pending.emplace_back(*sent.response_deadline, packet);
    for (const auto& [deadline, overdue] : pending) {
      const bool is_due =
          deadline <= fixture.now && deadline > fixture.now - 6ms;
      CHECK((!is_due ||
             fixture.steering.DecideOnTimeout(overdue, fixture.now).check ==
                 nullptr));
    }
  }
  // The response to the last packet does not come.
  fixture.now = pending.back().first;
  CHECK(fixture.steering.DecideOnTimeout(pending.back().second, fixture.now)
            .check != nullptr);
}

TEST_CASE("A SYN to a far failure domain is not sent twice") {
  FlowFixture fixture;
  fixture.AddUpstream(1, "tally", "far");
  fixture.AddUpstream(2, "tally", "far");
  int resends = 0;
  for (uint16_t port = 1; port <= 40; ++port) {
    const FlowPacket opening = FlowFixture::Syn(port);
    const Decision first = fixture.steering.Decide(opening, fixture.now);
    const SteadyTime answered = fixture.now + 82ms;
    uint32_t tag = first.tag;
    if (*first.response_deadline < answered) {
      const auto overdue =
          fixture.steering.DecideOnTimeout(opening, *first.response_deadline);
      resends += overdue.resend && port > 10 ? 1 : 0;
    }
    fixture.now = answered;
    fixture.steering.Decide(FlowFixture::Data(port, tag, 101, 500),
                            fixture.now);
    fixture.now += 20ms;
  }
  CHECK(resends == 0);
  const Upstream* upstream = fixture.steering.routing_table().FindUpstream(1);
  CHECK(fixture.steering.ConnectTimeout(*upstream, nullptr) >= 100ms);
}

}  // namespace
}  // namespace poplarsail::flows
