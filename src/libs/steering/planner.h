#ifndef STEERING_PLANNER_H_
#define STEERING_PLANNER_H_

#include <optional>
#include <string>
#include <vector>

#include "steering/service_plan.h"

namespace poplarsail::steering {

// What the operators' resources ask of one upstream. An upstream that is not
// listed is gone, and its flows are given up.
struct UpstreamGoal {
  std::string name;
  model::Endpoint address;
  std::string failure_domain;
  // Share of new flows in proportion to others; 0 drains the upstream.
  uint32_t weight = 1;

  friend bool operator==(const UpstreamGoal&, const UpstreamGoal&) = default;
};

// What the operators' resources ask of one service.
struct DesiredService {
  std::string service;
  model::Endpoint address;
  model::Protocol protocol = model::Protocol::kTcp;
  // Used for the first plan of a service only.
  uint64_t hash_seed = 0;
  std::vector<UpstreamGoal> upstreams;

  friend bool operator==(const DesiredService&, const DesiredService&) = default;
};

// When the changes of a plan take effect.
struct PlanTiming {
  TimePoint now;
  // New owners take new flows from then on.
  TimePoint active_from;
  // Upstreams that are gone get their last packets then.
  TimePoint leaves_at;

  friend bool operator==(const PlanTiming&, const PlanTiming&) = default;
};

// Computes the plan that follows `previous` (null for the first one), with as
// few buckets moved as the weights allow. Returns nothing where the goal is
// already met. An upstream that is gone leaves the chains in two steps, so that
// hosts which learn of it at different times agree on new flows: at first it is
// marked as leaving, kLeavingSettle after it left it is removed; call again
// until then. Equal arguments give equal plans.
std::optional<ServicePlan> NextPlan(const ServicePlan* previous,
                                    const DesiredService& goal,
                                    const PlanTiming& timing);

}  // namespace poplarsail::steering

#endif  // STEERING_PLANNER_H_
