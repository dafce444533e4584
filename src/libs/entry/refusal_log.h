#ifndef ENTRY_REFUSAL_LOG_H_
#define ENTRY_REFUSAL_LOG_H_

#include <array>
#include <cstdint>
#include <optional>

#include "flows/flows.h"

namespace poplarsail::entry {

// Refused flows that are logged one by one per second and reason. Under
// overload the others are counted in one line.
inline constexpr uint32_t kRefusalLinesPerSecond = 8;

// Bounds the volume of log lines on refused flows.
class RefusalLog {
 public:
  // Records a refused flow. Returns whether to log it by itself.
  bool ShouldLog(flows::Reason reason, flows::SteadyTime now);

  // Returns how many flows of the reason were refused without a line since the
  // last call, at most once a second, or nullopt if there is nothing to log.
  std::optional<uint64_t> TakeSuppressed(flows::Reason reason,
                                         flows::SteadyTime now);

 private:
  struct Count {
    flows::SteadyTime window_end;
    uint32_t logged = 0;
    uint64_t suppressed = 0;
  };

  std::array<Count, flows::kReasonCount> m_counts{};
};

}  // namespace poplarsail::entry

#endif  // ENTRY_REFUSAL_LOG_H_
