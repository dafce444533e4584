#include "load/refusal_share.h"

#include <chrono>

#include "load/sample_weight.h"

namespace poplarsail::load {

namespace {

// In a large fleet a host sends an upstream a few requests per second.
constexpr std::chrono::duration<double> kHalfLife{0.5};
// Weight of the requests that count as not refused, so that a single refusal is
// no large share.
constexpr double kPriorRequests = 1;
constexpr double kMinRequests = 0.5;

}  // namespace

void RefusalShare::Add(bool is_refused, SteadyTime now) {
  const double left = Decay(m_aged_at, now, kHalfLife);
  m_requests = m_requests * left + 1;
  m_refused = m_refused * left + (is_refused ? 1 : 0);
  m_aged_at = now;
}

bool RefusalShare::HasRecentRequests(SteadyTime now) const {
  return m_requests * Decay(m_aged_at, now, kHalfLife) >= kMinRequests;
}

double RefusalShare::Estimate(SteadyTime now) const {
  const double left = Decay(m_aged_at, now, kHalfLife);
  return m_refused * left / (m_requests * left + kPriorRequests);
}

}  // namespace poplarsail::load
