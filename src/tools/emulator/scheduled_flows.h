#ifndef EMULATOR_SCHEDULED_FLOWS_H_
#define EMULATOR_SCHEDULED_FLOWS_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "emulator/flow_scheduling.h"
#include "emulator/scheduler_model.h"

namespace poplarsail::emulator {

// One host's part in the scheduling of one service: the daemon's placement
// client, and its scheduler if other hosts choose this one. That the conditions
// of scheduling hold is taken as known.
class ScheduledFlows : public FlowScheduling,
                       public SchedulingNetwork::Receiver {
 public:
  struct Identity {
    model::Ipv4Endpoint endpoint;
    std::string failure_domain;
    std::string service;
    uint64_t seed = 0;
  };

  ScheduledFlows(EventQueue* events,
                 SchedulingNetwork* network,
                 Identity identity,
                 Callbacks callbacks);

  // Call once all hosts are known.
  void Start() {
    m_client.SetCandidates(m_network->Candidates(m_identity.failure_domain));
  }

  void OnSyn(const flows::FlowPacket& packet) override;
  void OnPacket(const flows::FlowPacket& packet) override;
  void Update(const cluster_state::ClusterState& cluster_state) override;

  void OnMessage(const model::Ipv4Endpoint& from,
                 const scheduling::SchedulingMessage& message) override;
  void OnForwardGranted(const std::string& service,
                        const scheduling::RequestKey& key) override;

 private:
  struct Flow {
    flows::FlowPacket syn;
    uint32_t token = 0;
    uint64_t upstream_id = 0;
    // When the response to the SYN is overdue.
    SteadyTime syn_deadline;
    bool is_established = false;
    bool is_completed = false;
    std::optional<SteadyTime> request_sent;
  };

  void Request(const flows::FlowPacket& packet,
               const std::vector<uint64_t>& excluded);
  void Execute(const scheduling::ClientActions& actions);
  void ExecuteOne(const scheduling::ClientAction& action);
  void Place(Flow* flow, uint64_t upstream_id);
  void PlaceLocally(Flow* flow);
  void Complete(Flow* flow);
  Flow* FindFlow(uint32_t token);
  void Send(const model::Ipv4Endpoint& to, scheduling::MessageBody body);
  void ScheduleTick();
  SchedulerModel* GetScheduler();

  EventQueue* m_events;
  SchedulingNetwork* m_network;
  Identity m_identity;
  Callbacks m_callbacks;
  scheduling::PlacementClient m_client;
  const cluster_state::ClusterState* m_cluster_state = nullptr;
  std::unique_ptr<SchedulerModel> m_scheduler;
  std::unordered_map<flows::FlowKey, Flow, flows::FlowKeyHash> m_flows;
  std::unordered_map<uint32_t, flows::FlowKey> m_keys;
  std::optional<SteadyTime> m_next_tick;
};

}  // namespace poplarsail::emulator

#endif  // EMULATOR_SCHEDULED_FLOWS_H_
