#ifndef LOAD_REFUSAL_SHARE_H_
#define LOAD_REFUSAL_SHARE_H_

#include "cluster_state/records.h"

namespace poplarsail::load {

using cluster_state::SteadyTime;

// The share of recent requests that were refused, by an upstream or by all
// upstreams of a service.
class RefusalShare {
 public:
  void Add(bool is_refused, SteadyTime now);

  // The estimated share. `prior` is the share assumed without requests; it
  // counts like a few of them.
  double Estimate(double prior, SteadyTime now) const;

 private:
  double m_requests = 0;
  double m_refused = 0;
  // The time as of which the above holds.
  SteadyTime m_aged_at;
};

}  // namespace poplarsail::load

#endif  // LOAD_REFUSAL_SHARE_H_
