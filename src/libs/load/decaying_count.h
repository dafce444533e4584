#ifndef LOAD_DECAYING_COUNT_H_
#define LOAD_DECAYING_COUNT_H_

#include <chrono>

#include "load/sample_weight.h"

namespace poplarsail::load {

// A count of events of which the older ones count less.
class DecayingCount {
 public:
  explicit DecayingCount(std::chrono::duration<double> half_life)
      : m_half_life(half_life) {}

  void Add(double events, cluster_state::SteadyTime now) {
    m_count = Value(now) + events;
    m_counted_at = now;
  }
  double Value(cluster_state::SteadyTime now) const {
    return m_count * Decay(m_counted_at, now, m_half_life);
  }

 private:
  std::chrono::duration<double> m_half_life;
  double m_count = 0;
  cluster_state::SteadyTime m_counted_at;
};

}  // namespace poplarsail::load

#endif  // LOAD_DECAYING_COUNT_H_
