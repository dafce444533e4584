#ifndef EMULATOR_PLACEMENT_POLICIES_H_
#define EMULATOR_PLACEMENT_POLICIES_H_

#include <string>
#include <vector>

#include "emulator/host_model.h"

namespace poplarsail::emulator {

// A policy for the placement of new flows.
struct PlacementPolicy {
  std::string name;
  PlacementFactory factory;
  SchedulingMode mode = SchedulingMode::kNone;
};

// Returns the daemon's placement policy and the alternatives that it is
// compared with.
std::vector<PlacementPolicy> AllPlacementPolicies();

// Returns the policies that are compared on the load set.
std::vector<PlacementPolicy> LoadPlacementPolicies();

}  // namespace poplarsail::emulator

#endif  // EMULATOR_PLACEMENT_POLICIES_H_
