#include <catch2/catch.hpp>

#include <array>

#include "flow_fixture.h"

namespace poplarsail::flows {
namespace {

const std::array<uint8_t, 3> kDatagram = {1, 2, 3};

TEST_CASE("A SYN expires before a request of the same time") {
  PendingResponses pending_responses;
  pending_responses.Add(FlowFixture::Data(1, 5, 101, 500), kDatagram, kStart);
  pending_responses.Add(FlowFixture::Syn(2), kDatagram, kStart);
  REQUIRE(pending_responses.NextDeadline() == kStart + kSynResponseTimeout);
  CHECK_FALSE(pending_responses.PopExpired(kStart + kSynResponseTimeout - 1ms)
                  .has_value());
  const auto opening =
      pending_responses.PopExpired(kStart + kSynResponseTimeout);
  REQUIRE(opening.has_value());
  CHECK(opening->packet.is_syn);
  CHECK(opening->datagram.size() == kDatagram.size());
  const auto request =
      pending_responses.PopExpired(kStart + kRequestResponseTimeout);
  REQUIRE(request.has_value());
  // The host sends only SYNs again, so no datagram is kept for a request.
  CHECK(request->datagram.empty());
  CHECK_FALSE(pending_responses.NextDeadline().has_value());
}

TEST_CASE("Deadlines are ignored if the host was delayed itself") {
  PendingResponses pending_responses;
  pending_responses.Add(FlowFixture::Syn(1), kDatagram, kStart);
  CHECK_FALSE(pending_responses
                  .PopExpired(kStart + kSynResponseTimeout + kMaxTimerDelay)
                  .has_value());
  CHECK_FALSE(pending_responses.NextDeadline().has_value());
}

TEST_CASE("The number of pending responses is bounded") {
  PendingResponses pending_responses;
  for (size_t i = 0; i < kMaxPendingResponses + 100; ++i) {
    pending_responses.Add(FlowFixture::Syn(1), kDatagram, kStart);
  }
  size_t due = 0;
  while (pending_responses.PopExpired(kStart + kSynResponseTimeout)) {
    ++due;
  }
  CHECK(due == kMaxPendingResponses);
}

}  // namespace
}  // namespace poplarsail::flows
