#ifndef ENTRY_FLOW_CODEC_H_
#define ENTRY_FLOW_CODEC_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "flows/flow_packet.h"

namespace poplarsail::entry {

// The encoded header of an outgoing packet.
struct PacketHeader {
  std::array<uint8_t, 64> bytes{};
  size_t size = 0;

  std::span<const uint8_t> view() const { return {bytes.data(), size}; }
};

// Decodes and encodes flow packets in their wire format.
class FlowCodec {
 public:
  virtual ~FlowCodec() = default;

  // Returns nullopt if the datagram is not exactly one packet.
  virtual std::optional<flows::FlowPacket> Decode(
      std::span<const uint8_t> datagram) const = 0;

  // Returns the bytes of `datagram` after its header, which are forwarded
  // unchanged.
  virtual std::span<const uint8_t> Payload(
      std::span<const uint8_t> datagram) const = 0;

  // Returns the header for forwarding `datagram` to an upstream.
  virtual PacketHeader EncodeForUpstream(std::span<const uint8_t> datagram,
                                         uint64_t upstream_id,
                                         uint32_t tag) const = 0;

  // Returns the reset packet that ends the flow of `packet` at its client.
  virtual PacketHeader EncodeReset(const flows::FlowPacket& packet) const = 0;
};

}  // namespace poplarsail::entry

#endif  // ENTRY_FLOW_CODEC_H_
