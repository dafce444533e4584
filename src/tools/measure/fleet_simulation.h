#ifndef MEASURE_FLEET_SIMULATION_H_
#define MEASURE_FLEET_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "measure/host_steering.h"
#include "membership/membership.h"

namespace poplarsail::measure {

// A change of the simulated fleet at a given time.
enum class EventKind : uint8_t {
  // `subject` is the upstream's number.
  kDrain,
  kAdd,
  kRemove,
  kSetWeight,
  // `subject` is the entry host's number.
  kHostLeaves,
  kHostDies,
  kHostPauses,
  kHostResumes,
  kHostJoins,
  // `subject` is the failure domain's number.
  kDomainEvacuated,
  kDomainReturned,
  kDomainPartitioned,
  kDomainReconnected,
  // `subject` is 1 for on and 0 for off.
  kUpdatesDelayedOnHalf,
  kControlPacketLoss,
  kPlatformUnavailable,
  kFlowHashing,
  kFlowRehash,
};

struct FleetEvent {
  int64_t at_ms = 0;
  EventKind kind = EventKind::kDrain;
  int subject = 0;
  // New weight in percent (kSetWeight).
  uint32_t weight = 100;

  friend bool operator==(const FleetEvent&, const FleetEvent&) = default;
};

// Size and load of the fleet in a run.
struct FleetOptions {
  int domains = 3;
  int hosts = 9;
  int upstreams = 14;
  // Hosts that join during the run get the numbers from `hosts` on.
  uint32_t open_flows = 30'000;
  uint32_t new_flows_per_second = 1'500;
  int64_t length_ms = 90'000;
  // Share of initial flows that last until the end of the run; the others last
  // about ten seconds on average.
  double long_flow_share = 0.5;
  // Share of first packets whose response is lost, so that they are
  // retransmitted.
  double lost_first_response_share = 0.01;
  uint64_t seed = 1;

  friend bool operator==(const FleetOptions&, const FleetOptions&) = default;
};

// Details of a broken flow, for diagnosis.
struct BrokenFlow {
  int64_t at_ms = 0;
  int64_t opened_at_ms = 0;
  uint32_t flow = 0;
  uint32_t bucket = 0;
  std::string owner;
  std::string reached;
  // The hosts on the path of the last packet, with the cause of each decision.
  std::string path;
};

struct FleetResult {
  uint64_t flows = 0;
  uint64_t broken_flows = 0;
  uint64_t abandoned_flows = 0;
  uint64_t packets = 0;
  uint64_t relays = 0;
  uint64_t lost_packets = 0;
  uint64_t crossed_service = 0;
  double state_bytes_per_flow = 0;
  double control_bytes_mean = 0;
  double control_bytes_worst = 0;
  double imbalance_mean = 0;
  double imbalance_p99 = 0;
  // Time from an upstream's drain, removal or evacuation to the last new flow
  // that reached it.
  int64_t last_new_flow_ms = 0;
  std::vector<BrokenFlow> broken;
};

// Simulates one steering strategy on all entry hosts in virtual time with a
// fixed seed: clients, a fabric that distributes packets over the hosts,
// upstreams that know their flows, and control updates that reach each host at
// a different time.
class FleetSimulation {
 public:
  FleetSimulation(SteeringStrategy strategy,
                  const FleetOptions& options,
                  std::vector<FleetEvent> events);
  ~FleetSimulation();

  FleetResult Run();

 private:
  struct Host;
  struct Upstream;
  struct Flow;
  struct Delivery;

  TimePoint Now() const;
  void ApplyEvent(const FleetEvent& event);
  void ChangeUpstream(int number, uint32_t weight, bool is_present);
  void SetDomainInService(int domain, bool is_in_service);
  // Ends the flows whose upstream is affected, without counting them as broken.
  void AbandonFlows(const std::function<bool(int)>& is_affected);
  void AddHost(int number);
  void PublishMembers();
  // Advances the failure detector of each host.
  void RunFailureDetectors();
  void SendMessages(int from,
                    const std::vector<membership::OutgoingMessage>& messages);
  void HandleDetectorChanges(Host* host);
  void ApplyMembers(Host* host, const std::vector<steering::Member>& members);
  // Updates the host's replica hosts from its own member list and the current
  // time.
  void UpdateReplicaHosts(Host* host);
  void UpdatePlan();
  void ScheduleDelivery(int host, int64_t at_ms, Delivery delivery);
  int64_t PickDeliveryTime(int host);
  bool IsPartitioned(int domain, int other_domain) const;
  int FindHost(const std::string& name) const;
  void ProcessDeliveries();
  void BroadcastDigests();
  void OpenFlow(bool is_long);
  void SchedulePacket(uint32_t flow, int64_t at_ms);
  void SendPacket(uint32_t flow);
  int PickHost(uint32_t flow);
  // Returns the upstream that the packet reached, or nothing if it was lost.
  std::optional<int> RoutePacket(uint32_t flow,
                                 const steering::PacketSummary& packet);
  void HandleArrival(uint32_t flow, int upstream, bool opens_flow);
  void HandlePacketLoss(uint32_t flow);
  void EndFlow(uint32_t flow);
  void MarkBroken(uint32_t flow, int reached);
  void SampleMetrics();
  int64_t SampleExponential(double mean_ms);

  SteeringStrategy m_strategy;
  FleetOptions m_options;
  std::vector<FleetEvent> m_events;
  std::mt19937_64 m_random;
  int64_t m_now_ms = 0;
  std::vector<std::unique_ptr<Host>> m_hosts;
  std::vector<Upstream> m_upstreams;
  std::vector<Flow> m_flows;
  std::vector<std::vector<uint32_t>> m_schedule;
  std::multimap<int64_t, std::pair<int, Delivery>> m_deliveries;
  steering::ServicePlanPtr m_plan;
  std::vector<steering::Member> m_members;
  // Replica maps by the names of their members; shared between hosts.
  std::map<std::vector<std::string>,
           std::shared_ptr<const steering::ReplicaMap>>
      m_replica_maps;
  std::vector<bool> m_evacuated_domains;
  std::vector<bool> m_partitioned_domains;
  bool m_delays_updates_to_half = false;
  bool m_has_control_packet_loss = false;
  bool m_is_platform_unavailable = false;
  // Updates deferred until the platform is available again.
  bool m_members_pending = false;
  bool m_plan_pending = false;
  bool m_hashes_flows = false;
  uint64_t m_flow_hash_seed = 1;
  double m_control_bytes_this_second = 0;
  std::vector<double> m_control_bytes;
  std::vector<double> m_imbalances;
  uint64_t m_open_flows = 0;
  std::vector<std::pair<int, steering::DecisionCause>> m_last_path;
  FleetResult m_result;
};

}  // namespace poplarsail::measure

#endif  // MEASURE_FLEET_SIMULATION_H_
