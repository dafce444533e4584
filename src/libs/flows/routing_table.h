#ifndef FLOWS_ROUTING_TABLE_H_
#define FLOWS_ROUTING_TABLE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "cluster_state/cluster_state.h"
#include "flows/flow_packet.h"
#include "flows/liveness.h"

namespace poplarsail::flows {

// An upstream with what this host observed of it.
struct Upstream {
  cluster_state::UpstreamRecord record;
  uint64_t revision = 0;
  bool is_unregistered = false;
  bool is_evacuated = false;
  // Another upstream has the same tag: new flows would be mixed up.
  bool has_ambiguous_tag = false;
  uint32_t tag_base = 0;
  Liveness liveness;
  uint32_t open_flows = 0;
  // Of these, the ones that wait for an answer.
  uint32_t flows_awaiting_response = 0;
  // Flows that it lost when it last failed a check.
  uint32_t lost_flows = 0;
  SteadyTime lost_at;
  // Moving average of the time to the first packet of an answer.
  double response_ms = 0;
  SteadyTime check_started;
  // That check follows another host's finding, who told it already.
  bool is_check_hinted = false;
  // Not to be checked again before.
  SteadyTime next_check;
  // When the next new flow may be sent to it while it is cold.
  SteadyTime next_cold_flow;

  bool IsCold(SteadyTime now) const { return now < record.cold_until; }
  // What is left of the lost flows, as a burden on an upstream that returns.
  double LostFlows(SteadyTime now) const;
  // Whether new flows may go to it at all.
  bool AcceptsNewFlows() const {
    return record.phase == cluster_state::UpstreamPhase::kServing && !is_evacuated &&
           !has_ambiguous_tag;
  }
};

struct Service {
  cluster_state::ServiceRecord record;
  std::vector<Upstream*> upstreams;
};

struct Listener {
  cluster_state::ListenerRecord record;
  uint32_t weight_sum = 0;
};

// An upstream that returns gets its full share again after this time: longer
// than one that fails by turns stays up.
inline constexpr std::chrono::seconds kReturnTime{8};
// Upstreams that left are remembered this long, so that packets of their flows
// are answered by a reset at once.
inline constexpr std::chrono::seconds kDepartedMemory{60};

// Looks up listeners, services and tags. Follows the changes of a belief; what
// was observed of an upstream stays.
class RoutingTable {
 public:
  void Update(const cluster_state::ClusterState& cluster_state, SteadyTime now);

  const Listener* FindListener(const Ipv4Endpoint& endpoint) const;
  const Service* FindService(const std::string& name) const;
  Upstream* FindUpstream(uint64_t id);
  // The upstream that the tag of a packet to `listener` names.
  Upstream* FindByTag(const Ipv4Endpoint& listener, uint32_t tag);
  // Whether the tag names an upstream that left not long ago.
  bool IsDeparted(const Ipv4Endpoint& listener, uint32_t tag) const;

  const std::unordered_map<uint64_t, std::unique_ptr<Upstream>>& upstreams()
      const {
    return m_upstreams;
  }
  uint64_t generation() const { return m_generation; }

 private:
  void Rebuild(const cluster_state::ClusterState& cluster_state, SteadyTime now);
  void UpdateListeners(const cluster_state::Configuration& configuration);
  void UpdateUpstreams(const cluster_state::ClusterState& cluster_state, SteadyTime now);
  void Follow(const cluster_state::ClusterState& cluster_state,
              const cluster_state::UpstreamChange& change,
              SteadyTime now);
  // Returns what is known of the upstream's process, made where it is new.
  std::unique_ptr<Upstream> Refreshed(std::unique_ptr<Upstream> upstream,
                                      const cluster_state::KnownUpstream& known,
                                      const cluster_state::ClusterState& cluster_state) const;
  void IndexUpstreams();
  void Index(Upstream* upstream);
  void Unindex(Upstream* upstream);

  std::unordered_map<uint64_t, std::unique_ptr<Upstream>> m_upstreams;
  std::unordered_map<uint32_t, Upstream*> m_by_tag;
  std::unordered_map<uint32_t, SteadyTime> m_departed;
  std::unordered_map<Ipv4Endpoint, Listener> m_listeners;
  std::unordered_map<std::string, Service> m_services;
  uint64_t m_generation = 0;
  // Some upstreams have one tag: who holds it depends on all of them.
  bool m_has_ambiguous_tags = false;
};

// The part of a tag that names the upstream; never 0.
uint32_t TagBase(uint64_t upstream_id);

// The tag that packets of `listener`'s flows to the upstream carry. It differs
// by listener, so that a packet with the tag of another listener's flow names
// no upstream.
uint32_t MakeTag(const Ipv4Endpoint& listener, uint32_t tag_base);

}  // namespace poplarsail::flows

#endif  // FLOWS_ROUTING_TABLE_H_
