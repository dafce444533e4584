#include "flows/overdue_monitor.h"

#include <algorithm>
#include <utility>

namespace poplarsail::flows {

namespace {

// `values` is not empty.
double Median(std::vector<double> values) {
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

void UpdateService(const Service& service,
                   SteadyTime now,
                   std::vector<UnresponsiveChange>* changes) {
  std::vector<double> overdue;
  for (const Upstream* upstream : service.upstreams) {
    overdue.push_back(upstream->overdue_requests.Value(now));
  }
  if (overdue.empty()) {
    return;
  }
  const double threshold =
      std::max(kMinOverdueRequests, kUnresponsiveRatio * Median(overdue));
  for (size_t i = 0; i < overdue.size(); ++i) {
    Upstream* upstream = service.upstreams[i];
    const bool is_unresponsive = overdue[i] >= threshold;
    if (std::exchange(upstream->is_unresponsive, is_unresponsive) !=
        is_unresponsive) {
      changes->push_back({upstream->record.id, is_unresponsive});
    }
  }
}

}  // namespace

void OverdueMonitor::RecordOverdue(Upstream* upstream, SteadyTime now) {
  ++m_counts[upstream->record.id];
  upstream->overdue_requests.Add(1, now);
}

std::vector<OverdueCount> OverdueMonitor::TakeCounts() {
  std::vector<OverdueCount> counts;
  for (const auto& [upstream_id, requests] : std::exchange(m_counts, {})) {
    counts.push_back({upstream_id, requests});
  }
  return counts;
}

std::vector<UnresponsiveChange> OverdueMonitor::Update(
    const RoutingTable& routing_table,
    SteadyTime now) {
  std::vector<UnresponsiveChange> changes;
  for (const auto& [name, service] : routing_table.services()) {
    UpdateService(service, now, &changes);
  }
  return changes;
}

}  // namespace poplarsail::flows
