#ifndef FLOWS_STALL_DETECTOR_H_
#define FLOWS_STALL_DETECTOR_H_

#include <chrono>

namespace poplarsail::flows {

// A host that did not run for this long was frozen or suspended. Its event loop
// turns four times a second at the least.
inline constexpr std::chrono::milliseconds kStallTime{600};

// Notices that the host stood still. Load pattern: packets that waited in the
// socket of a frozen host; their callers have long gone to other hosts.
class StallDetector {
 public:
  // Time since the boot of the host, which goes on during a suspension.
  using BootTime = std::chrono::nanoseconds;

  // Call at each turn of the event loop. Returns whether it is the first one
  // after a stall.
  bool CheckForStall(BootTime now) {
    const bool is_stalled =
        m_last_turn.count() > 0 && now - m_last_turn > kStallTime;
    m_last_turn = now;
    return is_stalled;
  }

 private:
  BootTime m_last_turn{0};
};

}  // namespace poplarsail::flows

#endif  // FLOWS_STALL_DETECTOR_H_
