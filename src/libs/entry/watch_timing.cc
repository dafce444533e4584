#include "entry/watch_timing.h"

#include <algorithm>

namespace poplarsail::entry {

namespace {

using cluster_state::ObjectKind;

// Time reserved after a watch has ended without a response: for the response to
// be overdue, a new connection and a list of a slow store.
constexpr milliseconds kRecoveryReserve{2'500};
constexpr milliseconds kMinWait{1'000};
// The store ends watches after 30 s at the latest.
constexpr milliseconds kMaxWait{29'000};
// The delay between watches takes at most this part of a bound.
constexpr int kCoalesceFraction = 10;

milliseconds BoundOf(const CurrencyBounds& bounds, ObjectKind kind) {
  switch (kind) {
    case ObjectKind::kConfiguration:
      return bounds.configuration;
    case ObjectKind::kUpstreams:
      return bounds.drain;
    case ObjectKind::kEvacuations:
      break;
  }
  return bounds.evacuation;
}

}  // namespace

WatchTiming ComputeWatchTiming(const CurrencyBounds& bounds, ObjectKind kind) {
  const milliseconds bound = BoundOf(bounds, kind);
  const milliseconds max_delay = kind == ObjectKind::kUpstreams
                                     ? kMaxUpstreamCoalesceDelay
                                     : kMaxCoalesceDelay;
  return {std::clamp(bounds.detect_silence + bound - kRecoveryReserve, kMinWait,
                     kMaxWait),
          std::min(bound / kCoalesceFraction, max_delay)};
}

}  // namespace poplarsail::entry
