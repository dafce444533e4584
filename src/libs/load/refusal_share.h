#ifndef LOAD_REFUSAL_SHARE_H_
#define LOAD_REFUSAL_SHARE_H_

#include "cluster_state/records.h"

namespace poplarsail::load {

using cluster_state::SteadyTime;

// The share of an upstream's recent requests that it refused.
class RefusalShare {
 public:
  void Add(bool is_refused, SteadyTime now);

  // Whether there were enough requests for an estimate.
  bool HasRecentRequests(SteadyTime now) const;
  double Estimate(SteadyTime now) const;

 private:
  double m_requests = 0;
  double m_refused = 0;
  // The time as of which the above holds.
  SteadyTime m_aged_at;
};

}  // namespace poplarsail::load

#endif  // LOAD_REFUSAL_SHARE_H_
