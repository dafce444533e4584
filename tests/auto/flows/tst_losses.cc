// What a host counts as a lost request.
#include <catch2/catch.hpp>

#include "flow_fixture.h"

namespace poplarsail::flows {
namespace {

// An upstream, and an open flow whose first request waits for its response.
struct LossFixture : FlowFixture {
  LossFixture() {
    auto& configuration = EditConfiguration();
    configuration.listeners = {
        {"alerts", kTallyListener, {{"tally", 1}}, 1, 120ms, 500ms}};
    ApplyConfiguration();
    AddUpstream(1);
    open = OpenFlow(1);
  }

  uint64_t Count(LossCause cause) const {
    const auto found = steering.losses().by_listener().find(kTallyListener);
    return found == steering.losses().by_listener().end()
               ? 0
               : found->second[static_cast<size_t>(cause)];
  }

  Decision open;
};

TEST_CASE("A response after the latency target is late") {
  LossFixture fixture;
  fixture.now += 120ms;
  SECTION("in time") {
    fixture.AcknowledgeResponse(1, fixture.open.tag);
    CHECK(fixture.Count(LossCause::kLate) == 0);
  }
  SECTION("late") {
    fixture.now += 1ms;
    fixture.AcknowledgeResponse(1, fixture.open.tag);
    CHECK(fixture.Count(LossCause::kLate) == 1);
  }
}

TEST_CASE("A request whose client gives up is unanswered") {
  LossFixture fixture;
  SECTION("it ends the flow") {
    FlowPacket end = FlowFixture::Data(1, fixture.open.tag, 251, 500);
    end.data_bytes = 0;
    end.is_fin = true;
    fixture.now += 500ms;
    fixture.steering.Decide(end, fixture.now);
    CHECK(fixture.Count(LossCause::kUnanswered) == 1);
    // The copy of the end is no second loss.
    fixture.steering.Decide(end, fixture.now);
  }
  SECTION("it sends nothing more") {
    fixture.now += 20s;
    fixture.steering.EvictIdleFlows(fixture.now);
  }
  CHECK(fixture.Count(LossCause::kUnanswered) == 1);
}

TEST_CASE("Losses of a removed listener are forgotten") {
  LossFixture fixture;
  fixture.now += 500ms;
  fixture.AcknowledgeResponse(1, fixture.open.tag);
  REQUIRE(fixture.Count(LossCause::kLate) == 1);
  fixture.EditConfiguration().listeners = {
      {"sheets", kArchiveListener, {{"archive", 1}}}};
  fixture.ApplyConfiguration();
  CHECK(fixture.steering.losses().by_listener().empty());
}

TEST_CASE("A flow that ends after its response is no loss") {
  LossFixture fixture;
  fixture.now += 20ms;
  fixture.AcknowledgeResponse(1, fixture.open.tag);
  fixture.now += 20s;
  fixture.steering.EvictIdleFlows(fixture.now);
  CHECK(fixture.steering.losses().by_listener().empty());
}

}  // namespace
}  // namespace poplarsail::flows
