#include "load/work_histogram.h"

#include <algorithm>
#include <bit>
#include <cstdint>

namespace poplarsail::load {
namespace {

static_assert(kMaxWorkMs / kMinWorkMs == 1 << 22);

// The exponent and the first 3 bits of the mantissa number the buckets.
constexpr int kShift = 52 - 3;
constexpr uint64_t kOffsetMask = (uint64_t{1} << kShift) - 1;
constexpr double kPerOffset = 1.0 / (uint64_t{1} << kShift);
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
  UpdateRemaining();
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

double WorkHistogram::RemainingMs(double done_ms) const {
  if (done_ms >= kMaxWorkMs) {
    return Mean() + done_ms;
  }
  if (!(done_ms >= kMinWorkMs)) {
    return m_remaining_ms.front();
  }
  const auto bits = std::bit_cast<uint64_t>(done_ms);
  const double* bounds = &m_remaining_ms[(bits >> kShift) - kFirst];
  const double part =
      static_cast<double>(static_cast<int64_t>(bits & kOffsetMask)) *
      kPerOffset;
  return bounds[0] + (bounds[1] - bounds[0]) * part;
}

// Beyond the samples, the distribution is assumed to be a Lomax (shifted
// Pareto) distribution with the exponent 2 and the same mean, of which
// `mean + done` remains.
void WorkHistogram::UpdateRemaining() {
  const double mean = Mean();
  for (size_t i = 0; i < m_tails.size(); ++i) {
    const Tail& tail = m_tails[i];
    const double done = LowerBound(i);
    const double left = std::max(0.0, tail.sum - tail.weight * done);
    m_remaining_ms[i] =
        (left + kUnseenWeight * (mean + done)) / (tail.weight + kUnseenWeight);
  }
}

}  // namespace poplarsail::load
