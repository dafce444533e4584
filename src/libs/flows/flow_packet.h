#ifndef FLOWS_FLOW_PACKET_H_
#define FLOWS_FLOW_PACKET_H_

#include <cstddef>
#include <cstdint>

#include "model/ipv4_endpoint.h"

namespace poplarsail::flows {

using model::Ipv4Endpoint;

// The two endpoints of a flow as addressed by its client.
struct FlowKey {
  Ipv4Endpoint client;
  Ipv4Endpoint listener;

  friend auto operator<=>(const FlowKey&, const FlowKey&) = default;
};

struct FlowKeyHash {
  size_t operator()(const FlowKey& key) const;
};

// The header of a packet from a client.
struct FlowPacket {
  FlowKey key;
  bool is_syn = false;
  bool is_fin = false;
  bool is_rst = false;
  // How often the client has sent this SYN before.
  uint32_t retransmit_count = 0;
  uint32_t sequence = 0;
  uint32_t ack_number = 0;
  // The tag that the client last received from the upstream on this flow, or 0.
  uint32_t tag = 0;
  size_t data_bytes = 0;

  friend bool operator==(const FlowPacket&, const FlowPacket&) = default;
};

}  // namespace poplarsail::flows

#endif  // FLOWS_FLOW_PACKET_H_
