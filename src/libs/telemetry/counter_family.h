#ifndef TELEMETRY_COUNTER_FAMILY_H_
#define TELEMETRY_COUNTER_FAMILY_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <prometheus/collectable.h>
#include <prometheus/metric_family.h>

namespace poplarsail::telemetry {

// A family of counters with one label whose values are known beforehand. One
// thread adds, any thread collects; adding costs one store, which suits the
// packet duty.
class CounterFamily : public prometheus::Collectable {
 public:
  CounterFamily(std::string name,
           std::string help,
           std::string label,
           std::vector<std::string> label_values);

  // Only one thread may call this for a given object.
  void Add(size_t index, uint64_t count = 1) {
    std::atomic<uint64_t>& value = m_values[index];
    value.store(value.load(std::memory_order_relaxed) + count,
                std::memory_order_relaxed);
  }

  uint64_t Value(size_t index) const {
    return m_values[index].load(std::memory_order_relaxed);
  }

  std::vector<prometheus::MetricFamily> Collect() const override;

 private:
  std::string m_name;
  std::string m_help;
  std::string m_label;
  std::vector<std::string> m_label_values;
  std::unique_ptr<std::atomic<uint64_t>[]> m_values;
};

}  // namespace poplarsail::telemetry

#endif  // TELEMETRY_COUNTER_FAMILY_H_
