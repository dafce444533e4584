#include "load/work_histogram.h"

#include <algorithm>
#include <bit>
#include <cstdint>

namespace poplarsail::load {
namespace {

static_assert(kMaxWorkMs / kMinWorkMs == 1 << 22);

// The exponent and the first 3 bits of the mantissa number the buckets.
constexpr int kShift = 52 - 3;
constexpr uint64_t kFirst = std::bit_cast<uint64_t>(kMinWorkMs) >> kShift;
constexpr uint64_t kLast = (std::bit_cast<uint64_t>(kMaxWorkMs) >> kShift) - 1;

// Tails that weigh less are dropped: the value is forgotten.
constexpr double kMinWeight = 1e-3;
// Weight of the values beyond all samples, in samples.
constexpr double kUnseenWeight = 0.5;

size_t BucketOf(double work_ms) {
  const uint64_t bits = std::bit_cast<uint64_t>(work_ms) >> kShift;
  return std::clamp(bits, kFirst, kLast) - kFirst;
}

double LowerBound(size_t bucket) {
  return bucket == 0 ? 0 : std::bit_cast<double>((bucket + kFirst) << kShift);
}

double UpperBound(size_t bucket) {
  return std::bit_cast<double>((bucket + kFirst + 1) << kShift);
}

}  // namespace

void WorkHistogram::Add(double work_ms, double weight) {
  const double value = std::clamp(work_ms, 0.0, kMaxWorkMs);
  const size_t bucket = BucketOf(value);
  for (size_t i = 0; i <= bucket; ++i) {
    m_tails[i].weight += weight;
    m_tails[i].sum += weight * value;
  }
}

void WorkHistogram::Scale(double factor) {
  for (Tail& tail : m_tails) {
    const double kept = tail.weight * factor < kMinWeight ? 0 : factor;
    tail.weight *= kept;
    tail.sum *= kept;
  }
}

void WorkHistogram::Clear() {
  m_tails.fill({});
}

double WorkHistogram::Weight() const {
  return m_tails.front().weight;
}

double WorkHistogram::Mean() const {
  return m_tails.front().sum / m_tails.front().weight;
}

double WorkHistogram::Quantile(double part) const {
  const double above = (1 - part) * Weight();
  const auto next = std::partition_point(
      m_tails.begin() + 1, m_tails.end(),
      [above](const Tail& tail) { return tail.weight > above; });
  const auto tail = next - 1;
  const size_t bucket = tail - m_tails.begin();
  const double mean = (tail->sum - next->sum) / (tail->weight - next->weight);
  return std::clamp(mean, LowerBound(bucket), UpperBound(bucket));
}

// The values above `done_ms` are evenly spread within its bucket. Beyond the
// samples, the distribution is assumed to be a Pareto (Lomax) distribution with
// the exponent 2 and the same mean, of which `mean + done_ms` remains.
double WorkHistogram::RemainingMs(double done_ms) const {
  const double mean = Mean();
  if (done_ms <= 0) {
    return mean;
  }
  const size_t bucket = BucketOf(done_ms);
  const Tail& next = m_tails[bucket + 1];
  const double lower = LowerBound(bucket);
  const double upper = UpperBound(bucket);
  const double in_bucket = std::max(0.0, m_tails[bucket].weight - next.weight);
  const double left =
      in_bucket * std::max(0.0, upper - done_ms) / (upper - lower);
  const double weight = next.weight + left;
  const double sum = next.sum - next.weight * done_ms +
                     left * std::max(0.0, upper - done_ms) / 2;
  return (std::max(0.0, sum) + kUnseenWeight * (mean + done_ms)) /
         (weight + kUnseenWeight);
}

}  // namespace poplarsail::load
