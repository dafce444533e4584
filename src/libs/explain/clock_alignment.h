#ifndef EXPLAIN_CLOCK_ALIGNMENT_H_
#define EXPLAIN_CLOCK_ALIGNMENT_H_

#include <chrono>
#include <vector>

#include "explain/log_file.h"

namespace poplarsail::explain {

// Hosts take a change of the store within a second of each other; clocks that
// differ by less are taken as they are.
inline constexpr std::chrono::milliseconds kClockTolerance{1'500};

// Lines of one daemon between two steps of its clock.
struct ClockSegment {
  size_t file = 0;
  size_t first_line = 0;
  size_t end_line = 0;
  // To be added to its times, so that they agree with the others.
  std::chrono::milliseconds correction{0};
  // Changes of the store that it shares with others; none leave it uncorrected.
  size_t shared_revisions = 0;

  friend bool operator==(const ClockSegment&, const ClockSegment&) = default;
};

// Splits logs where a clock went back, and tells how far each clock is off the
// middle of all, by the times at which daemons took the same revisions.
std::vector<ClockSegment> AlignClocks(const std::vector<LogFile>& files);

}  // namespace poplarsail::explain

#endif  // EXPLAIN_CLOCK_ALIGNMENT_H_
