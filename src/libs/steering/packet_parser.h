#ifndef STEERING_PACKET_PARSER_H_
#define STEERING_PACKET_PARSER_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "steering/flow_key.h"

namespace poplarsail::steering {

// Why a datagram from the fabric is no packet that can be steered.
enum class PacketError : uint8_t {
  kNone,
  kTooShort,
  kBadVersion,
  kBadHeaderLength,
  kBadTotalLength,
  kFragment,
  kUnsupportedProtocol,
};
inline constexpr size_t kPacketErrorCount = 7;

std::string_view ToString(PacketError error);

// What steering needs to know of one packet.
struct PacketSummary {
  FlowKey key;
  // The packet opens a flow (TCP with SYN and without ACK).
  bool opens_flow = false;
  // The packet ends a flow (TCP with FIN or RST).
  bool ends_flow = false;
  // The protocol marks first packets, so an unmarked packet is not one.
  bool is_connection_oriented = false;

  friend bool operator==(const PacketSummary&, const PacketSummary&) = default;
};

struct ParsedPacket {
  PacketError error = PacketError::kNone;
  PacketSummary summary;

  friend bool operator==(const ParsedPacket&, const ParsedPacket&) = default;
};

// Reads an IPv4 or IPv6 packet with TCP or UDP (RFC 791, 8200, 9293, 768).
// Fragments and IPv6 extension headers are refused.
ParsedPacket ParsePacket(std::span<const uint8_t> datagram);

}  // namespace poplarsail::steering

#endif  // STEERING_PACKET_PARSER_H_
