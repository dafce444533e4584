#ifndef SCHEDULING_DRAIN_METER_H_
#define SCHEDULING_DRAIN_METER_H_

#include "scheduling/types.h"

namespace poplarsail::scheduling {

// Compares the work that completes while requests wait with what the slots
// should do. Under overload few responses are samples of work, and an estimate
// from the first of them may be far off; the rate of completions is not.
class DrainMeter {
 public:
  // A flow that was expected to be this much work has ended.
  void RecordCompletion(double work_ms) { m_completed_ms += work_ms; }
  // `work_rate` is what all slots should do per millisecond.
  void Tick(bool is_saturated, double work_rate, SteadyTime now);

  // Expected work done per expected work possible; 1 without observations.
  double factor() const;

 private:
  double m_completed_ms = 0;
  bool m_was_saturated = false;
  SteadyTime m_last_tick;
  // Decaying sums.
  double m_done_ms = 0;
  double m_possible_ms = 0;
  double m_work_rate = 0;
};

}  // namespace poplarsail::scheduling

#endif  // SCHEDULING_DRAIN_METER_H_
