#ifndef FLOWS_FLOW_PACKET_H_
#define FLOWS_FLOW_PACKET_H_

#include <cstddef>
#include <cstdint>

#include "model/ipv4_endpoint.h"

namespace poplarsail::flows {

using model::Ipv4Endpoint;

// The two ends of a flow, as its caller names them.
struct FlowKey {
  Ipv4Endpoint client;
  Ipv4Endpoint listener;

  friend auto operator<=>(const FlowKey&, const FlowKey&) = default;
};

struct FlowKeyHash {
  size_t operator()(const FlowKey& key) const;
};

// The head of one packet from a caller.
struct FlowPacket {
  FlowKey key;
  bool is_syn = false;
  bool is_fin = false;
  bool is_rst = false;
  // Copies of an opening packet that the caller sent before this one.
  uint32_t retransmit_count = 0;
  uint32_t sequence = 0;
  uint32_t ack_number = 0;
  // The tag that the upstream last sent back on this flow; 0 where none did.
  uint32_t tag = 0;
  size_t data_bytes = 0;

  friend bool operator==(const FlowPacket&, const FlowPacket&) = default;
};

}  // namespace poplarsail::flows

#endif  // FLOWS_FLOW_PACKET_H_
