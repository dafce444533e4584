#include "telemetry/counter_family.h"

#include <utility>

namespace poplarsail::telemetry {

CounterFamily::CounterFamily(std::string name,
                   std::string help,
                   std::string label,
                   std::vector<std::string> label_values)
    : m_name(std::move(name)),
      m_help(std::move(help)),
      m_label(std::move(label)),
      m_label_values(std::move(label_values)),
      m_values(new std::atomic<uint64_t>[m_label_values.size()]) {
  for (size_t i = 0; i < m_label_values.size(); ++i) {
    m_values[i].store(0, std::memory_order_relaxed);
  }
}

std::vector<prometheus::MetricFamily> CounterFamily::Collect() const {
  prometheus::MetricFamily family;
  family.name = m_name;
  family.help = m_help;
  family.type = prometheus::MetricType::Counter;
  for (size_t i = 0; i < m_label_values.size(); ++i) {
    prometheus::ClientMetric metric;
    metric.label.push_back({m_label, m_label_values[i]});
    metric.counter.value = static_cast<double>(Value(i));
    family.metric.push_back(std::move(metric));
  }
  return {family};
}

}  // namespace poplarsail::telemetry
