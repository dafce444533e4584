// Packets of flows as the platform's protocol page defines them.
#ifndef REVIEW_STANDIN_PACKET_H_
#define REVIEW_STANDIN_PACKET_H_

#include <compare>
#include <cstdint>
#include <cstring>
#include <optional>
#include <string>

namespace review {

struct Address {
  uint32_t ip = 0;
  uint16_t port = 0;

  friend auto operator<=>(const Address&, const Address&) = default;
};

// The two ends of a flow, as the consumer sends it.
struct FlowId {
  Address consumer;
  Address route;

  friend auto operator<=>(const FlowId&, const FlowId&) = default;
};

inline constexpr uint8_t kFin = 1;
inline constexpr uint8_t kRst = 2;
inline constexpr uint8_t kAck = 4;
inline constexpr uint8_t kSyn = 128;
inline constexpr size_t kHeadBytes = 34;
// Resets of the system carry 0; the ends write something else.
inline constexpr uint32_t kSum = 0xa1b2c3d5;

struct Packet {
  Address source;
  Address destination;
  uint8_t flags = 0;
  uint32_t seq = 0;
  uint32_t ack = 0;
  uint32_t echo = 0;
  uint32_t sum = kSum;
  std::string data;

  bool Has(uint8_t flag) const { return (flags & flag) != 0; }
};

// This machine and the protocol are little-endian.
template <typename T>
void Store(std::string* out, size_t offset, T value) {
  std::memcpy(out->data() + offset, &value, sizeof(value));
}

template <typename T>
T Load(const std::string& in, size_t offset) {
  T value{};
  std::memcpy(&value, in.data() + offset, sizeof(value));
  return value;
}

inline std::string Encode(const Packet& packet) {
  std::string out(kHeadBytes, '\0');
  Store<uint16_t>(&out, 0, static_cast<uint16_t>(packet.data.size()));
  Store<uint16_t>(&out, 2, packet.source.port);
  Store<uint32_t>(&out, 4, packet.destination.ip);
  Store<uint32_t>(&out, 8, packet.source.ip);
  Store<uint16_t>(&out, 12, packet.destination.port);
  Store<uint32_t>(&out, 14, packet.sum);
  Store<uint8_t>(&out, 18, packet.flags);
  Store<uint32_t>(&out, 22, packet.seq);
  Store<uint32_t>(&out, 26, packet.ack);
  Store<uint32_t>(&out, 30, packet.echo);
  return out + packet.data;
}

inline std::optional<Packet> Decode(const std::string& in) {
  if (in.size() < kHeadBytes ||
      in.size() != kHeadBytes + Load<uint16_t>(in, 0)) {
    return std::nullopt;
  }
  Packet packet;
  packet.source = {Load<uint32_t>(in, 8), Load<uint16_t>(in, 2)};
  packet.destination = {Load<uint32_t>(in, 4), Load<uint16_t>(in, 12)};
  packet.sum = Load<uint32_t>(in, 14);
  packet.flags = Load<uint8_t>(in, 18);
  packet.seq = Load<uint32_t>(in, 22);
  packet.ack = Load<uint32_t>(in, 26);
  packet.echo = Load<uint32_t>(in, 30);
  packet.data = in.substr(kHeadBytes);
  return packet;
}

}  // namespace review

#endif  // REVIEW_STANDIN_PACKET_H_
