#include "dispatch/retry_budget.h"

#include <algorithm>

#include "dispatch/dispatch_constants.h"

namespace poplarsail::dispatch {

void RetryBudget::NoteRequest() {
  m_tokens = std::min(kMaxRetryTokens, m_tokens + kRetryTokensPerRequest);
}

bool RetryBudget::TryTake() {
  if (m_tokens < 1) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

}  // namespace poplarsail::dispatch
