#ifndef DISPATCH_RETRY_BUDGET_H_
#define DISPATCH_RETRY_BUDGET_H_

namespace poplarsail::dispatch {

// Bounds retries to a share of the requests, so that overload does not feed
// itself.
class RetryBudget {
 public:
  void NoteRequest();
  // Takes one retry from the budget; returns whether there was one.
  bool TryTake();
  double tokens() const { return m_tokens; }

 private:
  double m_tokens = 0;
};

}  // namespace poplarsail::dispatch

#endif  // DISPATCH_RETRY_BUDGET_H_
