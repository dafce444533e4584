#ifndef SCHEDULING_FLOW_REPORTS_H_
#define SCHEDULING_FLOW_REPORTS_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "scheduling/placement_client.h"

namespace poplarsail::scheduling {

// Keeps the flows that occupy upstreams and reports their ends and snapshots to
// the schedulers.
class FlowReports {
 public:
  // Returns the scheduler in use for a service.
  using SchedulerLookup =
      std::function<std::optional<Ipv4Endpoint>(const std::string& service)>;

  // A request that `scheduler` may have granted was decided. The next snapshot
  // frees the place if the grant was lost.
  void OnAsked(const std::string& service,
               const Ipv4Endpoint& scheduler,
               SteadyTime now);
  void OnGranted(const std::string& service,
                 const Ipv4Endpoint& scheduler,
                 uint32_t token,
                 uint64_t upstream_id,
                 SteadyTime now);
  void OnPlaced(const std::string& service,
                uint32_t token,
                uint64_t upstream_id,
                SteadyTime now);
  void OnCompleted(const Completion& completion,
                   const SchedulerLookup& scheduler_of,
                   SteadyTime now);
  // A request was decided in another way than by a grant.
  void OnDecided(const std::string& service, uint32_t token, SteadyTime now);
  // A grant of a request that is not held. Frees the place unless it is the
  // place in use.
  void OnLateGrant(const Ipv4Endpoint& scheduler,
                   uint32_t token,
                   uint64_t upstream_id,
                   SteadyTime now);

  bool IsKnown(uint32_t token) const;
  void Tick(const SchedulerLookup& scheduler_of,
            SteadyTime now,
            ClientActions& actions);
  std::optional<SteadyTime> NextDeadline() const;

 private:
  using Destination = std::pair<std::string, Ipv4Endpoint>;
  struct Flow {
    std::string service;
    // Not set for flows that were placed locally.
    std::optional<Ipv4Endpoint> scheduler;
    uint64_t upstream_id = 0;
    SteadyTime started;
    bool is_placed = false;
  };
  struct Batch {
    SteadyTime due;
    std::vector<Completion> completions;
  };
  struct Service {
    std::set<uint32_t> tokens;
    std::set<Ipv4Endpoint> recipients;
    SteadyTime snapshot_due;
  };
  // What became of a request; needed to answer late grants.
  struct Decided {
    std::string service;
    std::optional<Ipv4Endpoint> scheduler;
    uint64_t upstream_id = 0;
    SteadyTime until;
  };

  Service& AddService(const std::string& service, SteadyTime now);
  Flow* AddFlow(const std::string& service, uint32_t token, SteadyTime now);
  void EraseFlow(uint32_t token, SteadyTime now);
  void Remember(uint32_t token, Decided decided);
  void AddCompletion(const std::string& service,
                     const Ipv4Endpoint& scheduler,
                     const Completion& completion,
                     SteadyTime now);
  void DropOldFlows(Service& service, SteadyTime now);
  void AddSnapshots(const std::string& name,
                    Service& service,
                    const std::optional<Ipv4Endpoint>& current,
                    SteadyTime now,
                    ClientActions& actions) const;

  std::unordered_map<uint32_t, Flow> m_flows;
  // Services with open flows, or with a last snapshot to send.
  std::map<std::string, Service> m_services;
  std::map<Destination, Batch> m_batches;
  std::unordered_map<uint32_t, Decided> m_decided;
  std::deque<uint32_t> m_decided_order;
};

}  // namespace poplarsail::scheduling

#endif  // SCHEDULING_FLOW_REPORTS_H_
