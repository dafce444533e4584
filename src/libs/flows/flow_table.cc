#include "flows/flow_table.h"

namespace poplarsail::flows {

FlowRecord* FlowTable::Find(const FlowKey& key) {
  const auto found = m_records.find(key);
  return found == m_records.end() ? nullptr : &found->second;
}

FlowRecord* FlowTable::FindOrCreate(const FlowKey& key) {
  FlowRecord* known = Find(key);
  if (known != nullptr || m_records.size() >= m_capacity) {
    return known;
  }
  return &m_records[key];
}

void FlowTable::ForEach(
    const std::function<void(const FlowKey&, FlowRecord*)>& visit) {
  for (auto& [key, record] : m_records) {
    visit(key, &record);
  }
}

void FlowTable::EvictIdle(
    SteadyTime oldest,
    SteadyTime oldest_closed,
    const std::function<void(const FlowKey&, FlowRecord*)>& on_removed) {
  for (auto item = m_records.begin(); item != m_records.end();) {
    const FlowRecord& record = item->second;
    if (record.last_packet >= (record.is_closed ? oldest_closed : oldest)) {
      ++item;
      continue;
    }
    on_removed(item->first, &item->second);
    item = m_records.erase(item);
  }
}

}  // namespace poplarsail::flows
