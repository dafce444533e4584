#ifndef RUNTIME_PACKET_WORKER_H_
#define RUNTIME_PACKET_WORKER_H_

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
// Other hosts considered this host dead, so it may lack flow records.
struct MarkRecordsIncompleteCommand {};
// Commands from other workers to the packet worker.
using PacketCommand = std::variant<SetPlanCommand,
                                   RemoveServiceCommand,
                                   SetMembersCommand,
                                   MarkRecordsIncompleteCommand>;

// Where a packet would be sent and why, as text for operators.
struct ExplainAnswer {
  std::string action;
  std::string cause;
  std::string target;
};
// Query from the admin server to the packet worker.
struct ExplainQuery {
  steering::PacketSummary packet;
  std::shared_ptr<std::promise<ExplainAnswer>> answer;
};

// Receives, steers and sends packets in one thread. The packet path neither
// allocates memory nor waits for other workers.
class PacketWorker {
 public:
  explicit PacketWorker(const model::Settings& settings);

  // Runs until `stop` is set.
  void Run(const std::atomic<bool>& stop);

  // Queue for plans from the control worker.
  transport::SpscQueue<PacketCommand>& commands() { return m_commands; }
  // Queue for members from the membership worker.
  transport::SpscQueue<PacketCommand>& member_commands() {
    return m_member_commands;
  }
  transport::SpscQueue<ExplainQuery>& queries() { return m_queries; }
  std::vector<std::shared_ptr<telemetry::CounterFamily>> counters() const;

 private:
  void ExecuteCommands();
  void Execute(const PacketCommand& command);
  void AnswerQueries();
  bool ReceiveFromFabric();
  bool ReceiveFromHosts();
  void Steer(std::span<const uint8_t> packet,
             const steering::RelayHeader* relay,
             model::TimePoint now);
  void DetectProcessPause();

  model::Settings m_settings;
  transport::UdpSocket m_fabric_socket;
  transport::UdpSocket m_relay_socket;
  steering::Router m_router;
  transport::SpscQueue<PacketCommand> m_commands;
  transport::SpscQueue<PacketCommand> m_member_commands;
  transport::SpscQueue<ExplainQuery> m_queries;
  model::TimePoint m_pause_deadline;
  std::shared_ptr<telemetry::CounterFamily> m_decisions;
  std::shared_ptr<telemetry::CounterFamily> m_drops;
  std::shared_ptr<telemetry::CounterFamily> m_malformed;
  std::shared_ptr<telemetry::CounterFamily> m_traffic;
};

}  // namespace poplarsail::runtime

#endif  // RUNTIME_PACKET_WORKER_H_
