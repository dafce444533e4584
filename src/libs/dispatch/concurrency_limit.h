#ifndef DISPATCH_CONCURRENCY_LIMIT_H_
#define DISPATCH_CONCURRENCY_LIMIT_H_

#include <cstdint>

#include "model/model.h"

namespace poplarsail::dispatch {

using model::TimePoint;

// Limits the requests that this host runs on one upstream at the same time.
// Other hosts use the same slots without coordination, so the limit is adapted
// (additive increase, multiplicative decrease): it rises with each answered
// request and falls when an attempt fails.
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(uint32_t slots);

  bool HasCapacity(uint32_t running, TimePoint now) const;
  void RecordSuccess();
  void RecordFailure(TimePoint now);
  // Returns to the minimum limit, for an upstream that lost its warm state.
  void Reset();
  double limit() const { return m_limit; }

 private:
  double m_max;
  double m_limit;
  TimePoint m_paused_until{};
};

}  // namespace poplarsail::dispatch

#endif  // DISPATCH_CONCURRENCY_LIMIT_H_
