#include "telemetry/latency_histogram.h"

#include <limits>
#include <numeric>

namespace poplarsail::telemetry {

uint64_t LatencyHistogram::count() const {
  return std::accumulate(m_counts.begin(), m_counts.end(), uint64_t{0});
}

prometheus::MetricFamily LatencyHistogram::Collect(
    const std::string& name,
    const std::string& help) const {
  prometheus::ClientMetric metric;
  uint64_t cumulative = 0;
  for (size_t i = 0; i < m_counts.size(); ++i) {
    cumulative += m_counts[i];
    prometheus::ClientMetric::Bucket bucket;
    bucket.cumulative_count = cumulative;
    bucket.upper_bound = i < kLatencyBounds.size()
                             ? kLatencyBounds[i]
                             : std::numeric_limits<double>::infinity();
    metric.histogram.bucket.push_back(bucket);
  }
  metric.histogram.sample_count = cumulative;
  metric.histogram.sample_sum = m_sum_seconds;
  return {name, help, prometheus::MetricType::Histogram, {metric}};
}

}  // namespace poplarsail::telemetry
