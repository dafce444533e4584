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

// Something that happens to the fleet at a time of the run.
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
  kDomainOut,
  kDomainIn,
  kDomainCutOff,
  kDomainHealed,
  // `subject` is 1 for on and 0 for off.
  kUpdatesLateAtHalf,
  kControlLossy,
  kPlatformAway,
  kStickySpray,
  kRespray,
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
  // Members known beforehand that join later get the numbers after `hosts`.
  uint32_t open_flows = 30'000;
  uint32_t new_flows_per_second = 1'500;
  int64_t length_ms = 90'000;
  // Open flows that stay to the end; the others last some ten seconds.
  double long_flow_share = 0.5;
  // Share of first packets whose answer is lost, so that they are repeated.
  double lost_first_answers = 0.01;
  uint64_t seed = 1;

  friend bool operator==(const FleetOptions&, const FleetOptions&) = default;
};

// One broken flow, for finding its cause.
struct BrokenFlow {
  int64_t at_ms = 0;
  int64_t opened_at_ms = 0;
  uint32_t flow = 0;
  uint32_t bucket = 0;
  std::string owner;
  std::string reached;
  // The hosts that the last packet passed, with the cause of each decision.
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
  // From a drain, removal or take-out to the last new flow there.
  int64_t last_new_flow_ms = 0;
  std::vector<BrokenFlow> broken;
};

// Drives one way of steering on all entry hosts with virtual time and a fixed
// seed: callers, a fabric that sprays packets, upstreams that know their
// flows, and control updates that reach each host at another time.
class FleetSimulation {
 public:
  FleetSimulation(SteeringStrategy way,
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
  void SetDomain(int domain, bool is_in);
  // Ends the flows whose upstream is affected, without counting them as broken.
  void GiveUpFlows(const std::function<bool(int)>& is_affected);
  void AddHost(int number);
  void MembersChanged();
  // Lets the hosts find out who of them answers.
  void RunFailureDetectors();
  void SendAll(int from,
               const std::vector<membership::OutgoingMessage>& messages);
  void NoteDetector(Host* host);
  void TakeMembers(Host* host, const std::vector<steering::Member>& members);
  // Gives the host the keepers of its own member list at this time.
  void RefreshKeepers(Host* host);
  void Replan();
  void Deliver(int host, int64_t at_ms, Delivery delivery);
  int64_t DeliveryTime(int host);
  bool IsCut(int domain, int other_domain) const;
  int FindHost(const std::string& name) const;
  void RunDeliveries();
  void SpreadDigests();
  void OpenFlow(bool is_long);
  void Schedule(uint32_t flow, int64_t at_ms);
  void SendPacket(uint32_t flow);
  int PickHost(uint32_t flow);
  // The upstream that the packet reached, or nothing where it was lost.
  std::optional<int> Carry(uint32_t flow,
                           const steering::PacketSummary& packet);
  void Arrive(uint32_t flow, int upstream, bool opens_flow);
  void LosePacket(uint32_t flow);
  void EndFlow(uint32_t flow);
  void Break(uint32_t flow, int reached);
  void SampleSecond();
  int64_t Exponential(double mean_ms);

  SteeringStrategy m_way;
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
  // Maps by the names of their members: hosts share them.
  std::map<std::vector<std::string>,
           std::shared_ptr<const steering::ReplicaMap>>
      m_keeper_maps;
  std::vector<bool> m_domain_out;
  std::vector<bool> m_domain_cut;
  bool m_half_late = false;
  bool m_is_lossy = false;
  bool m_platform_away = false;
  // Changes wait for the platform's return.
  bool m_members_pending = false;
  bool m_plan_pending = false;
  bool m_is_sticky = false;
  uint64_t m_spray_seed = 1;
  double m_control_bytes_this_second = 0;
  std::vector<double> m_control_bytes;
  std::vector<double> m_imbalances;
  uint64_t m_open_flows = 0;
  std::vector<std::pair<int, steering::DecisionCause>> m_last_path;
  FleetResult m_result;
};

}  // namespace poplarsail::measure

#endif  // MEASURE_FLEET_SIMULATION_H_
