#ifndef ENTRY_FLOW_CODEC_H_
#define ENTRY_FLOW_CODEC_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "flows/flow_packet.h"

namespace poplarsail::entry {

// A short run of bytes that is built for each packet.
struct PacketHead {
  std::array<uint8_t, 64> bytes{};
  size_t size = 0;

  std::span<const uint8_t> view() const { return {bytes.data(), size}; }
};

// Reads and writes flow packets as they are on the wire.
class FlowCodec {
 public:
  virtual ~FlowCodec() = default;

  // Returns nothing where the datagram is no whole packet.
  virtual std::optional<flows::FlowPacket> Decode(
      std::span<const uint8_t> datagram) const = 0;

  // The bytes of `datagram` after its head, which are passed on as they are.
  virtual std::span<const uint8_t> Data(
      std::span<const uint8_t> datagram) const = 0;

  // The head that `datagram` gets on its way to an upstream.
  virtual PacketHead EncodeForUpstream(std::span<const uint8_t> datagram,
                                       uint64_t upstream_id,
                                       uint32_t tag) const = 0;

  // The packet that tells the caller of `packet` that its flow has ended.
  virtual PacketHead EncodeReset(const flows::FlowPacket& packet) const = 0;
};

}  // namespace poplarsail::entry

#endif  // ENTRY_FLOW_CODEC_H_
