#include "load/work_estimator.h"

#include <algorithm>
#include <cmath>

#include "load/sample_weight.h"

namespace poplarsail::load {
namespace {

constexpr std::chrono::seconds kHalfLife{10};
// The prior, a part of the latency target, may be off by a large factor.
constexpr double kPriorWeight = 1;
// Old samples keep this much in total, so that a rarely used listener isn't
// judged by its last request.
constexpr double kMinWeight = 2;
constexpr double kMinSamplesToClip = 5;
// Figures of another host give a start; own samples soon outweigh them.
constexpr double kMaxSeedSamples = 20;

bool IsWork(double work_ms) {
  return std::isfinite(work_ms) && work_ms > 0 && work_ms <= kMaxWorkMs;
}

bool IsValid(const WorkEstimate& estimate) {
  return IsWork(estimate.mean_ms) && IsWork(estimate.median_ms) &&
         IsWork(estimate.p95_ms) && estimate.median_ms <= estimate.p95_ms &&
         std::isfinite(estimate.samples) && estimate.samples > 0;
}

double MoveTo(double target, double current) {
  return std::clamp(target, current * (1 - kMaxMove), current * (1 + kMaxMove));
}

// Fills the histogram with three values that have the estimate's mean, median
// and 95th percentile.
void Fill(const WorkEstimate& estimate,
          double weight,
          WorkHistogram& histogram) {
  const double median = estimate.median_ms;
  const double p95 = estimate.p95_ms;
  const double tail = (estimate.mean_ms - 0.9 * median - 0.06 * p95) / 0.04;
  if (tail >= p95) {
    histogram.Add(median, 0.9 * weight);
    histogram.Add(p95, 0.06 * weight);
    histogram.Add(tail, 0.04 * weight);
    return;
  }
  const double low = (estimate.mean_ms - 0.45 * median - 0.1 * p95) / 0.45;
  histogram.Add(std::clamp(low, median / kMaxRatio, median), 0.45 * weight);
  histogram.Add(median, 0.45 * weight);
  histogram.Add(p95, 0.1 * weight);
}

}  // namespace

WorkEstimator::WorkEstimator(double prior_ms) {
  const double prior = std::min(std::max(kMinWorkMs, prior_ms), kMaxWorkMs);
  m_histogram.Add(prior, kPriorWeight);
  m_estimate.mean_ms = prior;
  m_estimate.median_ms = prior;
  m_estimate.p95_ms = prior;
}

void WorkEstimator::Add(double work_ms, SteadyTime now) {
  if (!std::isfinite(work_ms) || work_ms <= 0) {
    return;
  }
  Age(now);
  double sample = std::min(work_ms, kMaxWorkMs);
  if (m_own_samples >= kMinSamplesToClip) {
    // Not the estimate's median, which follows slowly: a prior that is far too
    // high would exclude all samples.
    const double median = m_histogram.Quantile(0.5);
    if (sample < median / kMaxRatio) {
      return;
    }
    sample = std::min(sample, median * kMaxRatio);
  }
  m_histogram.Add(
      sample, BoundedWeight(sample, m_histogram.Mean(), m_histogram.Weight()));
  m_estimate.mean_ms = m_histogram.Mean();
  m_estimate.median_ms =
      MoveTo(m_histogram.Quantile(0.5), m_estimate.median_ms);
  m_estimate.p95_ms = MoveTo(m_histogram.Quantile(0.95), m_estimate.p95_ms);
  m_estimate.samples += 1;
  m_estimate.last_sample = now;
  m_own_samples += 1;
}

void WorkEstimator::Seed(const WorkEstimate& estimate, SteadyTime now) {
  const double counted = std::min(estimate.samples, kMaxSeedSamples);
  if (!IsValid(estimate) || counted <= Estimate(now).samples) {
    return;
  }
  m_histogram.Clear();
  Fill(estimate, std::max(counted, kPriorWeight), m_histogram);
  m_estimate = estimate;
  m_estimate.mean_ms = m_histogram.Mean();
  m_estimate.samples = counted;
  m_estimate.last_sample = now;
  m_own_samples = 0;
  m_aged_at = now;
}

WorkEstimate WorkEstimator::Estimate(SteadyTime now) const {
  WorkEstimate result = m_estimate;
  result.samples *= Decay(m_aged_at, now, kHalfLife);
  return result;
}

// Applies the loss of weight since the last sample.
void WorkEstimator::Age(SteadyTime now) {
  const double factor = Decay(m_aged_at, now, kHalfLife);
  const double least = std::min(1.0, kMinWeight / m_histogram.Weight());
  m_histogram.Scale(std::max(factor, least));
  m_estimate.samples *= factor;
  m_own_samples *= factor;
  m_aged_at = std::max(m_aged_at, now);
}

}  // namespace poplarsail::load
