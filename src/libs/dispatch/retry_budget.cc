#include "dispatch/retry_budget.h"

#include <algorithm>

#include "dispatch/dispatch_constants.h"

namespace poplarsail::dispatch {

void RetryBudget::RecordRequest() {
  m_tokens = std::min(kMaxRetryTokens, m_tokens + kRetryTokensPerRequest);
}

bool RetryBudget::TryConsumeToken() {
  if (m_tokens < 1) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

}  // namespace poplarsail::dispatch
