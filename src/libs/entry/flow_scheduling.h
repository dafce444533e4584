#ifndef ENTRY_FLOW_SCHEDULING_H_
#define ENTRY_FLOW_SCHEDULING_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cluster_state/cluster_state.h"
#include "entry/cluster_state_codec.h"
#include "entry/peer_socket.h"
#include "entry/scheduling_figures.h"
#include "flows/flows.h"
#include "scheduling/scheduling.h"

namespace poplarsail::entry {

// Connects the placement of this host's flows with the schedulers: sends and
// receives their messages, and runs the schedulers of the services for which
// this host is one.
class FlowScheduling : public flows::FlowScheduler {
 public:
  enum class PlaceResult : uint8_t {
    kPlaced,
    // The upstream is unknown here or may not take new flows.
    kUnusableUpstream,
    // The flow is no longer held: its client has opened another one.
    kUnknownFlow,
  };

  // Executes what schedulers decide about held flows. It is called from the
  // event loop, never from within a call of this class.
  class Delegate {
   public:
    virtual ~Delegate() = default;

    virtual PlaceResult PlaceFlow(uint32_t token, uint64_t upstream_id) = 0;
    virtual void PlaceFlowLocally(uint32_t token) = 0;
    virtual void RefuseFlow(uint32_t token,
                            scheduling::RefusalReason reason) = 0;
  };

  struct Options {
    scheduling::Candidate own;
    std::string failure_domain;
    bool is_enabled = true;
  };

  // `socket` and `delegate` outlive this object.
  FlowScheduling(boost::asio::io_context* context,
                 PeerSocket* socket,
                 Delegate* delegate,
                 Options options);
  ~FlowScheduling() override;

  // Call after each change of the cluster state.
  void Update(const cluster_state::ClusterState& cluster_state);
  void SetLocalCandidates(const std::vector<scheduling::Candidate>& candidates);
  // A few hosts in each other failure domain, which pass announcements on to
  // their own scheduler.
  void SetRemotePeers(const std::vector<model::Ipv4Endpoint>& peers);

  // flows::FlowScheduler. A service is scheduled if its listeners state their
  // terms, its upstreams their slots, and its flows carry one request each.
  bool IsScheduled(const std::string& service) const override;
  uint32_t Request(const std::string& service,
                   scheduling::PlacementRequest request) override;
  uint32_t NewToken() override;
  void OnPlaced(const std::string& service,
                uint32_t token,
                uint64_t upstream_id) override;
  void OnCompleted(const scheduling::Completion& completion) override;
  void OnFlowEnded(const model::Ipv4Endpoint& listener,
                   uint32_t request_count) override;
  void OnFlowReused(const model::Ipv4Endpoint& listener) override;

  SchedulingFigures figures() const;

 private:
  struct State;
  // Shared with the handlers of timers, which may outlive this object.
  std::shared_ptr<State> m_state;
};

// Floor of the binary logarithm; 0 if unknown.
uint32_t CapacityClass(uint32_t cpu_thousandths);
// The hosts of the own failure domain.
std::vector<scheduling::Candidate> MakeCandidates(const FleetView& fleet);

}  // namespace poplarsail::entry

#endif  // ENTRY_FLOW_SCHEDULING_H_
