#include "dispatch/concurrency_limit.h"

#include <algorithm>

#include "dispatch/dispatch_constants.h"

namespace poplarsail::dispatch {

ConcurrencyLimit::ConcurrencyLimit(uint32_t slots)
    : m_max(std::max(kMinConcurrency, static_cast<double>(slots))),
      m_limit(kMinConcurrency) {}

bool ConcurrencyLimit::HasCapacity(uint32_t running, TimePoint now) const {
  return now >= m_paused_until && running + 1 <= m_limit;
}

void ConcurrencyLimit::RecordSuccess() {
  m_limit = std::min(m_max, m_limit + 1 / m_limit);
}

void ConcurrencyLimit::RecordFailure(TimePoint now) {
  m_limit = std::max(kMinConcurrency, m_limit * kFailureDecreaseFactor);
  m_paused_until = now + kFailurePause;
}

void ConcurrencyLimit::Reset() {
  m_limit = kMinConcurrency;
}

}  // namespace poplarsail::dispatch
