#ifndef FLOWS_STALL_DETECTOR_H_
#define FLOWS_STALL_DETECTOR_H_

#include <chrono>

namespace poplarsail::flows {

// A host whose event loop did not run for this long was frozen or suspended.
// The loop iterates at least four times per second.
inline constexpr std::chrono::milliseconds kStallThreshold{600};

// Detects that the host was stalled. Packets that were queued in its socket
// meanwhile are stale: their clients have long moved to other hosts.
class StallDetector {
 public:
  // Time since boot, including time in which the host was suspended.
  using BootTime = std::chrono::nanoseconds;

  // Call on each iteration of the event loop. Returns whether it is the first
  // one after a stall.
  bool CheckForStall(BootTime now) {
    const bool is_stalled =
        m_last_check.count() > 0 && now - m_last_check > kStallThreshold;
    m_last_check = now;
    return is_stalled;
  }

 private:
  BootTime m_last_check{0};
};

}  // namespace poplarsail::flows

#endif  // FLOWS_STALL_DETECTOR_H_
