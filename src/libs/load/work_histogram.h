#ifndef LOAD_WORK_HISTOGRAM_H_
#define LOAD_WORK_HISTOGRAM_H_

#include <array>
#include <cstddef>

namespace poplarsail::load {

inline constexpr double kMinWorkMs = 0.0625;
inline constexpr double kMaxWorkMs = 262'144;

// Weighted distribution over buckets that grow with their values: 8 per factor
// of 2, so that a quantile is off by at most 6 %. Takes 4 KB.
class WorkHistogram {
 public:
  void Add(double work_ms, double weight);
  // Multiplies all weights.
  void Scale(double factor);
  void Clear();

  // The following need a weight above 0.
  double Weight() const;
  double Mean() const;
  double Quantile(double part) const;
  // The mean of what is left of the values above `done_ms`. Interpolates a
  // table that `Add` updates, since it is called for every outstanding request
  // whenever a flow is placed.
  double RemainingMs(double done_ms) const;

 private:
  static constexpr size_t kBuckets = 22 * 8;

  void UpdateRemaining();

  // Weight and weighted sum of the values in this and all later buckets; the
  // last entry remains empty.
  struct Tail {
    double weight = 0;
    double sum = 0;
  };
  std::array<Tail, kBuckets + 1> m_tails;
  // Mean of what is left at the lower bound of each bucket.
  std::array<double, kBuckets + 1> m_remaining_ms = {};
};

}  // namespace poplarsail::load

#endif  // LOAD_WORK_HISTOGRAM_H_
