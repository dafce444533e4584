#ifndef ENTRY_SEND_RATE_LIMITER_H_
#define ENTRY_SEND_RATE_LIMITER_H_

#include <cstddef>

#include "cluster_state/records.h"

namespace poplarsail::entry {

// Limits the bytes sent per second, with bursts of up to one second's worth.
// Needed when all hosts of a large fleet start while the store is unreachable
// and each requests the full state.
class SendRateLimiter {
 public:
  explicit SendRateLimiter(double bytes_per_second)
      : m_bytes_per_second(bytes_per_second) {}

  // Returns whether `bytes` may be sent now and, if so, counts them as sent.
  // One message may exceed the limit, so that messages of any size get through.
  bool TryConsume(size_t bytes, cluster_state::SteadyTime now);

 private:
  double m_bytes_per_second;
  // Sending is allowed from this time on, given the bytes sent so far.
  cluster_state::SteadyTime m_available_at;
};

}  // namespace poplarsail::entry

#endif  // ENTRY_SEND_RATE_LIMITER_H_
