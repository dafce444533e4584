// Packets that need a listener or an upstream which this host does not know.
#include <catch2/catch.hpp>

#include "flow_fixture.h"

namespace poplarsail::flows {
namespace {

// Guards against resets of open flows by a host that started with a list of
// listeners from before its start.
TEST_CASE("No flow is reset for a listener that an old list may lack") {
  FlowFixture fixture;
  fixture.AddUpstream(1);
  constexpr Ipv4Endpoint kAdded{0xc6120009, 80};
  fixture.steering.set_current(false, false);
  const auto packet = GENERATE_COPY(FlowFixture::Syn(1, kAdded),
                                    FlowFixture::Data(1, 77, 101, 500, kAdded));
  const Decision held = fixture.steering.Decide(packet, fixture.now);
  CHECK(held.action == Action::kHold);
  CHECK(held.reason == Reason::kStateNotCurrent);
  fixture.now += 10s;
  CHECK(fixture.steering.Decide(packet, fixture.now).action == Action::kHold);
  SECTION("the next list has it") {
    fixture.EditConfiguration().listeners.push_back(
        {"added", kAdded, {{"tally", 1}}});
    fixture.ApplyConfiguration();
    fixture.steering.set_current(true, true);
    CHECK(fixture.steering.Decide(FlowFixture::Syn(1, kAdded), fixture.now)
              .action == Action::kForward);
  }
  SECTION("the next list lacks it too") {
    fixture.steering.set_current(true, true);
    CHECK(fixture.steering.Decide(FlowFixture::Syn(1, kAdded), fixture.now)
              .action == Action::kReset);
  }
}

TEST_CASE("No flow is reset for an upstream that an old list may lack") {
  FlowFixture fixture;
  fixture.steering.set_current(true, false);
  CHECK(fixture.steering.Decide(FlowFixture::Syn(1), fixture.now).action ==
        Action::kHold);
  const FlowPacket open = FlowFixture::Data(2, 77, 101, 500);
  CHECK(fixture.steering.Decide(open, fixture.now).action == Action::kDrop);
  fixture.now += kUnknownTagGracePeriod;
  CHECK(fixture.steering.Decide(open, fixture.now).action == Action::kDrop);
  fixture.steering.set_current(true, true);
  CHECK(fixture.steering.Decide(open, fixture.now).action == Action::kReset);
  CHECK(fixture.steering.Decide(FlowFixture::Syn(1), fixture.now).action ==
        Action::kReset);
}

// Guards against resets of open flows by a host that learns of a new listener
// after the host that they were opened at.
TEST_CASE("An open flow of an unknown listener has a grace period") {
  FlowFixture fixture;
  fixture.AddUpstream(1);
  constexpr Ipv4Endpoint kAdded{0xc6120009, 80};
  const uint32_t tag = MakeTag(kAdded, TagBase(1));
  const FlowPacket packet = FlowFixture::Data(1, tag, 101, 500, kAdded);
  const Decision dropped = fixture.steering.Decide(packet, fixture.now);
  CHECK(dropped.action == Action::kDrop);
  SECTION("the listener becomes known") {
    fixture.now += 300ms;
    fixture.EditConfiguration().listeners.push_back(
        {"added", kAdded, {{"tally", 1}}});
    fixture.ApplyConfiguration();
    CHECK(fixture.steering.Decide(packet, fixture.now).action ==
          Action::kForward);
  }
  SECTION("it stays unknown") {
    fixture.now += 1'300ms;
    CHECK(fixture.steering.Decide(packet, fixture.now).action ==
          Action::kReset);
  }
}

TEST_CASE("The flows of a removed listener are reset at once") {
  FlowFixture fixture;
  fixture.AddUpstream(1);
  const Decision open = fixture.OpenFlow(1);
  fixture.EditConfiguration().listeners.erase(
      fixture.EditConfiguration().listeners.begin());
  fixture.ApplyConfiguration();
  const Decision decision = fixture.steering.Decide(
      FlowFixture::Data(1, open.tag, 251, 900), fixture.now);
  CHECK(decision.action == Action::kReset);
  CHECK(decision.reason == Reason::kNoListener);
}

}  // namespace
}  // namespace poplarsail::flows
