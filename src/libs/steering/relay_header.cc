#include "steering/relay_header.h"

#include <boost/endian/conversion.hpp>

namespace poplarsail::steering {

namespace {

constexpr uint8_t kVersion = 1;
constexpr size_t kReplicaDomainOffset = 12;
constexpr size_t kVisitedOffset = 14;
constexpr size_t kSearchedOffset = kVisitedOffset + 2 * kMaxRelayHops;
constexpr uint8_t kPhaseMask = 0x03;
constexpr uint8_t kSenderHasCopyFlag = 0x04;

template <typename Tags>
void StoreTags(const Tags& tags, uint8_t* bytes) {
  for (const uint16_t tag : tags) {
    boost::endian::store_big_u16(bytes, tag);
    bytes += sizeof(tag);
  }
}

template <typename Tags>
void LoadTags(const uint8_t* bytes, Tags* tags) {
  for (uint16_t& tag : *tags) {
    tag = boost::endian::load_big_u16(bytes);
    bytes += sizeof(tag);
  }
}

}  // namespace

std::array<uint8_t, kRelayHeaderSize> Encode(const RelayHeader& header) {
  std::array<uint8_t, kRelayHeaderSize> bytes{};
  bytes[0] = kVersion;
  bytes[1] = static_cast<uint8_t>(header.purpose);
  bytes[2] = header.hops;
  bytes[3] = static_cast<uint8_t>(header.phase);
  bytes[3] |= header.sender_has_copy ? kSenderHasCopyFlag : 0;
  boost::endian::store_big_u32(bytes.data() + 4, header.generation);
  boost::endian::store_big_u32(bytes.data() + 8, header.upstream);
  boost::endian::store_big_u16(bytes.data() + kReplicaDomainOffset,
                               header.replica_domain);
  StoreTags(header.visited, bytes.data() + kVisitedOffset);
  StoreTags(header.searched, bytes.data() + kSearchedOffset);
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
  const uint8_t phase = datagram[3] & kPhaseMask;
  RelayHeader header{
      .purpose = purpose,
      .hops = datagram[2],
      .phase = static_cast<FlowPhase>(phase),
      .sender_has_copy = (datagram[3] & kSenderHasCopyFlag) != 0,
      .generation = boost::endian::load_big_u32(datagram.data() + 4),
      .upstream = boost::endian::load_big_u32(datagram.data() + 8),
      .replica_domain =
          boost::endian::load_big_u16(datagram.data() + kReplicaDomainOffset)};
  LoadTags(datagram.data() + kVisitedOffset, &header.visited);
  LoadTags(datagram.data() + kSearchedOffset, &header.searched);
  return header;
}

}  // namespace poplarsail::steering
