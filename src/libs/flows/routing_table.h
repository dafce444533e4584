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
#include "load/load.h"

namespace poplarsail::flows {

// An unresponsive upstream gets new flows again some half-lives after its last
// overdue request.
inline constexpr std::chrono::seconds kOverdueHalfLife{2};

// An upstream with what this host observed of it.
struct Upstream {
  cluster_state::UpstreamRecord record;
  uint64_t revision = 0;
  bool is_unregistered = false;
  bool is_evacuated = false;
  // Another upstream owns the same tag, so packets of new flows could not be
  // told apart.
  bool has_ambiguous_tag = false;
  uint32_t tag_base = 0;
  Liveness liveness;
  uint32_t open_flows = 0;
  // Open flows that are waiting for a response.
  uint32_t flows_awaiting_response = 0;
  // Flows that were reset when the upstream last failed a check.
  uint32_t lost_flows = 0;
  SteadyTime lost_at;
  // New flows that this host has placed here, decaying with
  // kPlacementDecayTime, as of `placements_at`. Other hosts place flows alike,
  // so this also estimates what they have placed.
  double recent_placements = 0;
  SteadyTime placements_at;
  bool has_start_load = false;
  // Moving average of the time to the first packet of a response.
  double response_ms = 0;
  // Requests that the upstream refused.
  load::RefusalShare refusals;
  // Requests of all hosts of this failure domain whose responses were overdue.
  load::DecayingCount overdue_requests{kOverdueHalfLife};
  // It has far more overdue requests than others of its service.
  bool is_unresponsive = false;
  SteadyTime check_started;
  // The last check was triggered by another host's failure report, so the peers
  // already know of the failure.
  bool is_check_peer_initiated = false;
  // Earliest time of the next check.
  SteadyTime next_check;
  // Earliest time of the next connection that shows whether it is alive.
  SteadyTime next_probe;
  // Earliest time of the next new flow during a cold start.
  SteadyTime next_cold_flow;

  bool IsCold(SteadyTime now) const { return now < record.cold_until; }
  // Lost flows that still count as load after the upstream recovered. Decreases
  // linearly to 0 within kRecoveryTime.
  double RemainingLostFlows(SteadyTime now) const;
  double RecentPlacements(SteadyTime now) const;
  void RecordPlacement(SteadyTime now) {
    recent_placements = RecentPlacements(now) + 1;
    placements_at = now;
  }
  bool AcceptsNewFlows() const {
    return AcceptsNewFlowsUnlessEvacuated() && !is_evacuated;
  }
  bool AcceptsNewFlowsUnlessEvacuated() const {
    return record.phase == cluster_state::UpstreamPhase::kServing &&
           !has_ambiguous_tag;
  }
};

struct Service {
  cluster_state::ServiceRecord record;
  std::vector<Upstream*> upstreams;
};

struct Listener {
  cluster_state::ListenerRecord record;
  uint64_t weight_sum = 0;
  // No listener that shares a service with this one has a lower priority.
  bool has_lowest_priority = true;
};

// Time constant of the decay of recent placements. A flow of one request ends
// before the hosts that placed it see another one at the same upstream.
inline constexpr std::chrono::seconds kPlacementDecayTime{2};
// Time until a recovered upstream gets its full share of new flows again.
// Longer than a flapping upstream stays up.
inline constexpr std::chrono::seconds kRecoveryTime{8};
// How long the tags of removed upstreams are remembered, so that packets of
// their flows are answered with a reset at once.
inline constexpr std::chrono::seconds kRemovedUpstreamRetention{60};

// How long removed listeners are remembered. Their flows end meanwhile.
inline constexpr std::chrono::seconds kRemovedListenerRetention{120};

// Finds listeners, services and upstreams. Updated from the cluster state;
// observations of an upstream survive changes of its record.
class RoutingTable {
 public:
  void Update(const cluster_state::ClusterState& cluster_state, SteadyTime now);

  const Listener* FindListener(const Ipv4Endpoint& endpoint) const;
  const Service* FindService(const std::string& name) const;
  Upstream* FindUpstream(uint64_t id);
  // Finds the upstream that the tag of a packet to `listener` identifies.
  Upstream* FindByTag(const Ipv4Endpoint& listener, uint32_t tag);
  // Whether the tag identifies an upstream that was removed within
  // kRemovedUpstreamRetention.
  bool IsRecentlyRemoved(const Ipv4Endpoint& listener, uint32_t tag) const;

  // Whether the configuration removed the listener within
  // kRemovedListenerRetention.
  bool IsRecentlyRemoved(const Ipv4Endpoint& listener) const {
    return m_recently_removed_listeners.contains(listener);
  }

  const std::unordered_map<uint64_t, std::unique_ptr<Upstream>>& upstreams()
      const {
    return m_upstreams;
  }
  const std::unordered_map<std::string, Service>& services() const {
    return m_services;
  }
  uint64_t generation() const { return m_generation; }

 private:
  void Rebuild(const cluster_state::ClusterState& cluster_state,
               SteadyTime now);
  void UpdateListeners(const cluster_state::Configuration& configuration,
                       SteadyTime now);
  void RankListeners();
  void UpdateUpstreams(const cluster_state::ClusterState& cluster_state,
                       SteadyTime now);
  void ApplyUpstreamChange(const cluster_state::ClusterState& cluster_state,
                           const cluster_state::UpstreamChange& change,
                           SteadyTime now);
  // Returns `upstream` with its current record. Observations are discarded if
  // its process has restarted.
  std::unique_ptr<Upstream> RefreshUpstream(
      std::unique_ptr<Upstream> upstream,
      const cluster_state::KnownUpstream& known,
      const cluster_state::ClusterState& cluster_state) const;
  // Starts an upstream with the mean load of the others of its service and
  // failure domain. Without load it would look best to all hosts at once.
  void SetStartLoad(Upstream* upstream, SteadyTime now);
  void RebuildIndex();
  void AddToIndex(Upstream* upstream);
  void RemoveFromIndex(Upstream* upstream);

  std::unordered_map<uint64_t, std::unique_ptr<Upstream>> m_upstreams;
  std::unordered_map<uint32_t, Upstream*> m_by_tag;
  std::unordered_map<uint32_t, SteadyTime> m_recently_removed;
  std::unordered_map<Ipv4Endpoint, Listener> m_listeners;
  std::unordered_map<Ipv4Endpoint, SteadyTime> m_recently_removed_listeners;
  std::unordered_map<std::string, Service> m_services;
  uint64_t m_generation = 0;
  // Some upstreams share a tag; which of them owns it depends on all of them.
  bool m_has_ambiguous_tags = false;
};

// Returns the part of a tag that identifies the upstream.
uint32_t TagBase(uint64_t upstream_id);

// Returns the tag of packets of `listener`'s flows to the upstream. It depends
// on the listener, so that the tag of another listener's flow identifies no
// upstream.
uint32_t MakeTag(const Ipv4Endpoint& listener, uint32_t tag_base);

}  // namespace poplarsail::flows

#endif  // FLOWS_ROUTING_TABLE_H_
