#ifndef TELEMETRY_LATENCY_HISTOGRAM_H_
#define TELEMETRY_LATENCY_HISTOGRAM_H_

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <string>

#include <prometheus/metric_family.h>

namespace poplarsail::telemetry {

// Upper bounds of the buckets in seconds. They range from a local round trip to
// the longest time budget of a request.
inline constexpr std::array<double, 10> kLatencyBounds = {
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 3.0};

// Counts durations by bucket. Not thread-safe.
class LatencyHistogram {
 public:
  void Add(std::chrono::nanoseconds duration) {
    const double seconds = std::chrono::duration<double>(duration).count();
    const auto bucket =
        std::lower_bound(kLatencyBounds.begin(), kLatencyBounds.end(), seconds);
    ++m_counts[static_cast<size_t>(bucket - kLatencyBounds.begin())];
    m_sum_seconds += seconds;
  }

  uint64_t count() const;

  // Returns a Prometheus metric family with cumulative buckets.
  prometheus::MetricFamily Collect(const std::string& name,
                                   const std::string& help) const;

 private:
  std::array<uint64_t, kLatencyBounds.size() + 1> m_counts{};
  double m_sum_seconds = 0;
};

}  // namespace poplarsail::telemetry

#endif  // TELEMETRY_LATENCY_HISTOGRAM_H_
