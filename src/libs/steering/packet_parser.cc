#include "steering/packet_parser.h"

#include <algorithm>

#include "steering/steering_constants.h"

namespace poplarsail::steering {

namespace {

constexpr size_t kIpv4MinHeader = 20;
constexpr size_t kIpv6Header = 40;
constexpr size_t kTcpMinHeader = 20;
constexpr size_t kUdpHeader = 8;
constexpr size_t kTcpFlagsOffset = 13;
constexpr uint8_t kTcpFin = 0x01;
constexpr uint8_t kTcpSyn = 0x02;
constexpr uint8_t kTcpRst = 0x04;
constexpr uint8_t kTcpAck = 0x10;
constexpr uint16_t kIpv4FragmentMask = 0x3fff;

uint16_t ReadU16(std::span<const uint8_t> bytes, size_t offset) {
  return static_cast<uint16_t>(bytes[offset] << 8 | bytes[offset + 1]);
}

ParsedPacket Failed(PacketError error) {
  return {error, {}};
}

ParsedPacket ParseTransport(std::span<const uint8_t> segment, FlowKey key) {
  const bool is_tcp = key.protocol == kProtocolTcp;
  if (!is_tcp && key.protocol != kProtocolUdp) {
    return Failed(PacketError::kUnsupportedProtocol);
  }
  if (segment.size() < (is_tcp ? kTcpMinHeader : kUdpHeader)) {
    return Failed(PacketError::kTooShort);
  }
  key.source_port = ReadU16(segment, 0);
  key.destination_port = ReadU16(segment, 2);
  PacketSummary summary{.key = key, .is_connection_oriented = is_tcp};
  if (is_tcp) {
    const uint8_t flags = segment[kTcpFlagsOffset];
    summary.ends_flow = (flags & (kTcpFin | kTcpRst)) != 0;
    summary.opens_flow = (flags & (kTcpSyn | kTcpAck | kTcpRst)) == kTcpSyn;
  }
  return {PacketError::kNone, summary};
}

ParsedPacket ParseIpv4(std::span<const uint8_t> packet) {
  if (packet.size() < kIpv4MinHeader) {
    return Failed(PacketError::kTooShort);
  }
  const size_t header_length = static_cast<size_t>(packet[0] & 0x0f) * 4;
  if (header_length < kIpv4MinHeader || header_length > packet.size()) {
    return Failed(PacketError::kBadHeaderLength);
  }
  const size_t total_length = ReadU16(packet, 2);
  if (total_length < header_length || total_length > packet.size()) {
    return Failed(PacketError::kBadTotalLength);
  }
  if ((ReadU16(packet, 6) & kIpv4FragmentMask) != 0) {
    return Failed(PacketError::kFragment);
  }
  FlowKey key;
  key.protocol = packet[9];
  key.source[10] = key.source[11] = 0xff;
  key.destination[10] = key.destination[11] = 0xff;
  std::copy_n(packet.begin() + 12, 4, key.source.begin() + 12);
  std::copy_n(packet.begin() + 16, 4, key.destination.begin() + 12);
  return ParseTransport(
      packet.subspan(header_length, total_length - header_length), key);
}

ParsedPacket ParseIpv6(std::span<const uint8_t> packet) {
  if (packet.size() < kIpv6Header) {
    return Failed(PacketError::kTooShort);
  }
  const size_t payload_length = ReadU16(packet, 4);
  if (payload_length + kIpv6Header > packet.size()) {
    return Failed(PacketError::kBadTotalLength);
  }
  FlowKey key;
  key.protocol = packet[6];
  std::copy_n(packet.begin() + 8, 16, key.source.begin());
  std::copy_n(packet.begin() + 24, 16, key.destination.begin());
  return ParseTransport(packet.subspan(kIpv6Header, payload_length), key);
}

}  // namespace

std::string_view ToString(PacketError error) {
  switch (error) {
    case PacketError::kNone:
      return "none";
    case PacketError::kTooShort:
      return "too_short";
    case PacketError::kBadVersion:
      return "bad_version";
    case PacketError::kBadHeaderLength:
      return "bad_header_length";
    case PacketError::kBadTotalLength:
      return "bad_total_length";
    case PacketError::kFragment:
      return "fragment";
    case PacketError::kUnsupportedProtocol:
      return "unsupported_protocol";
  }
  return "unknown";
}

ParsedPacket ParsePacket(std::span<const uint8_t> datagram) {
  if (datagram.empty()) {
    return Failed(PacketError::kTooShort);
  }
  switch (datagram[0] >> 4) {
    case 4:
      return ParseIpv4(datagram);
    case 6:
      return ParseIpv6(datagram);
    default:
      return Failed(PacketError::kBadVersion);
  }
}

}  // namespace poplarsail::steering
