#ifndef LOAD_SPEED_ESTIMATOR_H_
#define LOAD_SPEED_ESTIMATOR_H_

#include "cluster_state/records.h"

namespace poplarsail::load {

using cluster_state::SteadyTime;

inline constexpr double kMinSpeed = 0.1;
inline constexpr double kMaxSpeed = 4.0;

// Learns the speed of an upstream relative to its service.
class SpeedEstimator {
 public:
  // Adds a response that did not wait: the expected work of the request and the
  // time that the upstream took for it.
  void Add(double expected_work_ms, double response_ms, SteadyTime now);
  // Takes over what another host has learned, unless this one knows more.
  void Seed(double speed, double samples, SteadyTime now);
  // Forgets everything: the upstream has restarted.
  void Reset();

  // The estimated speed; 1 without samples.
  double Speed(SteadyTime now) const;
  // Effective number of samples; old ones count less.
  double Samples(SteadyTime now) const;
};

}  // namespace poplarsail::load

#endif  // LOAD_SPEED_ESTIMATOR_H_
