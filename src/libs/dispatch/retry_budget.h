#ifndef DISPATCH_RETRY_BUDGET_H_
#define DISPATCH_RETRY_BUDGET_H_

namespace poplarsail::dispatch {

// Token bucket that limits retries to a fraction of the requests, so that
// retries do not amplify an overload.
class RetryBudget {
 public:
  void RecordRequest();
  // Spends the token for one retry. Returns false if there is none.
  bool TryConsumeToken();
  double tokens() const { return m_tokens; }

 private:
  double m_tokens = 0;
};

}  // namespace poplarsail::dispatch

#endif  // DISPATCH_RETRY_BUDGET_H_
