#include "load/refusal_share.h"

#include <chrono>

#include "load/sample_weight.h"

namespace poplarsail::load {

namespace {

// A full queue empties within some 100 ms; older requests say little about the
// present one.
constexpr std::chrono::duration<double> kHalfLife{0.25};
// Number of requests that the prior counts for.
constexpr double kPriorRequests = 4;

}  // namespace

void RefusalShare::Add(bool is_refused, SteadyTime now) {
  const double left = Decay(m_aged_at, now, kHalfLife);
  m_requests = m_requests * left + 1;
  m_refused = m_refused * left + (is_refused ? 1 : 0);
  m_aged_at = now;
}

double RefusalShare::Estimate(double prior, SteadyTime now) const {
  const double left = Decay(m_aged_at, now, kHalfLife);
  return (m_refused * left + kPriorRequests * prior) /
         (m_requests * left + kPriorRequests);
}

}  // namespace poplarsail::load
