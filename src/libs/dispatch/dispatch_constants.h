#ifndef DISPATCH_DISPATCH_CONSTANTS_H_
#define DISPATCH_DISPATCH_CONSTANTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace poplarsail::dispatch {

// Maximum number of requests of one service that wait for a slot.
inline constexpr size_t kMaxQueueLength = 256;
// Maximum number of attempts for one request, the first one included.
inline constexpr uint32_t kMaxAttempts = 3;
// Tokens that each request adds to its service's retry budget.
inline constexpr double kRetryTokensPerRequest = 0.2;
inline constexpr double kMaxRetryTokens = 10.0;
// Sent to a refused client in the retry-after header.
inline constexpr std::chrono::milliseconds kRetryAfter{1'000};
// Lower bound of the concurrency limit. At least one request can always run, so
// that the recovery of an upstream is noticed.
inline constexpr double kMinConcurrency = 1.0;
// The concurrency limit is multiplied by this when an attempt fails.
inline constexpr double kFailureDecreaseFactor = 0.7;
// An upstream gets no new requests for this long after a failed attempt.
inline constexpr std::chrono::milliseconds kFailurePause{20};

}  // namespace poplarsail::dispatch

#endif  // DISPATCH_DISPATCH_CONSTANTS_H_
