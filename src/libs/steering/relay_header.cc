#include "steering/relay_header.h"

#include <boost/endian/conversion.hpp>

namespace poplarsail::steering {

namespace {

constexpr uint8_t kVersion = 1;
constexpr uint8_t kEstablishedFlag = 0x01;
constexpr uint8_t kSenderKeepsCopyFlag = 0x02;

}  // namespace

std::array<uint8_t, kRelayHeaderSize> Encode(const RelayHeader& header) {
  std::array<uint8_t, kRelayHeaderSize> bytes{};
  bytes[0] = kVersion;
  bytes[1] = static_cast<uint8_t>(header.purpose);
  bytes[2] = header.hops;
  bytes[3] |= header.is_established ? kEstablishedFlag : 0;
  bytes[3] |= header.sender_keeps_copy ? kSenderKeepsCopyFlag : 0;
  boost::endian::store_big_u32(bytes.data() + 4, header.generation);
  boost::endian::store_big_u32(bytes.data() + 8, header.upstream);
  return bytes;
}

std::optional<RelayHeader> DecodeRelayHeader(
    std::span<const uint8_t> datagram) {
  if (datagram.size() < kRelayHeaderSize || datagram[0] != kVersion) {
    return std::nullopt;
  }
  const auto purpose = static_cast<RelayPurpose>(datagram[1]);
  if (purpose != RelayPurpose::kResolve && purpose != RelayPurpose::kRecord) {
    return std::nullopt;
  }
  return RelayHeader{
      .purpose = purpose,
      .hops = datagram[2],
      .is_established = (datagram[3] & kEstablishedFlag) != 0,
      .sender_keeps_copy = (datagram[3] & kSenderKeepsCopyFlag) != 0,
      .generation = boost::endian::load_big_u32(datagram.data() + 4),
      .upstream = boost::endian::load_big_u32(datagram.data() + 8)};
}

}  // namespace poplarsail::steering
