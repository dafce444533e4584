#include "entry/watch_timing.h"

#include <algorithm>

#include "entry/state_store.h"

namespace poplarsail::entry {

namespace {

using cluster_state::ObjectKind;

// Time from the failure of a watch until the changes since are known: the delay
// before the first retry, a new connection and a list.
constexpr milliseconds kRecoveryTime{500};
constexpr milliseconds kMinWait{200};
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
  const milliseconds coalesce_delay =
      std::min(bound / kCoalesceFraction, max_delay);
  // A watch that a silent store never received looks like one without changes.
  // What it misses has to be known once the store has served for
  // `detect_silence`, or `bound` after the change if that is later.
  const milliseconds wait = std::max(bounds.detect_silence, bound) -
                            coalesce_delay - kWatchOverdueTime - kRecoveryTime;
  return {std::clamp(wait, kMinWait, kMaxWait), coalesce_delay};
}

}  // namespace poplarsail::entry
