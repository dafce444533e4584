#include "entry/refusal_log.h"

#include <utility>

namespace poplarsail::entry {

bool RefusalLog::ShouldLog(flows::Reason reason, flows::SteadyTime now) {
  Count& count = m_counts[static_cast<size_t>(reason)];
  if (now >= count.window_end) {
    count.window_end = now + std::chrono::seconds(1);
    count.logged = 0;
  }
  if (count.logged < kRefusalLinesPerSecond) {
    ++count.logged;
    return true;
  }
  ++count.suppressed;
  return false;
}

std::optional<uint64_t> RefusalLog::TakeSuppressed(flows::Reason reason,
                                                   flows::SteadyTime now) {
  Count& count = m_counts[static_cast<size_t>(reason)];
  if (count.suppressed == 0 || now < count.window_end) {
    return std::nullopt;
  }
  return std::exchange(count.suppressed, 0);
}

}  // namespace poplarsail::entry
