#include <algorithm>
#include <catch2/catch.hpp>

#include "scheduler_fixture.h"
#include "scheduling/listener_table.h"

namespace poplarsail::scheduling {

// A place beyond the slots was taken while another upstream had a free slot.
TEST_CASE("Places beyond slots are used last") {
  Fixture fixture(2);
  std::multiset<uint64_t> upstreams;
  for (uint32_t token = 1; token <= 4; ++token)
    upstreams.insert(fixture.Granted(token, 0));
  CHECK(upstreams == std::multiset<uint64_t>{1, 1, 2, 2});
  CHECK(fixture.Granted(5, 0) != 0);
  CHECK(fixture.Granted(6, 0) != 0);
  CHECK(Has(fixture.Submit(7, 0), kQueue, 7));
}

// The place that became free went to the longest waiting request.
TEST_CASE("A completion grants the highest priority that waits") {
  Fixture fixture(1);
  for (uint32_t token = 1; token <= 3; ++token)
    fixture.Granted(token, 0);
  CHECK(Has(fixture.Submit(4, 0, kSecond), kQueue, 4));
  CHECK(Has(fixture.Submit(5, 1, kFirst), kQueue, 5));
  CHECK(Has(fixture.Complete(1, 20), kGrant, 5));
  CHECK(Has(fixture.Complete(2, 21), kGrant, 4));
}

// Priority 2 never got a place while priority 1 kept the queue filled.
TEST_CASE("Every 20th grant goes to the lowest waiting priority") {
  Fixture fixture(20);
  for (uint32_t token = 1; token <= 60; ++token)
    REQUIRE(fixture.Granted(token, 0) != 0);
  REQUIRE(Has(fixture.Submit(100, 0, kSecond), kQueue, 100));
  for (uint32_t token = 101; token <= 125; ++token)
    REQUIRE(Has(fixture.Submit(token, 0), kQueue, token));
  uint32_t grants = 0;
  for (uint32_t token = 1; token <= 60; ++token) {
    const auto actions = fixture.Complete(token, 5);
    grants += std::ranges::count(actions, kGrant, &SchedulerAction::kind);
    if (Has(actions, kGrant, 100))
      break;
  }
  CHECK(grants == 20);
}

// A caller was held until its client gave up.
TEST_CASE("Requests that cannot complete in time are refused at once") {
  Fixture fixture(1);
  uint32_t token = 1;
  while (!Has(fixture.Submit(token, 0), kRefuse, token))
    REQUIRE(++token < 40);
  // At 50 per second, at least half of the target may be spent waiting.
  CHECK(token > 20);
  // Without completions the predictions of those that wait become worse.
  SchedulerActions refusals;
  for (int64_t ms = 10; ms <= 800; ms += 10) {
    const auto actions = fixture.scheduler.Tick(At(ms));
    refusals.insert(refusals.end(), actions.begin(), actions.end());
  }
  CHECK(std::ranges::all_of(refusals, [](const SchedulerAction& action) {
    return action.kind == kRefuse && action.reason == RefusalReason::kNoRoom;
  }));
  CHECK(refusals.size() == token - 4);
  CHECK(fixture.scheduler.Summary(At(800)).waiting == 0);
}

// A paused scheduler granted requests whose clients had given up.
TEST_CASE("Requests older than 1.3 s are not granted") {
  Fixture fixture(1);
  fixture.pool.listeners[0].latency_target = milliseconds(5'000);
  fixture.scheduler.UpdatePool(fixture.pool, At(0));
  for (uint32_t token = 1; token <= 4; ++token)
    fixture.Submit(token, 0);
  REQUIRE(fixture.scheduler.Summary(At(0)).waiting == 1);
  CHECK_FALSE(Has(fixture.Complete(1, 1'300), kGrant, 4));
  PlacementRequest late{{kHost, 5}, kFirst, 7, At(0), {}};
  CHECK(Has(fixture.scheduler.Submit(late, At(1'300)), kRefuse, 5));
  CHECK(Has(fixture.scheduler.Tick(At(1'300)), kRefuse, 4));
}

// Requests of a listener without long ones were refused as if it had some, or
// long ones waited until they were late.
TEST_CASE("Waiting requests are planned with the length of long ones") {
  for (const bool has_tail : {false, true}) {
    ListenerState listener({kFirst, 1, milliseconds(1'000), milliseconds(0)});
    for (int i = 0; i < 5'000; ++i)
      listener.AddSample(has_tail && i % 33 == 0 ? 280 : 20 + i % 40, At(i));
    listener.Refresh(At(5'000));
    CHECK((listener.planned_work_ms > 160) == has_tail);
  }
}

// A target below the work itself made every request a refusal.
TEST_CASE("Requests that never fit their target get free places") {
  Fixture fixture(1);
  fixture.Granted(1, 0, kShort);
  LearnedMessage learned;
  learned.work.push_back({kShort, 50, 50, 60, 1'000});
  fixture.scheduler.ImportLearned(learned, At(0));
  CHECK(fixture.Granted(2, 0, kShort) == 1);
  // Only on upstreams of usual speed would the target hold.
  Fixture slow(1);
  learned.work = {{kShort, 8, 8, 9, 1'000}};
  learned.speeds = {{1, 1, 0.3, 50}};
  slow.scheduler.ImportLearned(learned, At(0));
  slow.scheduler.Tick(At(10));
  CHECK(slow.Granted(1, 10, kShort) == 1);
}

// Requests were held for 1.3 s although their wait was known to be longer.
TEST_CASE("A long target does not allow a wait beyond 1.3 s") {
  Fixture fixture(1);
  fixture.pool.listeners[0].latency_target = milliseconds(60'000);
  fixture.scheduler.UpdatePool(fixture.pool, At(0));
  uint32_t token = 1;
  while (!Has(fixture.Submit(token, 0), kRefuse, token))
    REQUIRE(++token < 80);
}

// The queue was full of low priorities, and high ones were refused.
TEST_CASE("A higher priority evicts the newest request of the lowest") {
  Fixture fixture(120);
  LearnedMessage learned;
  learned.work = {{kSecond, 1, 1, 1, 10'000}};
  ServiceScheduler scheduler("s", "a", 1);
  scheduler.UpdatePool(fixture.pool, At(0));
  scheduler.ImportLearned(learned, At(0));
  PlacementRequest request{{kHost, 0}, kSecond, 7, At(0), {}};
  while (scheduler.Summary(At(0)).waiting < 4'096) {
    ++request.key.token;
    REQUIRE_FALSE(
        Has(scheduler.Submit(request, At(0)), kRefuse, request.key.token));
  }
  const uint32_t newest = request.key.token++;
  CHECK(Has(scheduler.Submit(request, At(0)), kRefuse, request.key.token));
  ++request.key.token;
  request.listener = kFirst;
  const auto actions = scheduler.Submit(request, At(0));
  CHECK(Has(actions, kRefuse, newest));
  CHECK(Has(actions, kQueue, request.key.token));
}

// A copy of a request took a second place.
TEST_CASE("A duplicate gets the same answer") {
  Fixture fixture(1);
  CHECK(fixture.Granted(1, 0) == 1);
  CHECK(fixture.Granted(1, 5) == 1);
  CHECK(fixture.scheduler.Summary(At(5)).outstanding == 1);
  fixture.Granted(2, 5);
  fixture.Granted(3, 5);
  CHECK(Has(fixture.Submit(4, 5), kQueue, 4));
  CHECK(Has(fixture.Submit(4, 6), kQueue, 4));
  CHECK(fixture.scheduler.Summary(At(6)).waiting == 1);
}

// The upstream that had not responded was granted again.
TEST_CASE("Excluded upstreams are granted only if nothing else exists") {
  Fixture fixture(2);
  for (uint32_t token = 1; token <= 4; ++token)
    CHECK(fixture.Granted(token, 0, kFirst, {1}) != 1);
  Fixture single(1);
  CHECK(single.Granted(1, 0, kFirst, {1}) == 1);
}

// Callers were held although no upstream could serve them.
TEST_CASE("Without usable upstreams requests are refused at once") {
  Fixture fixture(1);
  for (uint32_t token = 1; token <= 4; ++token)
    fixture.Submit(token, 0);
  fixture.pool.upstreams[0].accepts_new_flows = false;
  const auto actions = fixture.scheduler.UpdatePool(fixture.pool, At(10));
  REQUIRE(Has(actions, kRefuse, 4));
  CHECK(actions[0].reason == RefusalReason::kNoUpstream);
  CHECK(fixture.Submit(5, 11).at(0).reason == RefusalReason::kNoUpstream);
}

// Requests went to domains that were no longer reachable, and more than their
// share of the places there.
TEST_CASE("Waiting requests are forwarded by fresh announcements only") {
  Fixture fixture(1);
  for (uint32_t token = 1; token <= 3; ++token)
    fixture.Granted(token, 0);
  fixture.Announce(1, 0);
  CHECK_FALSE(Has(fixture.Submit(4, 1'001), kForward, 4));
  fixture.Announce(1, 1'001);
  CHECK(Has(fixture.Submit(5, 1'002), kForward, 5));
  // The only place announced is used, until the request there is done.
  CHECK_FALSE(Has(fixture.Submit(6, 1'003), kForward, 6));
  CHECK(Has(fixture.Submit(7, 1'025), kForward, 7));
}

// A request was lost with an unanswered forward, or granted in two domains.
TEST_CASE("An unanswered forward waits here, a granted one does not") {
  Fixture fixture(1);
  for (uint32_t token = 1; token <= 3; ++token)
    fixture.Granted(token, 0);
  fixture.Announce(2, 0);
  CHECK(Has(fixture.Submit(4, 0), kForward, 4));
  CHECK(Has(fixture.Submit(5, 0), kForward, 5));
  fixture.scheduler.OnForwardGranted({kHost, 5}, At(10));
  fixture.scheduler.Tick(At(59));
  CHECK(fixture.scheduler.Summary(At(59)).waiting == 0);
  CHECK(Has(fixture.scheduler.Tick(At(60)), kQueue, 4));
  CHECK(fixture.scheduler.Summary(At(60)).waiting == 1);
  CHECK(Has(fixture.Complete(1, 61), kGrant, 4));
}

// Foreign flows took places that own callers waited for.
TEST_CASE("Forwarded requests get free slots only") {
  Fixture fixture(1);
  PlacementRequest request{{kOtherHost, 1}, kFirst, 7, At(0), {}, true};
  CHECK(Has(fixture.scheduler.Submit(request, At(0)), kGrant, 1));
  fixture.Granted(2, 0);
  request.key.token = 3;
  const auto actions = fixture.scheduler.Submit(request, At(0));
  REQUIRE(Has(actions, kRefuse, 3));
  CHECK(actions[0].reason == RefusalReason::kNoRoom);
}

}  // namespace poplarsail::scheduling
