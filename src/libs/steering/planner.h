#ifndef STEERING_PLANNER_H_
#define STEERING_PLANNER_H_

#include <optional>
#include <string>
#include <vector>

#include "steering/service_plan.h"

namespace poplarsail::steering {

// Desired state of one upstream, derived from the operators' resources. An
// upstream that is not listed is removed, and its flows are abandoned.
struct DesiredUpstream {
  std::string name;
  model::Endpoint address;
  std::string failure_domain;
  // Share of new flows relative to other upstreams; 0 drains the upstream.
  uint32_t weight = 1;

  friend bool operator==(const DesiredUpstream&,
                         const DesiredUpstream&) = default;
};

// Desired state of one service, derived from the operators' resources.
struct DesiredService {
  std::string service;
  model::Endpoint address;
  model::Protocol protocol = model::Protocol::kTcp;
  // Only used for the first plan of a service.
  uint64_t hash_seed = 0;
  std::vector<DesiredUpstream> upstreams;

  friend bool operator==(const DesiredService&,
                         const DesiredService&) = default;
};

// When the changes of a plan take effect.
struct PlanTiming {
  TimePoint now;
  // When new owners start to receive new flows.
  TimePoint active_from;
  // When removed upstreams stop receiving packets.
  TimePoint leaves_at;

  friend bool operator==(const PlanTiming&, const PlanTiming&) = default;
};

// Computes the plan that follows `previous` (null for the first one), moving as
// few buckets as the weights allow. Returns nothing if `previous` already meets
// the desired state. Equal arguments give equal plans.
//
// An upstream is removed in two steps, so that hosts that learn of the removal
// at different times agree on new flows: it is marked as leaving first, and
// dropped from the plan kUpstreamRemovalDelay after it left. This function has
// to be called again until then.
std::optional<ServicePlan> NextPlan(const ServicePlan* previous,
                                    const DesiredService& desired,
                                    const PlanTiming& timing);

}  // namespace poplarsail::steering

#endif  // STEERING_PLANNER_H_
