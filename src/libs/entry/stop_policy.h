#ifndef ENTRY_STOP_POLICY_H_
#define ENTRY_STOP_POLICY_H_

#include <algorithm>
#include <chrono>

namespace poplarsail::entry {

// A host that got no packet for this long is out of the fabric's rotation.
inline constexpr std::chrono::milliseconds kQuietBeforeStop{600};
// A stopping host forwards packets for at most this multiple of its linger
// time.
inline constexpr int kMaxLingerFactor = 2;

// Decides when a host that is to stop may do so. The fabric usually notices
// within the linger time; but while fewer than half of a domain's hosts are
// ready, it goes on using all of them, and packets that the host leaves behind
// are lost.
class StopPolicy {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  StopPolicy() = default;
  StopPolicy(TimePoint now, std::chrono::milliseconds linger)
      : m_earliest(now + linger), m_latest(now + kMaxLingerFactor * linger) {}

  // Returns when to stop if no further packet arrives.
  TimePoint StopTime(TimePoint last_packet) const {
    return std::clamp(last_packet + kQuietBeforeStop, m_earliest, m_latest);
  }

 private:
  TimePoint m_earliest;
  TimePoint m_latest;
};

}  // namespace poplarsail::entry

#endif  // ENTRY_STOP_POLICY_H_
