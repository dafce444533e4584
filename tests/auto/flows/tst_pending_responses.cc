#include <catch2/catch.hpp>

#include <array>

#include "flow_fixture.h"

namespace poplarsail::flows {
namespace {

const std::array<uint8_t, 3> kDatagram = {1, 2, 3};
const SteadyTime kSynDeadline = kStart + 50ms;
const SteadyTime kRequestDeadline = kStart + 100ms;

TEST_CASE("A SYN expires before a request of the same time") {
  PendingResponses pending_responses;
  pending_responses.Add(FlowFixture::Data(1, 5, 101, 500), kDatagram,
                        kRequestDeadline);
  pending_responses.Add(FlowFixture::Syn(2), kDatagram, kSynDeadline);
  REQUIRE(pending_responses.NextDeadline() == kSynDeadline);
  CHECK_FALSE(pending_responses.PopExpired(kSynDeadline - 1ms).has_value());
  const auto opening = pending_responses.PopExpired(kSynDeadline);
  REQUIRE(opening.has_value());
  CHECK(opening->packet.is_syn);
  CHECK(opening->datagram.size() == kDatagram.size());
  const auto request = pending_responses.PopExpired(kRequestDeadline);
  REQUIRE(request.has_value());
  // The host sends only SYNs again, so no datagram is kept for a request.
  CHECK(request->datagram.empty());
  CHECK_FALSE(pending_responses.NextDeadline().has_value());
}

TEST_CASE("Requests of slow and quick services expire by their deadlines") {
  PendingResponses pending_responses;
  const SteadyTime late = kStart + 900ms;
  pending_responses.Add(FlowFixture::Data(1, 5, 101, 500), kDatagram, late);
  pending_responses.Add(FlowFixture::Data(2, 5, 101, 500), kDatagram,
                        kRequestDeadline);
  REQUIRE(pending_responses.NextDeadline() == kRequestDeadline);
  CHECK(pending_responses.PopExpired(kRequestDeadline)->packet.key ==
        FlowFixture::Key(2, kTallyListener));
  CHECK_FALSE(pending_responses.PopExpired(kRequestDeadline).has_value());
  CHECK(pending_responses.PopExpired(late).has_value());
}

TEST_CASE("A SYN behind a long request is checked in time") {
  // The timer was set for the request, and the deadline of the SYN was long
  // past when it expired, so that it was ignored.
  PendingResponses pending_responses;
  pending_responses.Add(FlowFixture::Data(1, 5, 101, 500), kDatagram,
                        kStart + 900ms);
  const auto first = pending_responses.NextCheck(std::nullopt);
  REQUIRE(first == kStart + 900ms + kResponseTimeoutInterval);
  CHECK_FALSE(pending_responses.NextCheck(first).has_value());
  pending_responses.Add(FlowFixture::Syn(2), kDatagram, kSynDeadline);
  CHECK(pending_responses.NextCheck(first) ==
        kSynDeadline + kResponseTimeoutInterval);
}

TEST_CASE("Deadlines are ignored if the host was delayed itself") {
  PendingResponses pending_responses;
  pending_responses.Add(FlowFixture::Syn(1), kDatagram, kSynDeadline);
  CHECK_FALSE(
      pending_responses.PopExpired(kSynDeadline + kMaxTimerDelay).has_value());
  CHECK_FALSE(pending_responses.NextDeadline().has_value());
}

TEST_CASE("The number of pending responses is bounded") {
  PendingResponses pending_responses;
  for (size_t i = 0; i < kMaxPendingResponses + 100; ++i) {
    pending_responses.Add(FlowFixture::Syn(1), kDatagram, kSynDeadline);
  }
  size_t due = 0;
  while (pending_responses.PopExpired(kSynDeadline)) {
    ++due;
  }
  CHECK(due == kMaxPendingResponses);
}

}  // namespace
}  // namespace poplarsail::flows
