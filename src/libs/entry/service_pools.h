#ifndef ENTRY_SERVICE_POOLS_H_
#define ENTRY_SERVICE_POOLS_H_

#include <string>
#include <unordered_map>

#include "cluster_state/cluster_state.h"
#include "scheduling/scheduling.h"

namespace poplarsail::entry {

// The pools of the services whose listeners and upstreams state what
// scheduling needs.
class ServicePools {
 public:
  explicit ServicePools(std::string failure_domain);

  void Update(const cluster_state::ClusterState& cluster_state);

  // Returns nullptr if the service can't be scheduled: a listener lacks its
  // priority or latency target, a serving upstream its slots, or no upstream of
  // this failure domain takes new flows.
  const scheduling::Pool* Find(const std::string& service) const;
  // Whether the flows of each listener carry single requests. Listeners without
  // enough flows are ignored if another one is decided.
  bool HasSingleRequests(
      const std::string& service,
      const scheduling::SingleRequestDetector& detector) const;

 private:
  std::string m_failure_domain;
  std::unordered_map<std::string, scheduling::Pool> m_pools;
};

}  // namespace poplarsail::entry

#endif  // ENTRY_SERVICE_POOLS_H_
