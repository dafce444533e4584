#ifndef EMULATOR_HOST_MODEL_H_
#define EMULATOR_HOST_MODEL_H_

#include <functional>
#include <memory>
#include <string>

#include "emulator/event_queue.h"

namespace poplarsail::emulator {

// Makes the placement of a host in a failure domain.
using PlacementFactory = std::function<std::unique_ptr<flows::Placement>(
    const std::string& failure_domain,
    uint64_t seed)>;

// One entry host: the steering that the daemon uses, with its time-outs and
// checks in virtual time. It sees only the packets that pass it.
class HostModel {
 public:
  struct Links {
    std::function<
        void(const flows::FlowPacket&, uint64_t upstream_id, uint32_t)>
        to_upstream;
    std::function<void(const flows::FlowPacket&)> reset_to_caller;
    // Connects to an upstream and calls back with whether it answered.
    std::function<void(uint64_t upstream_id, std::function<void(bool)>)> check;
    std::function<void(uint64_t upstream_id)> tell_others;
  };

  HostModel(EventQueue* events,
            std::string failure_domain,
            std::unique_ptr<flows::Placement> placement,
            Links links);

  const std::string& failure_domain() const { return m_failure_domain; }

  void Update(const cluster_state::ClusterState& cluster_state);
  void Receive(const flows::FlowPacket& packet);
  void TakeFinding(uint64_t upstream_id);
  // The process is gone: what it waited for no longer matters.
  void Stop() { m_is_stopped = true; }
  // Call four times a second.
  void Tick();

 private:
  void Execute(const flows::FlowPacket& packet,
               const flows::Decision& decision);
  void ScheduleExpectations();
  void CheckExpectations();
  void StartCheck(uint64_t upstream_id);

  EventQueue* m_events;
  std::string m_failure_domain;
  flows::Steering m_steering;
  flows::PendingResponses m_expectations;
  bool m_is_expecting = false;
  bool m_is_stopped = false;
  Links m_links;
};

}  // namespace poplarsail::emulator

#endif  // EMULATOR_HOST_MODEL_H_
