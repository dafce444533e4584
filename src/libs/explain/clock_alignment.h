#ifndef EXPLAIN_CLOCK_ALIGNMENT_H_
#define EXPLAIN_CLOCK_ALIGNMENT_H_

#include <chrono>
#include <vector>

#include "explain/log_file.h"

namespace poplarsail::explain {

// Hosts receive a change of the store within a second of each other.
// Differences up to this tolerance may be such delays and are not corrected.
inline constexpr std::chrono::milliseconds kClockTolerance{1'500};

// The lines of one daemon's log between two backward steps of its clock.
struct ClockSegment {
  size_t file = 0;
  size_t first_line = 0;
  size_t end_line = 0;
  // Added to the time of each line to align the segment with the other daemons.
  std::chrono::milliseconds correction{0};
  // Number of store revisions also received by other segments. The segment is
  // left uncorrected if there are none.
  size_t shared_revisions = 0;

  friend bool operator==(const ClockSegment&, const ClockSegment&) = default;
};

// Splits logs where a clock stepped backward and computes the offset of each
// segment's clock. The reference is the median of the times at which daemons
// received the same store revision.
std::vector<ClockSegment> AlignClocks(const std::vector<LogFile>& files);

}  // namespace poplarsail::explain

#endif  // EXPLAIN_CLOCK_ALIGNMENT_H_
