#ifndef STEERING_STEERING_CONSTANTS_H_
#define STEERING_STEERING_CONSTANTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace poplarsail::steering {

inline constexpr uint8_t kProtocolTcp = 6;
inline constexpr uint8_t kProtocolUdp = 17;

// Buckets that a service has for each of its upstreams, at least.
inline constexpr uint32_t kBucketsPerUpstream = 32;
inline constexpr uint32_t kMinBuckets = 64;
inline constexpr uint32_t kMaxBuckets = 32'768;

// Moves for balance alone leave a bucket with this many links as it is.
inline constexpr size_t kMaxLinksForBalance = 6;

// Slots that the buckets of all services are hashed to for choosing keepers.
inline constexpr uint32_t kKeeperSlots = 4'096;
// Entry hosts in order of preference that are known for a slot.
inline constexpr size_t kKeeperCandidates = 4;
// The first of the candidates that hold each flow record.
inline constexpr size_t kKeeperCopies = 2;

// Within this time after a host became a member, others may not know it yet.
inline constexpr std::chrono::milliseconds kMembershipSettle{10'000};

// An upstream that left stays in the plan this long, so that hosts with the
// plan before agree with hosts with the plan after.
inline constexpr std::chrono::milliseconds kLeavingSettle{10'000};

// A packet that entry hosts passed on this often goes to the bucket's base.
inline constexpr uint8_t kMaxRelayHops = 8;
// Failure domains that a relayed packet can name as searched.
inline constexpr size_t kMaxSearchedDomains = 4;

// Callers repeat first packets up to this time after the one before.
inline constexpr std::chrono::milliseconds kFirstPacketRepeat{4'000};
// A record of a flow that showed only its first packet is kept this long.
inline constexpr std::chrono::milliseconds kHalfOpenTimeout{64'000};
// A record of a flow that was closed by its caller is kept this long after
// its last packet.
inline constexpr std::chrono::milliseconds kClosingTimeout{30'000};
// A record of a flow without marks (UDP) is kept this long after its last
// packet.
inline constexpr std::chrono::milliseconds kUnmarkedTimeout{300'000};
// After a bucket moved for balance, unrecorded packets without marks belong to
// the owner before for this long.
inline constexpr std::chrono::milliseconds kUnmarkedQuiet{120'000};
// A record of a flow without packets is kept this long.
inline constexpr std::chrono::milliseconds kIdleTimeout{8 * 3'600'000};

}  // namespace poplarsail::steering

#endif  // STEERING_STEERING_CONSTANTS_H_
