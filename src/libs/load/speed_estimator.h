#ifndef LOAD_SPEED_ESTIMATOR_H_
#define LOAD_SPEED_ESTIMATOR_H_

#include "cluster_state/records.h"

namespace poplarsail::load {

using cluster_state::SteadyTime;

inline constexpr double kMinSpeed = 0.1;
inline constexpr double kMaxSpeed = 4.0;

// Learns the speed of an upstream relative to its service.
//
// Only responses of requests that found a free slot may be added: a host can't
// tell queueing from slow work, so a response that waited would make a busy
// upstream look slow.
//
// Work and speed are known only up to a common factor. Callers that learn the
// work from these speeds should divide them by the mean of the service's
// upstreams, or both drift together.
class SpeedEstimator {
 public:
  // Adds a response that did not wait: the expected work of the request and the
  // time that the upstream took for it. Responses faster than a tenth of the
  // expected time are ignored, since errors are returned quickly.
  void Add(double expected_work_ms, double response_ms, SteadyTime now);
  // Takes over what another host has learned, unless this one knows more. Its
  // figures count as a bounded number of samples.
  void Seed(double speed, double samples, SteadyTime now);
  // Forgets everything: the upstream has restarted.
  void Reset();

  // The estimated speed; 1 without samples.
  double Speed(SteadyTime now) const;
  // Effective number of samples; old ones count less.
  double Samples(SteadyTime now) const;

 private:
  void Age(SteadyTime now);

  // Mean of response time over expected work, and the weight of its samples.
  // This mean is unbiased, unlike the mean of the inverse.
  double m_slowness = 1;
  double m_weight = 0;
  // Follows the inverse of the mean slowness.
  double m_speed = 1;
  double m_samples = 0;
  // The time as of which the above holds.
  SteadyTime m_aged_at;
};

}  // namespace poplarsail::load

#endif  // LOAD_SPEED_ESTIMATOR_H_
