#ifndef FLOWS_FLOW_TABLE_H_
#define FLOWS_FLOW_TABLE_H_

#include <cstdint>
#include <functional>
#include <unordered_map>

#include "flows/flow_packet.h"
#include "flows/liveness.h"

namespace poplarsail::flows {

// What this host observed of a flow. Used mainly to judge the health of
// upstreams; the upstream of a flow is identified by the tag in its packets.
struct FlowRecord {
  uint64_t upstream_id = 0;
  // The previous upstream if the SYN was sent again to another one, else 0.
  uint64_t previous_upstream_id = 0;
  SteadyTime last_packet;
  // When the last SYN or packet with new data was forwarded. For a flow with an
  // unknown tag, when its first packet arrived.
  SteadyTime awaiting_response_since;
  // When the response is overdue.
  SteadyTime response_deadline;
  // When the SYN was sent to the previous upstream.
  SteadyTime previous_sent;
  bool is_awaiting_response = false;
  bool is_established = false;
  // The client has ended the flow. The record is kept for a while, so that the
  // last acknowledgements of the flow do not count as a new one.
  bool is_closed = false;
  // The SYN was sent to the same upstream again.
  bool is_syn_resent = false;
  // The SYN waits for the scheduler's answer.
  bool is_held = false;
  // The first SYN passed this host.
  bool has_seen_start = false;
  // Identifies the flow at the scheduler while it waits for a place or occupies
  // its upstream, else 0.
  uint32_t token = 0;
  uint32_t request_count = 0;
  // The overdue response was already counted as a timeout of the upstream.
  bool is_timeout_recorded = false;
  uint32_t sequence_end = 0;
  uint32_t ack_number = 0;
  // A request was sent of whose answer nothing has been acknowledged, and the
  // acknowledgement number before it.
  bool is_answer_expected = false;
  uint32_t answer_start = 0;

  friend bool operator==(const FlowRecord&, const FlowRecord&) = default;
};

// A bounded table. While it is full, further flows are not observed.
class FlowTable {
 public:
  explicit FlowTable(size_t capacity) : m_capacity(capacity) {}

  FlowRecord* Find(const FlowKey& key);
  // Returns the record of the flow and creates it if needed. Returns nullptr if
  // the table is full.
  FlowRecord* FindOrCreate(const FlowKey& key);
  void ForEach(const std::function<void(const FlowKey&, FlowRecord*)>& visit);

  // Removes records without packets since `oldest`, and those closed before
  // `oldest_closed`, and calls `on_removed` for each.
  void EvictIdle(
      SteadyTime oldest,
      SteadyTime oldest_closed,
      const std::function<void(const FlowKey&, FlowRecord*)>& on_removed);

  size_t size() const { return m_records.size(); }

 private:
  size_t m_capacity;
  std::unordered_map<FlowKey, FlowRecord, FlowKeyHash> m_records;
};

}  // namespace poplarsail::flows

#endif  // FLOWS_FLOW_TABLE_H_
