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
  // The receiver decides, or passes the packet on.
  kResolve = 1,
  // The receiver records the flow's upstream, then forwards the packet to it.
  kRecord = 2,
};

// A short name of an entry host: a hash of its name, never 0. Two hosts may
// share one; then one of them is not asked.
using HostTag = uint16_t;
// The same for a failure domain.
using DomainTag = uint16_t;

// Stands before an IP packet that one entry host passes to another.
struct RelayHeader {
  RelayPurpose purpose = RelayPurpose::kResolve;
  // How often the packet was passed on.
  uint8_t hops = 0;
  // The flow's phase (kRecord).
  FlowPhase phase = FlowPhase::kOpening;
  // The sender holds the other copy of the record (kRecord).
  bool sender_keeps_copy = false;
  // The generation of the sender's plan.
  uint32_t generation = 0;
  // The flow's upstream (kRecord).
  UpstreamId upstream = kNoUpstream;
  // The failure domain whose keepers hold the record (kRecord).
  DomainTag keeper_domain = 0;
  // Tags of the hosts that the packet passed; none is asked twice.
  std::array<HostTag, kMaxRelayHops> visited{};
  // Tags of failure domains whose keepers certainly have no record.
  std::array<DomainTag, kMaxSearchedDomains> searched{};

  friend bool operator==(const RelayHeader&, const RelayHeader&) = default;
};

// Wire form, big-endian: version 1, purpose, hops, flags, generation (4
// bytes), upstream (4 bytes), keeper domain, visited and searched (2 bytes
// each).
inline constexpr size_t kRelayHeaderSize =
    14 + 2 * kMaxRelayHops + 2 * kMaxSearchedDomains;

std::array<uint8_t, kRelayHeaderSize> Encode(const RelayHeader& header);

// Returns nothing for a short datagram, an unknown version or purpose.
std::optional<RelayHeader> DecodeRelayHeader(std::span<const uint8_t> datagram);

}  // namespace poplarsail::steering

#endif  // STEERING_RELAY_HEADER_H_
