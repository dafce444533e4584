#ifndef EMULATOR_FLOW_SCHEDULING_H_
#define EMULATOR_FLOW_SCHEDULING_H_

#include <functional>

#include "emulator/event_queue.h"

namespace poplarsail::emulator {

// Who chooses the upstreams of new flows.
enum class SchedulingMode : uint8_t {
  // The placement policy of each host.
  kNone,
  // The scheduler of the service in each failure domain.
  kScheduled,
  // One that knows the work of each request and the state of all upstreams.
  kOracle,
};

// Chooses the upstreams of new flows at one host, in place of its placement
// policy.
class FlowScheduling {
 public:
  struct Callbacks {
    std::function<void(const flows::FlowPacket&, uint64_t upstream_id)> forward;
    std::function<void(const flows::FlowPacket&)> reset;
    // Places the flow by the policy of the host. Returns the upstream, or 0 if
    // there is none.
    std::function<uint64_t(const flows::FlowPacket&)> place_locally;
    // Whether this host may send new flows to the upstream.
    std::function<bool(uint64_t upstream_id)> is_usable;
  };

  virtual ~FlowScheduling() = default;

  virtual void OnSyn(const flows::FlowPacket& packet) = 0;
  // Any other packet of a flow.
  virtual void OnPacket(const flows::FlowPacket& packet) = 0;
  virtual void Update(const cluster_state::ClusterState& cluster_state) = 0;
};

}  // namespace poplarsail::emulator

#endif  // EMULATOR_FLOW_SCHEDULING_H_
