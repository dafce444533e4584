#ifndef EMULATOR_SCHEDULER_MODEL_H_
#define EMULATOR_SCHEDULER_MODEL_H_

#include <map>
#include <string>

#include "emulator/scheduling_network.h"

namespace poplarsail::emulator {

// The scheduler of a service on one host, with its timers and messages.
class SchedulerModel {
 public:
  SchedulerModel(EventQueue* events,
                 SchedulingNetwork* network,
                 const model::Ipv4Endpoint& own,
                 std::string service,
                 std::string failure_domain,
                 uint64_t seed);

  void Update(const cluster_state::ClusterState& cluster_state);
  void OnMessage(const model::Ipv4Endpoint& from,
                 const scheduling::MessageBody& body);
  void OnForwardGranted(const scheduling::RequestKey& key);

 private:
  void OnPlace(const model::Ipv4Endpoint& from,
               const scheduling::PlaceMessage& message);
  void Execute(const scheduling::SchedulerActions& actions);
  void ExecuteOne(const scheduling::SchedulerAction& action);
  void Send(const model::Ipv4Endpoint& to, scheduling::MessageBody body);
  void ScheduleTick(SteadyTime::duration delay);
  void Announce();

  EventQueue* m_events;
  SchedulingNetwork* m_network;
  model::Ipv4Endpoint m_own;
  std::string m_service;
  std::string m_failure_domain;
  scheduling::ServiceScheduler m_scheduler;
  std::optional<SteadyTime> m_next_tick;
  // The scheduler that has forwarded a request which isn't decided yet.
  std::map<scheduling::RequestKey, model::Ipv4Endpoint> m_forwarders;
};

}  // namespace poplarsail::emulator

#endif  // EMULATOR_SCHEDULER_MODEL_H_
