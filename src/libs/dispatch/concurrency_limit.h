#ifndef DISPATCH_CONCURRENCY_LIMIT_H_
#define DISPATCH_CONCURRENCY_LIMIT_H_

#include <cstdint>

#include "model/model.h"

namespace poplarsail::dispatch {

using model::TimePoint;

// How many requests this host runs on one upstream at the same time. Other
// hosts use the same slots unseen, so the limit grows by success and falls
// when the upstream sheds (additive increase, multiplicative decrease).
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(uint32_t slots);

  bool HasRoom(uint32_t running, TimePoint now) const;
  void NoteSuccess();
  void NoteShed(TimePoint now);
  // The upstream turned cold: starts over at the least.
  void Reset();
  double limit() const { return m_limit; }

 private:
  double m_most;
  double m_limit;
  TimePoint m_paused_until{};
};

}  // namespace poplarsail::dispatch

#endif  // DISPATCH_CONCURRENCY_LIMIT_H_
