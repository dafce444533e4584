#include <catch2/catch.hpp>

#include <array>

#include "flow_fixture.h"

namespace poplarsail::flows {
namespace {

const std::array<uint8_t, 3> kDatagram = {1, 2, 3};

TEST_CASE("Openings are due before requests of the same time") {
  PendingResponses expectations;
  expectations.Add(FlowFixture::Data(1, 5, 101, 500), kDatagram, kStart);
  expectations.Add(FlowFixture::Opening(2), kDatagram, kStart);
  REQUIRE(expectations.NextDeadline() == kStart + kOpeningAnswerTime);
  CHECK_FALSE(
      expectations.PopExpired(kStart + kOpeningAnswerTime - 1ms).has_value());
  const auto opening = expectations.PopExpired(kStart + kOpeningAnswerTime);
  REQUIRE(opening.has_value());
  CHECK(opening->packet.is_syn);
  CHECK(opening->datagram.size() == kDatagram.size());
  const auto request = expectations.PopExpired(kStart + kRequestAnswerTime);
  REQUIRE(request.has_value());
  // Requests are not sent again by this host.
  CHECK(request->datagram.empty());
  CHECK_FALSE(expectations.NextDeadline().has_value());
}

TEST_CASE("A host that was held up draws no conclusions") {
  PendingResponses expectations;
  expectations.Add(FlowFixture::Opening(1), kDatagram, kStart);
  CHECK_FALSE(expectations.PopExpired(kStart + kOpeningAnswerTime + kHeldUpAfter)
                  .has_value());
  CHECK_FALSE(expectations.NextDeadline().has_value());
}

TEST_CASE("The number of expectations is bounded") {
  PendingResponses expectations;
  for (size_t i = 0; i < kMaxExpectations + 100; ++i) {
    expectations.Add(FlowFixture::Opening(1), kDatagram, kStart);
  }
  size_t due = 0;
  while (expectations.PopExpired(kStart + kOpeningAnswerTime)) {
    ++due;
  }
  CHECK(due == kMaxExpectations);
}

}  // namespace
}  // namespace poplarsail::flows
