#ifndef STEERING_RELAY_HEADER_H_
#define STEERING_RELAY_HEADER_H_

#include <array>
#include <cstdint>
#include <optional>
#include <span>

#include "steering/flow_table.h"
#include "steering/steering_constants.h"

namespace poplarsail::steering {

enum class RelayPurpose : uint8_t {
  // The receiver decides on the packet, or relays it further.
  kResolve = 1,
  // The receiver records the flow's upstream and forwards the packet to it.
  kRecord = 2,
};

// A 16-bit hash of an entry host's name, never 0. If the tags of two hosts
// collide, only one of them is asked for a record.
using HostTag = uint16_t;
// A 16-bit hash of a failure domain's name, never 0.
using DomainTag = uint16_t;

// Precedes an IP packet that one entry host relays to another.
struct RelayHeader {
  RelayPurpose purpose = RelayPurpose::kResolve;
  // How often the packet was relayed.
  uint8_t hops = 0;
  // The flow's phase (kRecord).
  FlowPhase phase = FlowPhase::kOpening;
  // The sender stores the other copy of the record (kRecord).
  bool sender_has_copy = false;
  // The generation of the sender's plan.
  uint32_t generation = 0;
  // The flow's upstream (kRecord).
  UpstreamId upstream = kNoUpstream;
  // The failure domain whose replica hosts store the record (kRecord).
  DomainTag replica_domain = 0;
  // Tags of the hosts that relayed the packet; none is asked for a record
  // twice.
  std::array<HostTag, kMaxRelayHops> visited{};
  // Tags of failure domains whose replica hosts are known to have no record.
  std::array<DomainTag, kMaxSearchedDomains> searched{};

  friend bool operator==(const RelayHeader&, const RelayHeader&) = default;
};

// Wire format, big-endian: version (1), purpose, hops and flags (1 byte each),
// generation and upstream (4 bytes each), replica domain, visited and searched
// tags (2 bytes each).
inline constexpr size_t kRelayHeaderSize =
    14 + 2 * kMaxRelayHops + 2 * kMaxSearchedDomains;

std::array<uint8_t, kRelayHeaderSize> Encode(const RelayHeader& header);

// Returns nothing if the datagram is too short, or its version or purpose is
// unknown.
std::optional<RelayHeader> DecodeRelayHeader(std::span<const uint8_t> datagram);

}  // namespace poplarsail::steering

#endif  // STEERING_RELAY_HEADER_H_
