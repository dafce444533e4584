#ifndef FLOWS_LOCAL_FIRST_PLACEMENT_H_
#define FLOWS_LOCAL_FIRST_PLACEMENT_H_

#include <random>
#include <string>
#include <vector>

#include "flows/placement.h"

namespace poplarsail::flows {

// Entry hosts that share what a cold upstream bears, until their number is
// known: more than today's fleets have, so that the sum stays within bounds.
inline constexpr size_t kDefaultHostCount = 100;

// Load pattern: callers of a failure domain keep flows open for long, and the
// domain's own upstreams usually bear them, so the least loaded of these takes
// a new flow. When few are left there, flows spill over to other domains before
// the few are overrun.
class LocalFirstPlacement : public Placement {
 public:
  // `host_count` entry hosts share what cold upstreams bear.
  LocalFirstPlacement(std::string failure_domain, uint64_t seed);

  Upstream* Choose(const PlacementRequest& request) override;

  void set_host_count(size_t host_count) { m_host_count = host_count; }

 private:
  // Returns what choosing the upstream costs; less is better.
  double ComputeCost(const Upstream& upstream, SteadyTime now) const;
  bool IsEligible(const Upstream& upstream,
                  const PlacementRequest& request) const;
  bool TryReserveColdFlow(Upstream* upstream,
                          const Service& service,
                          SteadyTime now) const;
  // The usable upstreams, cheapest first, ties in random order.
  std::vector<Upstream*> RankUpstreams(const PlacementRequest& request);

  std::string m_failure_domain;
  std::mt19937_64 m_random;
  size_t m_host_count = kDefaultHostCount;
};

}  // namespace poplarsail::flows

#endif  // FLOWS_LOCAL_FIRST_PLACEMENT_H_
