#ifndef CONTROL_PLANNER_ASSIGNMENT_H_
#define CONTROL_PLANNER_ASSIGNMENT_H_

#include <string>
#include <vector>

#include "control/config_state.h"

namespace poplarsail::control {

// Assigns to each service the entry host that computes its plans, by rendezvous
// hashing. Two concurrent planners do no harm, since plans are written
// conditionally.
class PlannerAssignment {
 public:
  explicit PlannerAssignment(std::vector<std::string> live_hosts);

  // Returns an empty name if there are no live hosts.
  const std::string& PlannerOf(const std::string& service) const;

 private:
  std::vector<std::string> m_live_hosts;
  std::vector<uint64_t> m_host_hashes;
};

// Returns the Plan object to write for a service, with the resource version of
// the stored object for a conditional write. Returns nothing if the current
// plan already meets the desired state. `first_seed` becomes the hash seed of
// the first plan of a service.
std::optional<model::Object> NextPlanObject(const ConfigState& config,
                                            const model::Service& service,
                                            uint64_t first_seed,
                                            const steering::PlanTiming& timing);

}  // namespace poplarsail::control

#endif  // CONTROL_PLANNER_ASSIGNMENT_H_
