#ifndef LOAD_SAMPLE_WEIGHT_H_
#define LOAD_SAMPLE_WEIGHT_H_

#include <algorithm>
#include <chrono>
#include <cmath>

#include "cluster_state/records.h"

namespace poplarsail::load {

// No single sample moves a value by more than this part of it.
inline constexpr double kMaxMove = 0.2;
// Samples outside 1/10 to 10 times the usual value are clipped or ignored.
inline constexpr double kMaxRatio = 10;

// Returns the weight (at most 1) with which `sample` moves a mean of weight
// `mean_weight` by at most `kMaxMove`. The value itself is kept, so that rare
// long requests remain visible in the distribution.
inline double BoundedWeight(double sample, double mean, double mean_weight) {
  const double beyond = std::abs(sample - mean) - kMaxMove * mean;
  const double allowed = kMaxMove * mean * mean_weight;
  return beyond <= allowed ? 1 : allowed / beyond;
}

// Returns the part of a weight that is left after the time from `since`.
inline double Decay(cluster_state::SteadyTime since,
                    cluster_state::SteadyTime now,
                    std::chrono::duration<double> half_life) {
  if (now <= since) {
    return 1;
  }
  return std::exp2(-std::chrono::duration<double>(now - since) / half_life);
}

}  // namespace poplarsail::load

#endif  // LOAD_SAMPLE_WEIGHT_H_
