#ifndef FLOWS_LOCAL_FIRST_PLACEMENT_H_
#define FLOWS_LOCAL_FIRST_PLACEMENT_H_

#include <random>
#include <string>
#include <vector>

#include "flows/placement.h"

namespace poplarsail::flows {

// Assumed number of entry hosts that share a cold upstream's rate of new flows,
// until their number is known. Larger than existing fleets, so that the sum of
// their flows stays within the limit.
inline constexpr size_t kDefaultHostCount = 100;

// Prefers the least loaded upstream of the host's own failure domain, whose
// upstreams can usually carry the long-lived flows of its clients. If only few
// are left, flows spill over to other domains before these are overloaded.
class LocalFirstPlacement : public Placement {
 public:
  LocalFirstPlacement(std::string failure_domain, uint64_t seed);

  Upstream* Choose(const PlacementRequest& request) override;

  // The number of entry hosts that share the rate of new flows to cold
  // upstreams.
  void set_host_count(size_t host_count) { m_host_count = host_count; }

 private:
  // Returns the cost of choosing the upstream; lower is better.
  double ComputeCost(const Upstream& upstream, SteadyTime now) const;
  bool IsEligible(const Upstream& upstream,
                  const PlacementRequest& request) const;
  // Returns whether the upstream may take a new flow now. If it is cold, this
  // uses up the host's share of its rate.
  bool TryReserveColdFlow(Upstream* upstream,
                          const Service& service,
                          SteadyTime now) const;
  // Returns the eligible upstreams by increasing cost, with random noise.
  std::vector<Upstream*> RankUpstreams(const PlacementRequest& request);

  std::string m_failure_domain;
  std::mt19937_64 m_random;
  size_t m_host_count = kDefaultHostCount;
};

}  // namespace poplarsail::flows

#endif  // FLOWS_LOCAL_FIRST_PLACEMENT_H_
