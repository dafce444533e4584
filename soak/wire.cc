#include "soak/wire.h"

#include <algorithm>

namespace poplarsail::soak {

namespace {

constexpr size_t kHeaderBytes = 34;
constexpr uint8_t kFin = 1;
constexpr uint8_t kRst = 2;
constexpr uint8_t kAck = 4;
constexpr uint8_t kSyn = 128;

void StoreLittleEndian(std::vector<uint8_t>* bytes,
                       size_t offset,
                       uint64_t value,
                       int count) {
  for (int i = 0; i < count; ++i) {
    (*bytes)[offset + i] = static_cast<uint8_t>(value >> (8 * i));
  }
}

uint32_t LoadLittleEndian(std::span<const uint8_t> bytes,
                          size_t offset,
                          int count) {
  uint32_t value = 0;
  for (int i = 0; i < count; ++i) {
    value |= uint32_t{bytes[offset + i]} << (8 * i);
  }
  return value;
}

}  // namespace

std::vector<uint8_t> Encode(const Packet& packet) {
  std::vector<uint8_t> bytes(kHeaderBytes + packet.data.size());
  StoreLittleEndian(&bytes, 0, packet.data.size(), 2);
  StoreLittleEndian(&bytes, 2, packet.source.port, 2);
  StoreLittleEndian(&bytes, 4, packet.destination.address, 4);
  StoreLittleEndian(&bytes, 8, packet.source.address, 4);
  StoreLittleEndian(&bytes, 12, packet.destination.port, 2);
  StoreLittleEndian(&bytes, 14, packet.checksum, 4);
  bytes[18] =
      static_cast<uint8_t>((packet.syn ? kSyn : 0) | (packet.ack ? kAck : 0) |
                           (packet.fin ? kFin : 0) | (packet.rst ? kRst : 0));
  StoreLittleEndian(&bytes, 22, packet.sequence, 4);
  StoreLittleEndian(&bytes, 26, packet.ack_number, 4);
  StoreLittleEndian(&bytes, 30, packet.echo, 4);
  std::copy(packet.data.begin(), packet.data.end(),
            bytes.begin() + kHeaderBytes);
  return bytes;
}

std::optional<Packet> Decode(std::span<const uint8_t> bytes) {
  if (bytes.size() < kHeaderBytes ||
      bytes.size() != kHeaderBytes + LoadLittleEndian(bytes, 0, 2)) {
    return std::nullopt;
  }
  Packet packet;
  packet.source = {LoadLittleEndian(bytes, 8, 4),
                   static_cast<uint16_t>(LoadLittleEndian(bytes, 2, 2))};
  packet.destination = {LoadLittleEndian(bytes, 4, 4),
                        static_cast<uint16_t>(LoadLittleEndian(bytes, 12, 2))};
  packet.checksum = LoadLittleEndian(bytes, 14, 4);
  const uint8_t flags = bytes[18];
  packet.syn = (flags & kSyn) != 0;
  packet.ack = (flags & kAck) != 0;
  packet.fin = (flags & kFin) != 0;
  packet.rst = (flags & kRst) != 0;
  packet.sequence = LoadLittleEndian(bytes, 22, 4);
  packet.ack_number = LoadLittleEndian(bytes, 26, 4);
  packet.echo = LoadLittleEndian(bytes, 30, 4);
  packet.data.assign(bytes.begin() + kHeaderBytes, bytes.end());
  return packet;
}

}  // namespace poplarsail::soak
