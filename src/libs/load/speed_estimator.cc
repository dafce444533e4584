#include "load/speed_estimator.h"

#include <algorithm>
#include <cmath>

#include "load/sample_weight.h"

namespace poplarsail::load {
namespace {

constexpr std::chrono::seconds kHalfLife{20};
// Weight of the assumption that an upstream has the speed 1.
constexpr double kPriorWeight = 2;
// With tails of 7 times the mean at 3 %, the mean of 40 samples is off by some
// 15 %. More samples would delay the discovery of a change.
constexpr double kMaxWeight = 40;
// 1 - 2^(-1/5): five samples make half of a change.
constexpr double kStep = 0.1294;
// Figures of another host give a start; own samples soon outweigh them.
constexpr double kMaxSeedSamples = 10;

bool IsPositive(double value) {
  return std::isfinite(value) && value > 0;
}

}  // namespace

void SpeedEstimator::Add(double expected_work_ms,
                         double response_ms,
                         SteadyTime now) {
  if (!IsPositive(expected_work_ms) || !IsPositive(response_ms)) {
    return;
  }
  Age(now);
  const double slowness = response_ms / expected_work_ms;
  if (slowness * m_speed < 1 / kMaxRatio) {
    return;
  }
  const double total = kPriorWeight + m_weight;
  const double weight = BoundedWeight(slowness, m_slowness, total);
  m_slowness += (slowness - m_slowness) * weight / (total + weight);
  m_weight = std::min(m_weight + weight, kMaxWeight);
  const double target = std::clamp(1 / m_slowness, kMinSpeed, kMaxSpeed);
  const double bound = kMaxMove * m_speed;
  m_speed += std::clamp(kStep * (target - m_speed), -bound, bound);
  m_samples += 1;
}

void SpeedEstimator::Seed(double speed, double samples, SteadyTime now) {
  const double counted = std::min(samples, kMaxSeedSamples);
  if (!IsPositive(speed) || !IsPositive(samples) || counted <= Samples(now)) {
    return;
  }
  m_speed = std::clamp(speed, kMinSpeed, kMaxSpeed);
  m_slowness = 1 / m_speed;
  m_weight = counted;
  m_samples = counted;
  m_aged_at = now;
}

void SpeedEstimator::Reset() {
  *this = SpeedEstimator();
}

double SpeedEstimator::Speed(SteadyTime now) const {
  return 1 + (m_speed - 1) * Decay(m_aged_at, now, kHalfLife);
}

double SpeedEstimator::Samples(SteadyTime now) const {
  return m_samples * Decay(m_aged_at, now, kHalfLife);
}

// Applies the loss of confidence since the last sample.
void SpeedEstimator::Age(SteadyTime now) {
  const double factor = Decay(m_aged_at, now, kHalfLife);
  const double old_weight = kPriorWeight + m_weight;
  m_weight *= factor;
  m_slowness =
      1 + (m_slowness - 1) * old_weight * factor / (kPriorWeight + m_weight);
  m_speed = 1 + (m_speed - 1) * factor;
  m_samples *= factor;
  m_aged_at = std::max(m_aged_at, now);
}

}  // namespace poplarsail::load
