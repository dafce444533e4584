#include "entry/send_budget.h"

#include <algorithm>
#include <chrono>

namespace poplarsail::entry {

bool SendBudget::Take(size_t bytes, cluster_state::SteadyTime now) {
  const auto earliest = now - std::chrono::seconds(1);
  m_paid_at = std::max(m_paid_at, earliest);
  if (m_paid_at > now) {
    return false;
  }
  m_paid_at += std::chrono::microseconds(static_cast<int64_t>(
      1e6 * static_cast<double>(bytes) / m_bytes_per_second));
  return true;
}

}  // namespace poplarsail::entry
