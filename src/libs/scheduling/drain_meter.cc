#include "scheduling/drain_meter.h"

#include <algorithm>
#include <cmath>

namespace poplarsail::scheduling {
namespace {

constexpr double kDecayMs = 2'000;
// The estimate counts as much as the observations of this time.
constexpr double kPriorMs = 100;
// Ticks further apart than this show a pause of the scheduler itself.
constexpr double kMaxIntervalMs = 250;
constexpr double kMinFactor = 0.3;
constexpr double kMaxFactor = 3;

}  // namespace

void DrainMeter::Tick(bool is_saturated, double work_rate, SteadyTime now) {
  const double elapsed_ms =
      std::chrono::duration<double, std::milli>(now - m_last_tick).count();
  const double decay = std::exp(-elapsed_ms / kDecayMs);
  m_done_ms *= decay;
  m_possible_ms *= decay;
  const bool was_paused = elapsed_ms > kMaxIntervalMs;
  if (is_saturated && m_was_saturated && !was_paused) {
    m_done_ms += m_completed_ms;
    m_possible_ms += work_rate * elapsed_ms;
  }
  m_completed_ms = 0;
  m_was_saturated = is_saturated;
  m_work_rate = work_rate;
  m_last_tick = now;
}

double DrainMeter::factor() const {
  const double prior_ms = m_work_rate * kPriorMs;
  if (prior_ms <= 0) {
    return 1;
  }
  return std::clamp((m_done_ms + prior_ms) / (m_possible_ms + prior_ms),
                    kMinFactor, kMaxFactor);
}

}  // namespace poplarsail::scheduling
