#ifndef RUNTIME_PACKET_DUTY_H_
#define RUNTIME_PACKET_DUTY_H_

#include <atomic>
#include <future>
#include <memory>
#include <string>
#include <variant>

#include "model/model.h"
#include "steering/steering.h"
#include "telemetry/telemetry.h"
#include "transport/transport.h"

namespace poplarsail::runtime {

struct SetPlanCommand {
  steering::ServicePlanPtr plan;
};
struct RemoveServiceCommand {
  std::string service;
};
struct SetMembersCommand {
  std::shared_ptr<const steering::ReplicaMap> members;
};
// Others took this host for dead: it may lack flow records.
struct NotePauseCommand {};
// What other duties tell the packet duty.
using PacketCommand = std::variant<SetPlanCommand,
                                   RemoveServiceCommand,
                                   SetMembersCommand,
                                   NotePauseCommand>;

// Where a packet would go, in words for operators.
struct ExplainAnswer {
  std::string action;
  std::string cause;
  std::string target;
};
// What the admin duty asks the packet duty.
struct ExplainQuery {
  steering::PacketSummary packet;
  std::shared_ptr<std::promise<ExplainAnswer>> answer;
};

// Receives, steers and sends packets in one thread. No allocation and no
// waiting for other duties on the way of a packet.
class PacketDuty {
 public:
  explicit PacketDuty(const model::Settings& settings);

  // Runs until `stop` is set.
  void Run(const std::atomic<bool>& stop);

  // Plans, from the control duty.
  transport::SpscQueue<PacketCommand>& commands() { return m_commands; }
  // Members, from the membership duty.
  transport::SpscQueue<PacketCommand>& member_commands() {
    return m_member_commands;
  }
  transport::SpscQueue<ExplainQuery>& queries() { return m_queries; }
  std::vector<std::shared_ptr<telemetry::CounterFamily>> counters() const;

 private:
  void TakeCommands();
  void Execute(const PacketCommand& command);
  void AnswerQueries();
  bool ServeFabric();
  bool ServeRelay();
  void Steer(std::span<const uint8_t> packet,
             const steering::RelayHeader* relay,
             model::TimePoint now);
  void CheckForPause();

  model::Settings m_settings;
  transport::UdpSocket m_fabric_port;
  transport::UdpSocket m_relay_port;
  steering::Router m_router;
  transport::SpscQueue<PacketCommand> m_commands;
  transport::SpscQueue<PacketCommand> m_member_commands;
  transport::SpscQueue<ExplainQuery> m_queries;
  model::TimePoint m_next_wake_by;
  std::shared_ptr<telemetry::CounterFamily> m_decisions;
  std::shared_ptr<telemetry::CounterFamily> m_drops;
  std::shared_ptr<telemetry::CounterFamily> m_malformed;
  std::shared_ptr<telemetry::CounterFamily> m_traffic;
};

}  // namespace poplarsail::runtime

#endif  // RUNTIME_PACKET_DUTY_H_
