#ifndef SCHEDULING_SCHEDULER_FIGURES_H_
#define SCHEDULING_SCHEDULER_FIGURES_H_

#include <cstdint>
#include <map>

#include "scheduling/types.h"

namespace poplarsail::scheduling {

// Counts of one priority since the start of the scheduler.
struct PriorityFigures {
  uint64_t submitted = 0;
  uint64_t granted = 0;
  uint64_t queued = 0;
  uint64_t forwarded = 0;
  std::map<RefusalReason, uint64_t> refused;
  // Requests that wait now.
  uint32_t waiting = 0;

  friend bool operator==(const PriorityFigures&,
                         const PriorityFigures&) = default;
};

struct SchedulerFigures {
  std::map<uint32_t, PriorityFigures> by_priority;

  friend bool operator==(const SchedulerFigures&,
                         const SchedulerFigures&) = default;
};

// How long a request waited until it was granted.
struct RecordedWait {
  Ipv4Endpoint listener;
  milliseconds wait{0};

  friend bool operator==(const RecordedWait&, const RecordedWait&) = default;
};

}  // namespace poplarsail::scheduling

#endif  // SCHEDULING_SCHEDULER_FIGURES_H_
