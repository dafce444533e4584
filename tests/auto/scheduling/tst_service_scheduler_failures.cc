#include <algorithm>
#include <catch2/catch.hpp>

#include "scheduler_fixture.h"

namespace poplarsail::scheduling {

// One lost SYN took the upstream out of rotation (90 % of capacity, 40 of 60
// places left).
TEST_CASE("A single failure between responses changes nothing") {
  Fixture fixture(1);
  fixture.Granted(1, 0);
  fixture.Granted(2, 0);
  fixture.Complete(1, 60, Outcome::kFailed);
  CHECK(fixture.Granted(3, 61) == 1);
  fixture.Complete(2, 70);
  fixture.Complete(3, 120, Outcome::kFailed);
  CHECK(fixture.Granted(4, 121) == 1);
}

// A failed upstream looked least loaded and got all new flows.
TEST_CASE("A failed upstream is out of rotation, then gets one trial") {
  Fixture fixture(1);
  fixture.Granted(1, 0);
  fixture.Granted(2, 0);
  fixture.Granted(3, 0);
  fixture.Complete(1, 90, Outcome::kFailed);
  fixture.Complete(2, 100, Outcome::kFailed);
  // Granted before the failure: it does not double the back-off.
  fixture.Complete(3, 110, Outcome::kFailed);
  CHECK(fixture.Granted(20, 340) == 0);
  CHECK(fixture.Granted(4, 351) == 1);
  CHECK(fixture.Granted(5, 352) == 0);
  fixture.Complete(4, 400, Outcome::kFailed);
  CHECK(fixture.Granted(6, 890) == 0);
  CHECK(fixture.Granted(7, 901) == 1);
  fixture.Complete(7, 910);
  CHECK(fixture.Granted(8, 911) == 1);
  CHECK(fixture.Granted(9, 911) == 0);
}

// An upstream that answered errors at once had a free place more often than all
// others (emulator, fast-errors).
TEST_CASE("An upstream that answers errors at once gets no more flows") {
  Fixture fixture(1);
  uint32_t token = 1;
  for (int64_t ms = 0; ms < 1'000; ms += 50) {
    fixture.Granted(token, ms);
    fixture.Complete(token++, ms + 49);
  }
  fixture.Granted(100, 1'000);
  const auto outstanding = [&](int64_t ms) {
    fixture.scheduler.Tick(At(ms));
    return fixture.scheduler.Summary(At(ms)).outstanding;
  };
  fixture.scheduler.Complete(
      kHost, {{100, 1, Outcome::kResponded, milliseconds(1)}}, At(1'001));
  CHECK(outstanding(1'020) == 1);
  CHECK(outstanding(1'200) == 0);
}

// The work of a listener with a long target was never learned: all responses
// were below a tenth of the prior, a quarter of the target.
TEST_CASE("Work far below the target is learned") {
  Fixture fixture(1);
  fixture.pool.listeners[0].latency_target = milliseconds(8'000);
  fixture.scheduler.UpdatePool(fixture.pool, At(0));
  for (uint32_t token = 1; token <= 40; ++token) {
    const int64_t ms = token * 60;
    CHECK(fixture.Granted(token, ms) == 1);
    fixture.Complete(token, ms + 50);
  }
  const auto learned = fixture.scheduler.ExportLearned(At(2'500)).work;
  const auto first = std::ranges::find(learned, kFirst, &LearnedWork::listener);
  REQUIRE(first != learned.end());
  CHECK(first->mean_ms < 150);
}

// A host could not use a grant, placed the flow elsewhere and completed the
// grant; the scheduler took the flow for ended and the other upstream for free.
TEST_CASE("A flow placed elsewhere than granted counts there") {
  Fixture fixture(2);
  const uint64_t granted = fixture.Granted(1, 0);
  const uint64_t other = 3 - granted;
  fixture.scheduler.Complete(
      kHost, {{1, granted, Outcome::kAbandoned, milliseconds(0)}}, At(70));
  fixture.scheduler.ApplySnapshot(kHost, {{1, other, milliseconds(60)}},
                                  At(100));
  CHECK(fixture.scheduler.Summary(At(100)).outstanding == 1);
  // The late copy of the completion is for the grant only.
  fixture.scheduler.Complete(
      kHost, {{1, granted, Outcome::kAbandoned, milliseconds(0)}}, At(110));
  CHECK(fixture.scheduler.Summary(At(110)).outstanding == 1);
}

// One client that sent its request seconds after its handshake made all
// predictions too long, and everyone was refused.
TEST_CASE("A client that is slow to send its request changes no prediction") {
  Fixture fixture(1);
  fixture.Granted(1, 0);
  fixture.Complete(1, 2'900);
  CHECK(fixture.Granted(2, 2'901) == 1);
  CHECK(fixture.Granted(3, 2'901) == 1);
}

// A restarted upstream got its full share at once.
TEST_CASE("A restarted upstream starts with one flow and speed 1") {
  Fixture fixture(1);
  fixture.scheduler.ImportLearned({{{1, 1, 0.3, 50}}, {}}, At(0));
  fixture.Granted(1, 0);
  fixture.pool.upstreams[0].started_unix_ms = 2;
  fixture.scheduler.UpdatePool(fixture.pool, At(10));
  CHECK(fixture.scheduler.Summary(At(10)).outstanding == 0);
  CHECK(fixture.scheduler.ExportLearned(At(10)).speeds.empty());
  CHECK(fixture.Granted(2, 10) == 1);
  CHECK(fixture.Granted(3, 10) == 0);
}

// All hosts together sent a cold upstream more than its configured rate.
TEST_CASE("A cold upstream gets its share of the configured rate") {
  Fixture fixture(1);
  fixture.pool.upstreams[0].cold_until = At(5'000);
  fixture.pool.upstreams[0].started_unix_ms = 2;
  // Six flows per second are the schedulers', three for each of two domains.
  fixture.pool.cold_flows_per_second = 10;
  fixture.scheduler.UpdatePool(fixture.pool, At(0));
  CHECK(fixture.Granted(1, 0) == 1);
  fixture.Complete(1, 50);
  CHECK(Has(fixture.Submit(2, 160), kQueue, 2));
  CHECK(Has(fixture.scheduler.Tick(At(170)), kGrant, 2));
  fixture.Announce(0, 171);
  fixture.scheduler.Tick(At(171));
  fixture.Complete(2, 180);
  CHECK(Has(fixture.Submit(3, 325), kQueue, 3));
  CHECK(Has(fixture.scheduler.Tick(At(340)), kGrant, 3));
  fixture.Complete(3, 350);
  CHECK(Has(fixture.Submit(4, 600), kQueue, 4));
  CHECK_FALSE(Has(fixture.scheduler.Tick(At(660)), kGrant, 4));
  CHECK(Has(fixture.scheduler.Tick(At(680)), kGrant, 4));
}

// Places of a host that was killed stayed taken.
TEST_CASE("Flows of a silent host are freed after 2 s") {
  Fixture fixture(1);
  for (uint32_t token = 1; token <= 3; ++token)
    fixture.Granted(token, 0);
  fixture.scheduler.Tick(At(1'990));
  CHECK(fixture.scheduler.Summary(At(1'990)).outstanding == 3);
  fixture.scheduler.Tick(At(2'100));
  CHECK(fixture.scheduler.Summary(At(2'100)).outstanding == 0);
}

// Lost completions kept places taken; a snapshot older than a completion
// brought the flow back.
TEST_CASE("Snapshots correct the outstanding flows") {
  Fixture fixture(1);
  for (uint32_t token = 1; token <= 3; ++token)
    fixture.Granted(token, 0);
  CHECK(Has(fixture.Submit(4, 300), kQueue, 4));
  // Token 3 is missing, but its grant may be on its way until 300 ms.
  const std::vector<OpenFlow> listed = {{1, 1, milliseconds(290)},
                                        {2, 1, milliseconds(290)}};
  CHECK(fixture.scheduler.ApplySnapshot(kHost, listed, At(300)).empty());
  CHECK(
      Has(fixture.scheduler.ApplySnapshot(kHost, listed, At(301)), kGrant, 4));
  fixture.Complete(1, 310);
  fixture.scheduler.ApplySnapshot(kHost, listed, At(320));
  CHECK(fixture.scheduler.Summary(At(320)).outstanding == 2);
  // A flow that another host placed itself.
  fixture.scheduler.ApplySnapshot(kOtherHost, {{9, 1, milliseconds(5)}},
                                  At(320));
  CHECK(fixture.scheduler.Summary(At(320)).outstanding == 3);
  CHECK(Has(fixture.Submit(10, 320), kQueue, 10));
}

// A hung flow kept its place for ever.
TEST_CASE("A flow open for longer than the timeout no longer counts") {
  Fixture fixture(1);
  fixture.Granted(1, 0);
  for (int64_t ms = 500; ms <= 4'000; ms += 500) {
    fixture.scheduler.ApplySnapshot(kHost, {{1, 1, milliseconds(ms)}}, At(ms));
    fixture.scheduler.Tick(At(ms));
    CHECK(fixture.scheduler.Summary(At(ms)).outstanding == (ms < 3'000));
  }
}

}  // namespace poplarsail::scheduling
