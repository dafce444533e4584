#include "runtime/packet_worker.h"

#include <poll.h>

#include <array>

#include <fmt/format.h>

namespace poplarsail::runtime {

namespace {

using model::TimePoint;
using steering::Action;
using steering::Decision;

constexpr size_t kCommandQueueCapacity = 4'096;
constexpr size_t kMemberCommandQueueCapacity = 64;
constexpr size_t kQueryQueueCapacity = 64;
constexpr int kPollTimeoutMs = 10;
// A loop iteration that takes longer than this counts as a pause of the
// process.
constexpr std::chrono::milliseconds kPauseThreshold{2'000};
constexpr size_t kExpirySetsPerLoop = 64;

enum TrafficEvent : size_t {
  kReceivedFromFabric,
  kReceivedFromHosts,
  kForwarded,
  kRelayed,
  kSendFailed,
  kBadRelayHeader,
};

std::vector<std::string> CauseLabels() {
  std::vector<std::string> labels;
  for (size_t i = 0; i < steering::kDecisionCauseCount; ++i) {
    labels.emplace_back(
        steering::ToString(static_cast<steering::DecisionCause>(i)));
  }
  return labels;
}

std::vector<std::string> DropLabels() {
  std::vector<std::string> labels;
  for (size_t i = 0; i < steering::kDropReasonCount; ++i) {
    labels.emplace_back(
        steering::ToString(static_cast<steering::DropReason>(i)));
  }
  return labels;
}

std::vector<std::string> PacketErrorLabels() {
  std::vector<std::string> labels;
  for (size_t i = 0; i < steering::kPacketErrorCount; ++i) {
    labels.emplace_back(
        steering::ToString(static_cast<steering::PacketError>(i)));
  }
  return labels;
}

}  // namespace

PacketWorker::PacketWorker(const model::Settings& settings)
    : m_settings(settings),
      m_fabric_socket(settings.address, settings.packet_port),
      m_relay_socket(settings.address, settings.relay_port),
      m_router(settings.host_name, settings.flow_capacity),
      m_commands(kCommandQueueCapacity),
      m_member_commands(kMemberCommandQueueCapacity),
      m_queries(kQueryQueueCapacity),
      m_pause_deadline(model::Now() + kPauseThreshold),
      m_decisions(std::make_shared<telemetry::CounterFamily>(
          "poplarsail_packet_decisions_total",
          "Packets by the cause of the decision.",
          "cause",
          CauseLabels())),
      m_drops(std::make_shared<telemetry::CounterFamily>(
          "poplarsail_packet_drops_total",
          "Dropped packets by reason.",
          "reason",
          DropLabels())),
      m_malformed(std::make_shared<telemetry::CounterFamily>(
          "poplarsail_packet_malformed_total",
          "Malformed or unsupported datagrams by reason.",
          "reason",
          PacketErrorLabels())),
      m_traffic(std::make_shared<telemetry::CounterFamily>(
          "poplarsail_packet_traffic_total",
          "Datagrams by direction.",
          "direction",
          std::vector<std::string>{"from_fabric", "from_hosts", "to_upstreams",
                                   "to_hosts", "send_failed",
                                   "bad_relay_header"})) {}

std::vector<std::shared_ptr<telemetry::CounterFamily>> PacketWorker::counters()
    const {
  return {m_decisions, m_drops, m_malformed, m_traffic};
}

void PacketWorker::Run(const std::atomic<bool>& stop) {
  std::array<pollfd, 2> sockets = {
      {{m_fabric_socket.fd(), POLLIN, 0}, {m_relay_socket.fd(), POLLIN, 0}}};
  while (!stop.load(std::memory_order_relaxed)) {
    ::poll(sockets.data(), sockets.size(), kPollTimeoutMs);
    DetectProcessPause();
    ExecuteCommands();
    AnswerQueries();
    bool has_more = true;
    // Bounded, so that commands are not delayed under full load.
    for (int round = 0; has_more && round < 16; ++round) {
      const bool from_fabric = ReceiveFromFabric();
      const bool from_hosts = ReceiveFromHosts();
      has_more = from_fabric || from_hosts;
    }
    m_router.flows().EraseExpired(kExpirySetsPerLoop, model::Now());
  }
}

void PacketWorker::DetectProcessPause() {
  const TimePoint now = model::Now();
  if (now > m_pause_deadline) {
    m_router.MarkRecordsIncomplete(now);
    telemetry::Log(telemetry::LogLevel::kWarning, "packets",
                   "process paused for more than 2 s");
  }
  m_pause_deadline = now + kPauseThreshold;
}

void PacketWorker::ExecuteCommands() {
  PacketCommand command;
  while (m_commands.TryPop(command) || m_member_commands.TryPop(command)) {
    Execute(command);
  }
}

void PacketWorker::Execute(const PacketCommand& command) {
  if (const auto* set_plan = std::get_if<SetPlanCommand>(&command)) {
    m_router.SetPlan(set_plan->plan);
  } else if (const auto* remove = std::get_if<RemoveServiceCommand>(&command)) {
    m_router.RemoveService(remove->service);
  } else if (const auto* members = std::get_if<SetMembersCommand>(&command)) {
    m_router.SetMembers(members->members, model::Now());
  } else {
    m_router.MarkRecordsIncomplete(model::Now());
  }
}

void PacketWorker::AnswerQueries() {
  ExplainQuery query;
  while (m_queries.TryPop(query)) {
    const Decision decision = m_router.Explain(query.packet, model::Now());
    ExplainAnswer answer;
    answer.cause = steering::ToString(decision.cause);
    switch (decision.action) {
      case Action::kForward:
        answer.action = "forward";
        answer.target =
            fmt::format("{} ({})", decision.upstream->name,
                        model::ToString(decision.upstream->address));
        break;
      case Action::kRelay:
        answer.action = "relay";
        answer.target = m_router.members().members()[decision.next_host].name;
        break;
      case Action::kDrop:
        answer.action = "drop";
        answer.target = steering::ToString(decision.drop_reason);
        break;
    }
    query.answer->set_value(answer);
  }
}

// Returns whether any packets were received.
bool PacketWorker::ReceiveFromFabric() {
  const auto datagrams = m_fabric_socket.Receive();
  const TimePoint now = model::Now();
  for (const std::span<const uint8_t> datagram : datagrams) {
    Steer(datagram, nullptr, now);
  }
  m_traffic->Add(kReceivedFromFabric, datagrams.size());
  m_traffic->Add(kSendFailed, m_relay_socket.Flush());
  return !datagrams.empty();
}

bool PacketWorker::ReceiveFromHosts() {
  const auto datagrams = m_relay_socket.Receive();
  const TimePoint now = model::Now();
  for (const std::span<const uint8_t> datagram : datagrams) {
    const auto header = steering::DecodeRelayHeader(datagram);
    if (!header) {
      m_traffic->Add(kBadRelayHeader);
      continue;
    }
    Steer(datagram.subspan(steering::kRelayHeaderSize), &*header, now);
  }
  m_traffic->Add(kReceivedFromHosts, datagrams.size());
  m_traffic->Add(kSendFailed, m_relay_socket.Flush());
  return !datagrams.empty();
}

void PacketWorker::Steer(std::span<const uint8_t> packet,
                         const steering::RelayHeader* relay,
                         TimePoint now) {
  const steering::ParsedPacket parsed = steering::ParsePacket(packet);
  if (parsed.error != steering::PacketError::kNone) {
    m_malformed->Add(static_cast<size_t>(parsed.error));
    return;
  }
  const Decision decision = m_router.Decide(parsed.summary, relay, now);
  m_decisions->Add(static_cast<size_t>(decision.cause));
  switch (decision.action) {
    case Action::kForward:
      m_traffic->Add(kForwarded);
      m_relay_socket.Queue(
          {decision.upstream->address.address, m_settings.upstream_packet_port},
          {}, packet);
      return;
    case Action::kRelay:
      m_traffic->Add(kRelayed);
      m_relay_socket.Queue(
          m_router.members().members()[decision.next_host].relay,
          steering::Encode(decision.header), packet);
      return;
    case Action::kDrop:
      m_drops->Add(static_cast<size_t>(decision.drop_reason));
      return;
  }
}

}  // namespace poplarsail::runtime
