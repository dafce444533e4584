#ifndef STEERING_STEERING_CONSTANTS_H_
#define STEERING_STEERING_CONSTANTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace poplarsail::steering {

inline constexpr uint8_t kProtocolTcp = 6;
inline constexpr uint8_t kProtocolUdp = 17;

// Minimum number of buckets per upstream of a service.
inline constexpr uint32_t kBucketsPerUpstream = 32;
inline constexpr uint32_t kMinBuckets = 64;
inline constexpr uint32_t kMaxBuckets = 32'768;

// A bucket with this many owner changes is not moved for load balance alone.
inline constexpr size_t kMaxOwnerChangesForRebalance = 6;

// The buckets of all services are hashed to this many slots. Replica hosts for
// flow records are chosen per slot.
inline constexpr uint32_t kReplicaSlots = 4'096;
// Number of candidate hosts per slot, in order of preference.
inline constexpr size_t kReplicaCandidates = 4;
// Replication factor of flow records: the first candidates of a slot hold them.
inline constexpr size_t kReplicaCount = 2;

// Upper bound on the time until all hosts know of a new member.
inline constexpr std::chrono::milliseconds kMembershipPropagationTime{10'000};

// An upstream stays in the plan for this long after it left, so that hosts that
// still use the previous plan agree with hosts that use the new one.
inline constexpr std::chrono::milliseconds kUpstreamRemovalDelay{10'000};

// A packet that was relayed this often is not relayed again. Without a record
// it goes to the bucket's owner of unrecorded flows.
inline constexpr uint8_t kMaxRelayHops = 8;
// Number of failure domains that a relay header can list as searched.
inline constexpr size_t kMaxSearchedDomains = 4;

// Longest interval after which a client retransmits a first packet.
inline constexpr std::chrono::milliseconds kFirstPacketRetransmitInterval{
    4'000};
// Lifetime of the record of a flow of which only the first packet was seen.
inline constexpr std::chrono::milliseconds kHalfOpenTimeout{64'000};
// Lifetime of the record of a flow that its client closed, counted from the
// flow's last packet.
inline constexpr std::chrono::milliseconds kClosingTimeout{30'000};
// Lifetime of the record of a connectionless flow (UDP), counted from its last
// packet.
inline constexpr std::chrono::milliseconds kConnectionlessTimeout{300'000};
// After a bucket was moved for load balance, unrecorded connectionless packets
// still go to the previous owner for this long.
inline constexpr std::chrono::milliseconds kConnectionlessQuietPeriod{120'000};
// Lifetime of the record of an open flow without packets.
inline constexpr std::chrono::milliseconds kIdleTimeout{8 * 3'600'000};

}  // namespace poplarsail::steering

#endif  // STEERING_STEERING_CONSTANTS_H_
