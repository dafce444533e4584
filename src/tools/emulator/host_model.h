#ifndef EMULATOR_HOST_MODEL_H_
#define EMULATOR_HOST_MODEL_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "emulator/event_queue.h"
#include "emulator/flow_scheduling.h"

namespace poplarsail::emulator {

// Creates the placement policy of a host in a failure domain.
using PlacementFactory = std::function<std::unique_ptr<flows::Placement>(
    const std::string& failure_domain,
    uint64_t seed)>;

// One entry host: the daemon's steering with its timeouts and health checks in
// virtual time. It observes only packets from clients, not the responses, which
// upstreams send to clients directly.
class HostModel {
 public:
  struct Callbacks {
    std::function<
        void(const flows::FlowPacket&, uint64_t upstream_id, uint32_t)>
        forward_to_upstream;
    std::function<void(const flows::FlowPacket&)> reset_client;
    // Connects to an upstream and reports whether it accepted the connection.
    std::function<void(uint64_t upstream_id, std::function<void(bool)>)> check;
    std::function<void(uint64_t upstream_id)> notify_peers;
  };

  HostModel(EventQueue* events,
            std::string failure_domain,
            std::unique_ptr<flows::Placement> placement,
            Callbacks callbacks);

  const std::string& failure_domain() const { return m_failure_domain; }

  // New flows are placed by `scheduling` unless it is nullptr.
  void set_flow_scheduling(std::unique_ptr<FlowScheduling> scheduling) {
    m_flow_scheduling = std::move(scheduling);
  }
  FlowScheduling::Callbacks SchedulingCallbacks();
  // Whether new flows may use the upstream, as far as this host knows.
  bool Knows(uint64_t upstream_id);

  void Update(const cluster_state::ClusterState& cluster_state);
  void Receive(const flows::FlowPacket& packet);
  void OnFailureReport(uint64_t upstream_id);
  // Terminates the process; pending timers and health checks have no effect.
  void Stop() { m_is_stopped = true; }
  // Call four times a second.
  void Tick();

 private:
  // Returns the id of the upstream, or 0.
  uint64_t Steer(const flows::FlowPacket& packet);
  void Execute(const flows::FlowPacket& packet,
               const flows::Decision& decision);
  void ScheduleTimeoutCheck();
  void CheckTimeouts();
  void StartCheck(uint64_t upstream_id);

  EventQueue* m_events;
  std::string m_failure_domain;
  flows::Steering m_steering;
  std::unique_ptr<FlowScheduling> m_flow_scheduling;
  flows::PendingResponses m_pending_responses;
  std::optional<SteadyTime> m_next_timeout_check;
  bool m_is_stopped = false;
  Callbacks m_callbacks;
};

}  // namespace poplarsail::emulator

#endif  // EMULATOR_HOST_MODEL_H_
