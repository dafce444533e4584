#ifndef FLOWS_FLOW_SCHEDULER_H_
#define FLOWS_FLOW_SCHEDULER_H_

#include <cstdint>
#include <string>

#include "scheduling/types.h"

namespace poplarsail::flows {

// Places the flows of some services for several hosts together. It is told of
// all flows of these services, and learns from all flows how many requests they
// carry.
class FlowScheduler {
 public:
  virtual ~FlowScheduler() = default;

  // Whether new flows of the service are placed by the scheduler.
  virtual bool IsScheduled(const std::string& service) const = 0;
  // Asks for the placement of a flow and returns its token, which is never 0.
  virtual uint32_t Request(const std::string& service,
                           scheduling::PlacementRequest request) = 0;
  // Returns a token for a flow that is placed without a request.
  virtual uint32_t NewToken() = 0;
  virtual void OnPlaced(const std::string& service,
                        uint32_t token,
                        uint64_t upstream_id) = 0;
  // The flow no longer occupies its upstream.
  virtual void OnCompleted(const scheduling::Completion& completion) = 0;

  // A flow whose start was seen has ended after `request_count` requests.
  virtual void OnFlowEnded(const model::Ipv4Endpoint& listener,
                           uint32_t request_count) = 0;
  // An open flow has sent its second request.
  virtual void OnFlowReused(const model::Ipv4Endpoint& listener) = 0;
};

}  // namespace poplarsail::flows

#endif  // FLOWS_FLOW_SCHEDULER_H_
