#ifndef FLOWS_FLOW_TABLE_H_
#define FLOWS_FLOW_TABLE_H_

#include <cstdint>
#include <functional>
#include <unordered_map>

#include "flows/flow_packet.h"
#include "flows/liveness.h"

namespace poplarsail::flows {

// What this host saw of a flow. Only used to judge upstreams; which upstream a
// flow has is told by the tag in its packets.
struct FlowRecord {
  uint64_t upstream_id = 0;
  // The upstream before, where a copy of the opening packet went elsewhere.
  uint64_t earlier_upstream_id = 0;
  SteadyTime last_packet;
  // When the oldest packet without an answer was first passed on.
  SteadyTime waiting_since;
  bool is_waiting = false;
  bool is_open = false;
  // The wait was already counted against the upstream.
  bool is_counted = false;
  uint32_t sequence_end = 0;
  uint32_t ack_number = 0;

  friend bool operator==(const FlowRecord&, const FlowRecord&) = default;
};

// Bounded: when full, further flows go unobserved until others turn idle.
class FlowTable {
 public:
  explicit FlowTable(size_t capacity) : m_capacity(capacity) {}

  FlowRecord* Find(const FlowKey& key);
  // Returns the flow's record, made where there is none; nullptr when full.
  FlowRecord* FindOrCreate(const FlowKey& key);
  void Erase(const FlowKey& key) { m_records.erase(key); }

  void ForEach(const std::function<void(const FlowKey&, FlowRecord*)>& visit);

  // Removes records without packets since `oldest` and calls `removed` for
  // each.
  void EraseIdle(SteadyTime oldest,
                 const std::function<void(const FlowRecord&)>& removed);

  size_t size() const { return m_records.size(); }

 private:
  size_t m_capacity;
  std::unordered_map<FlowKey, FlowRecord, FlowKeyHash> m_records;
};

}  // namespace poplarsail::flows

#endif  // FLOWS_FLOW_TABLE_H_
