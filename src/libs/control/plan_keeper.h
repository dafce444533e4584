#ifndef CONTROL_PLAN_KEEPER_H_
#define CONTROL_PLAN_KEEPER_H_

#include <string>
#include <vector>

#include "control/config_state.h"

namespace poplarsail::control {

// Chooses the entry host that computes the plans of a service (rendezvous
// hashing). Two planners at once do no harm: plans are written conditionally.
class PlannerAssignment {
 public:
  explicit PlannerAssignment(std::vector<std::string> live_hosts);

  // Returns an empty text without live hosts.
  const std::string& PlannerOf(const std::string& service) const;

 private:
  std::vector<std::string> m_live_hosts;
  std::vector<uint64_t> m_host_hashes;
};

// The Plan object that the configuration asks for, ready to be written with
// the version that it follows; nothing where the present one fits.
// `first_seed` is used for the first plan of a service.
std::optional<model::Object> NextPlanObject(const ConfigState& config,
                                            const model::Service& service,
                                            uint64_t first_seed,
                                            const steering::PlanTiming& timing);

}  // namespace poplarsail::control

#endif  // CONTROL_PLAN_KEEPER_H_
