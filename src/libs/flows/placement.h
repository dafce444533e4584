#ifndef FLOWS_PLACEMENT_H_
#define FLOWS_PLACEMENT_H_

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "flows/routing_table.h"

namespace poplarsail::flows {

// A new flow that needs an upstream.
struct PlacementRequest {
  const Listener* listener = nullptr;
  const Service* service = nullptr;
  // Upstreams that did not respond to a packet of this flow.
  std::vector<uint64_t> excluded_upstream_ids;
  SteadyTime now;
  // The store is unreachable, so evacuations may have ended.
  bool is_store_unreachable = false;
};

// Chooses the upstream of a new flow.
class Placement {
 public:
  virtual ~Placement() = default;

  // Returns nullptr if no upstream may take the flow.
  virtual Upstream* Choose(const PlacementRequest& request) = 0;
};

}  // namespace poplarsail::flows

#endif  // FLOWS_PLACEMENT_H_
