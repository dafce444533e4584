#include <catch2/catch.hpp>

#include <algorithm>

#include "entry/entry.h"
#include "entry/watch_timing.h"

namespace poplarsail::entry {
namespace {

using cluster_state::ObjectKind;
using namespace std::chrono_literals;

constexpr ObjectKind kKinds[] = {ObjectKind::kConfiguration,
                                 ObjectKind::kUpstreams,
                                 ObjectKind::kEvacuations};

milliseconds BoundOf(const CurrencyBounds& bounds, ObjectKind kind) {
  return kind == ObjectKind::kConfiguration ? bounds.configuration
         : kind == ObjectKind::kUpstreams   ? bounds.drain
                                            : bounds.evacuation;
}

// What a lost watch costs besides its own times: the longest delay before the
// first retry, a connection and a list of a store that needs 100 ms for each.
constexpr milliseconds kRetryAndList = 2 * kInitialRetryDelay + 200ms;

TEST_CASE(
    "A watch lost in a silent store is replaced before the bounds apply") {
  const CurrencyBounds bounds =
      GENERATE(CurrencyBounds{4s, 3s, 3s, 5s}, CurrencyBounds{5s, 5s, 5s, 5s},
               CurrencyBounds{6s, 6s, 6s, 5s}, CurrencyBounds{2s, 2s, 2s, 2s});
  for (const ObjectKind kind : kKinds) {
    const WatchTiming timing = ComputeWatchTiming(bounds, kind);
    CHECK(timing.wait >= 200ms);
    CHECK(timing.coalesce_delay + timing.wait + kWatchOverdueTime +
              kRetryAndList <=
          std::max(bounds.detect_silence, BoundOf(bounds, kind)));
    CHECK(timing.coalesce_delay * 5 <= BoundOf(bounds, kind));
  }
}

TEST_CASE("Hosts under wide bounds call the store less often") {
  const CurrencyBounds narrow{4s, 3s, 3s, 5s};
  const CurrencyBounds wide{6s, 6s, 6s, 5s};
  const auto timing = [](const CurrencyBounds& bounds) {
    return ComputeWatchTiming(bounds, ObjectKind::kConfiguration);
  };
  CHECK(timing(narrow).wait == 2'400ms);
  CHECK(timing(wide).wait == 4'100ms);
  CHECK(timing(narrow).coalesce_delay == 300ms);
  CHECK(timing(wide).coalesce_delay == 600ms);
}

TEST_CASE("New upstreams are known before flows on them are given up") {
  const WatchTiming timing = ComputeWatchTiming(
      CurrencyBounds{20s, 20s, 20s, 20s}, ObjectKind::kUpstreams);
  CHECK(timing.coalesce_delay == kMaxUpstreamCoalesceDelay);
  CHECK(timing.wait == 18'200ms);
}

TEST_CASE("A watch ends before the store ends it") {
  const WatchTiming timing = ComputeWatchTiming(
      CurrencyBounds{60s, 20s, 20s, 20s}, ObjectKind::kEvacuations);
  CHECK(timing.wait == 29s);
}

TEST_CASE("The shortest and longest bounds that settings allow yield watches") {
  const auto detect_silence = GENERATE(milliseconds(1s), milliseconds(1h));
  const auto bound = GENERATE(milliseconds(1s), milliseconds(1h));
  for (const ObjectKind kind : kKinds) {
    const WatchTiming timing =
        ComputeWatchTiming({detect_silence, bound, bound, bound}, kind);
    CHECK(timing.wait >= 200ms);
    CHECK(timing.wait <= 29s);
    CHECK(timing.coalesce_delay >= 100ms);
    CHECK(timing.coalesce_delay * 5 <= bound);
  }
}

}  // namespace
}  // namespace poplarsail::entry
