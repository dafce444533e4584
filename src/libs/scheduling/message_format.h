#ifndef SCHEDULING_MESSAGE_FORMAT_H_
#define SCHEDULING_MESSAGE_FORMAT_H_

#include <cstdint>

// Types and bounds that the encoder and the decoder share.
namespace poplarsail::scheduling {

enum class MessageType : uint8_t {
  kPlace = 1,
  kGrant = 2,
  kQueued = 3,
  kRefuse = 4,
  kComplete = 5,
  kSnapshot = 6,
  kAnnounce = 7,
  kForward = 8,
  kLearned = 9,
};

inline constexpr uint32_t kMaxNameBytes = 255;
inline constexpr uint32_t kMaxListElements = 400;
inline constexpr uint32_t kMaxDepth = 4;
inline constexpr uint32_t kMaxExcludedUpstreams = 32;
inline constexpr uint32_t kMaxParts = 1'024;
inline constexpr uint64_t kMaxDurationMs = 600'000;
inline constexpr uint64_t kMaxCount = 1'000'000;
inline constexpr uint64_t kMaxCapacityClass = 31;
// The end of the year 9999.
inline constexpr int64_t kMaxUnixMs = 253'402'300'799'999;
// The load model keeps speeds within these limits.
inline constexpr double kMinSpeed = 0.1;
inline constexpr double kMaxSpeed = 4;
inline constexpr double kMaxSamples = 1e9;
inline constexpr int64_t kMicrosecondsPerTick = 100;
inline constexpr uint64_t kMaxTicks = kMaxDurationMs * 10;

}  // namespace poplarsail::scheduling

#endif  // SCHEDULING_MESSAGE_FORMAT_H_
