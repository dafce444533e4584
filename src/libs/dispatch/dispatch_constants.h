#ifndef DISPATCH_DISPATCH_CONSTANTS_H_
#define DISPATCH_DISPATCH_CONSTANTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace poplarsail::dispatch {

// Requests of one service that wait for a slot, at most.
inline constexpr size_t kMaxQueueLength = 256;
// A request is tried on this many upstreams, at most.
inline constexpr uint32_t kMaxAttempts = 3;
// Tokens that each request adds to its service's retry budget.
inline constexpr double kRetryTokensPerRequest = 0.2;
inline constexpr double kMaxRetryTokens = 10.0;
// A caller that was refused is asked to wait this long.
inline constexpr std::chrono::milliseconds kRetryAfter{1'000};
// The limit never falls below this, so that recovery is noticed.
inline constexpr double kMinConcurrency = 1.0;
// Factor on the limit when an upstream sheds a request.
inline constexpr double kShedDecrease = 0.7;
// An upstream that shed is left alone for this long.
inline constexpr std::chrono::milliseconds kShedPause{20};

}  // namespace poplarsail::dispatch

#endif  // DISPATCH_DISPATCH_CONSTANTS_H_
