#include "runtime/packet_duty.h"

#include <poll.h>

#include <array>

#include <fmt/format.h>

namespace poplarsail::runtime {

namespace {

using model::TimePoint;
using steering::Action;
using steering::Decision;

constexpr size_t kCommandRing = 4'096;
constexpr size_t kMemberCommandRing = 64;
constexpr size_t kQueryRing = 64;
constexpr int kPollMillis = 10;
// A loop that took longer than this did not run in between.
constexpr std::chrono::milliseconds kPauseThreshold{2'000};
constexpr size_t kSweepSetsPerLoop = 64;

enum Traffic : size_t {
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

PacketDuty::PacketDuty(const model::Settings& settings)
    : m_settings(settings),
      m_fabric_port(settings.address, settings.packet_port),
      m_relay_port(settings.address, settings.relay_port),
      m_router(settings.host_name, settings.flow_capacity),
      m_commands(kCommandRing),
      m_member_commands(kMemberCommandRing),
      m_queries(kQueryRing),
      m_next_wake_by(model::Now() + kPauseThreshold),
      m_decisions(std::make_shared<telemetry::CounterFamily>(
          "poplarsail_packet_decisions_total",
          "Packets by the cause of the decision.",
          "cause",
          CauseLabels())),
      m_drops(std::make_shared<telemetry::CounterFamily>(
          "poplarsail_packet_drops_total",
          "Packets that were dropped, by reason.",
          "reason",
          DropLabels())),
      m_malformed(std::make_shared<telemetry::CounterFamily>(
          "poplarsail_packet_malformed_total",
          "Datagrams that are no packet that can be steered, by reason.",
          "reason",
          PacketErrorLabels())),
      m_traffic(std::make_shared<telemetry::CounterFamily>(
          "poplarsail_packet_traffic_total",
          "Datagrams by direction.",
          "direction",
          std::vector<std::string>{"from_fabric", "from_hosts", "to_upstreams",
                                   "to_hosts", "send_failed",
                                   "bad_relay_header"})) {}

std::vector<std::shared_ptr<telemetry::CounterFamily>> PacketDuty::counters() const {
  return {m_decisions, m_drops, m_malformed, m_traffic};
}

void PacketDuty::Run(const std::atomic<bool>& stop) {
  std::array<pollfd, 2> sockets = {
      {{m_fabric_port.fd(), POLLIN, 0}, {m_relay_port.fd(), POLLIN, 0}}};
  while (!stop.load(std::memory_order_relaxed)) {
    ::poll(sockets.data(), sockets.size(), kPollMillis);
    CheckForPause();
    TakeCommands();
    AnswerQueries();
    bool has_more = true;
    // Bounded, so that commands are not kept waiting under full load.
    for (int round = 0; has_more && round < 16; ++round) {
      const bool from_fabric = ServeFabric();
      const bool from_hosts = ServeRelay();
      has_more = from_fabric || from_hosts;
    }
    m_router.flows().Sweep(kSweepSetsPerLoop, model::Now());
  }
}

void PacketDuty::CheckForPause() {
  const TimePoint now = model::Now();
  if (now > m_next_wake_by) {
    m_router.HandleProcessPause(now);
    telemetry::Log(telemetry::LogLevel::kWarning, "packets",
                   "the process did not run for over two seconds");
  }
  m_next_wake_by = now + kPauseThreshold;
}

void PacketDuty::TakeCommands() {
  PacketCommand command;
  while (m_commands.TryPop(command) || m_member_commands.TryPop(command)) {
    Execute(command);
  }
}

void PacketDuty::Execute(const PacketCommand& command) {
  if (const auto* set_plan = std::get_if<SetPlanCommand>(&command)) {
    m_router.SetPlan(set_plan->plan);
  } else if (const auto* remove = std::get_if<RemoveServiceCommand>(&command)) {
    m_router.RemoveService(remove->service);
  } else if (const auto* members = std::get_if<SetMembersCommand>(&command)) {
    m_router.SetMembers(members->members, model::Now());
  } else {
    m_router.HandleProcessPause(model::Now());
  }
}

void PacketDuty::AnswerQueries() {
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

// Returns whether there were packets.
bool PacketDuty::ServeFabric() {
  const auto datagrams = m_fabric_port.Receive();
  const TimePoint now = model::Now();
  for (const std::span<const uint8_t> datagram : datagrams) {
    Steer(datagram, nullptr, now);
  }
  m_traffic->Add(kReceivedFromFabric, datagrams.size());
  m_traffic->Add(kSendFailed, m_relay_port.Flush());
  return !datagrams.empty();
}

bool PacketDuty::ServeRelay() {
  const auto datagrams = m_relay_port.Receive();
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
  m_traffic->Add(kSendFailed, m_relay_port.Flush());
  return !datagrams.empty();
}

void PacketDuty::Steer(std::span<const uint8_t> packet,
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
      m_relay_port.Queue(
          {decision.upstream->address.address, m_settings.upstream_packet_port},
          {}, packet);
      return;
    case Action::kRelay:
      m_traffic->Add(kRelayed);
      m_relay_port.Queue(m_router.members().members()[decision.next_host].relay,
                         steering::Encode(decision.header), packet);
      return;
    case Action::kDrop:
      m_drops->Add(static_cast<size_t>(decision.drop_reason));
      return;
  }
}

}  // namespace poplarsail::runtime
