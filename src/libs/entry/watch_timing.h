#ifndef ENTRY_WATCH_TIMING_H_
#define ENTRY_WATCH_TIMING_H_

#include "cluster_state/cluster_state.h"

namespace poplarsail::entry {

using cluster_state::milliseconds;

// Bounds that the platform's operators set on how current a host must be.
struct CurrencyBounds {
  // After a silence of the store or of a connection to it, the bounds below
  // apply again to all accepted changes once this time has passed.
  milliseconds detect_silence{4'000};
  // An accepted change has to be in force within this time.
  milliseconds configuration{3'000};
  // A draining upstream must get no new flows after this time.
  milliseconds drain{3'000};
  // An evacuated failure domain must get no new flows after this time.
  milliseconds evacuation{5'000};

  friend bool operator==(const CurrencyBounds&,
                         const CurrencyBounds&) = default;
};

// How one kind of objects is watched. Each call to the store is charged, so
// watches wait for as long and return as many changes as the bounds allow.
struct WatchTiming {
  // Longest time that one watch waits for changes. A dead connection, including
  // one whose keep-alives are still answered by a middlebox, is detected when
  // the watch's response is overdue.
  milliseconds wait{0};
  // Delay after each watch, so that one call returns several changes.
  milliseconds coalesce_delay{0};

  friend bool operator==(const WatchTiming&, const WatchTiming&) = default;
};

// Longest delay between watches of upstreams. Until a host knows a new
// upstream, it drops packets of flows that other hosts placed there.
inline constexpr milliseconds kMaxUpstreamCoalesceDelay{500};
// Longest delay between watches of other kinds.
inline constexpr milliseconds kMaxCoalesceDelay{1'000};

WatchTiming ComputeWatchTiming(const CurrencyBounds& bounds,
                               cluster_state::ObjectKind kind);

}  // namespace poplarsail::entry

#endif  // ENTRY_WATCH_TIMING_H_
