#include "entry/packet_loop.h"

#include <time.h>
#include <unistd.h>

#include <string>
#include <string_view>
#include <utility>

#include <fmt/format.h>

#include "entry/handler_errors.h"
#include "telemetry/telemetry.h"

namespace poplarsail::entry {

namespace {

// Logs only decisions that place or reset a flow; packets of placed flows are
// just counted.
void LogDecision(const flows::FlowPacket& packet,
                 const flows::Decision& decision,
                 RefusalLog* refusal_log) {
  const bool is_refusal = decision.action == flows::Action::kReset;
  const bool is_logged =
      is_refusal ? refusal_log->ShouldLog(decision.reason,
                                          std::chrono::steady_clock::now())
                 : packet.is_syn && decision.action == flows::Action::kForward;
  if (!is_logged) {
    return;
  }
  const flows::Upstream* upstream = decision.upstream;
  telemetry::Log(
      telemetry::LogLevel::kInfo, "packets",
      decision.action == flows::Action::kReset ? "flow refused" : "flow placed",
      {{"flow", model::ToString(packet.key.client)},
       {"listener", model::ToString(packet.key.listener)},
       {"reason", std::string(flows::ToString(decision.reason))},
       {"copy", std::to_string(packet.retransmit_count)},
       {"upstream", upstream == nullptr
                        ? "none"
                        : fmt::format("{:x}", upstream->record.id)},
       {"domain",
        upstream == nullptr ? "none" : upstream->record.failure_domain},
       {"revision",
        std::to_string(upstream == nullptr ? 0 : upstream->revision)},
       {"flows",
        std::to_string(upstream == nullptr ? 0 : upstream->open_flows)}});
}

// Returns nullopt for the reset of what the configuration does not serve.
std::optional<flows::LossCause> LossCauseOf(flows::Reason reason) {
  switch (reason) {
    case flows::Reason::kNoRoom:
      return flows::LossCause::kNoRoom;
    case flows::Reason::kNoUpstream:
      return flows::LossCause::kNoUpstream;
    case flows::Reason::kUpstreamDead:
      return flows::LossCause::kUpstreamDead;
    case flows::Reason::kUpstreamGone:
      return flows::LossCause::kUpstreamGone;
    case flows::Reason::kUnknownTag:
      return flows::LossCause::kUnknownTag;
    default:
      return std::nullopt;
  }
}

}  // namespace

PacketLoop::PacketLoop(boost::asio::io_context* context,
                       const EntrySettings& settings,
                       const FlowCodec* codec,
                       flows::Steering* steering)
    : m_codec(codec),
      m_steering(steering),
      m_client_port(settings.client_port),
      m_socket(settings.packets.address,
               settings.packets.port,
               kReceiveBatchSize,
               kMaxPacketBytes),
      m_descriptor(*context, ::dup(m_socket.fd())),
      m_checker(
          context,
          [this](uint64_t upstream_id, CheckResult result) {
            OnCheckResult(upstream_id, result);
          },
          [this](uint64_t upstream_id) {
            if (m_on_upstream_doubt) {
              m_on_upstream_doubt(upstream_id);
            }
          }),
      m_response_timer(*context) {}

void PacketLoop::WaitForPackets() {
  m_descriptor.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                          [this](const boost::system::error_code& error) {
                            if (error) {
                              return;
                            }
                            RunGuarded("packets",
                                       [this]() { ReceivePackets(); });
                            WaitForPackets();
                          });
}

void PacketLoop::CheckForStall() {
  timespec boot_time{};
  ::clock_gettime(CLOCK_BOOTTIME, &boot_time);
  const bool is_stalled = m_stall_detector.CheckForStall(
      std::chrono::seconds(boot_time.tv_sec) +
      std::chrono::nanoseconds(boot_time.tv_nsec));
  if (is_stalled) {
    m_is_catching_up = true;
    // Copies of these SYNs have gone to other hosts meanwhile.
    m_held_syns.clear();
    telemetry::Log(telemetry::LogLevel::kWarning, "packets",
                   "host stood still");
  }
}

void PacketLoop::Poll() {
  CheckForStall();
  LogSuppressedRefusals();
  m_loss_log.Update(m_steering->losses(), std::chrono::steady_clock::now());
  if (m_is_catching_up) {
    ReceivePackets();
  }
}

void PacketLoop::LogSuppressedRefusals() {
  const auto now = std::chrono::steady_clock::now();
  for (size_t i = 0; i < flows::kReasonCount; ++i) {
    const auto reason = static_cast<flows::Reason>(i);
    const auto count = m_refusal_log.TakeSuppressed(reason, now);
    if (!count) {
      continue;
    }
    telemetry::Log(telemetry::LogLevel::kInfo, "packets", "more flows refused",
                   {{"reason", std::string(flows::ToString(reason))},
                    {"count", std::to_string(*count)}});
  }
}

bool PacketLoop::ReceivePackets() {
  CheckForStall();
  const auto now = std::chrono::steady_clock::now();
  bool is_drained = false;
  for (size_t i = 0; i < kMaxBatchesPerTurn && !is_drained; ++i) {
    const auto datagrams = m_socket.Receive();
    m_last_packet = datagrams.empty() ? m_last_packet : now;
    for (const std::span<const uint8_t> datagram : datagrams) {
      RunGuarded("packets", [&]() { HandlePacket(datagram, now); });
    }
    Flush();
    is_drained = datagrams.size() < kReceiveBatchSize;
  }
  m_is_catching_up &= !is_drained;
  ScheduleResponseTimeouts();
  return is_drained;
}

void PacketLoop::ScheduleResponseTimeouts() {
  const auto check = m_pending_responses.NextCheck(m_response_timer_expiry);
  if (!check) {
    return;
  }
  m_response_timer_expiry = check;
  m_response_timer.expires_at(*check);
  m_response_timer.async_wait(
      [this, expiry = *check](const boost::system::error_code& error) {
        // The timer may have been set to an earlier time.
        if (!error) {
          OnResponseTimer(expiry);
        }
      });
}

void PacketLoop::OnResponseTimer(flows::SteadyTime expiry) {
  RunGuarded("packets", [&]() {
    // Responses may already be queued in the socket: read them first.
    const bool is_drained = ReceivePackets();
    const bool is_overdue =
        expiry + kMaxResponseTimeoutDelay <= std::chrono::steady_clock::now();
    if (is_drained || (is_overdue && !m_is_catching_up)) {
      HandleResponseTimeouts();
    }
  });
  m_response_timer_expiry.reset();
  ScheduleResponseTimeouts();
}

void PacketLoop::HandleResponseTimeouts() {
  const auto now = std::chrono::steady_clock::now();
  while (const auto due = m_pending_responses.PopExpired(now)) {
    const flows::ResponseTimeoutDecision decision =
        m_steering->DecideOnTimeout(due->packet, now);
    if (decision.check != nullptr) {
      StartCheck(*decision.check);
    }
    if (decision.probe != nullptr) {
      ProbeForTimeout(*decision.probe);
    }
    if (decision.next_deadline) {
      m_pending_responses.Add(due->packet, due->datagram,
                              *decision.next_deadline);
    }
    if (decision.resend) {
      ++m_counts.by_reason[static_cast<size_t>(decision.resend->reason)];
      LogDecision(due->packet, *decision.resend, &m_refusal_log);
      Execute(due->packet, *decision.resend, due->datagram);
      Flush();
      if (m_on_syn_resent) {
        m_on_syn_resent(due->packet.key, decision.resend->upstream->record.id);
      }
    }
  }
}

void PacketLoop::HandlePacket(std::span<const uint8_t> datagram,
                              flows::SteadyTime now) {
  const auto packet = m_codec->Decode(datagram);
  if (!packet) {
    ++m_counts.malformed;
    return;
  }
  if (m_is_catching_up && packet->is_syn) {
    ++m_counts.stale;
    return;
  }
  const flows::Decision decision = m_steering->Decide(*packet, now);
  ++m_counts.by_reason[static_cast<size_t>(decision.reason)];
  LogDecision(*packet, decision, &m_refusal_log);
  Execute(*packet, decision, datagram);
  AwaitResponse(*packet, decision, datagram);
  if (decision.action == flows::Action::kAwaitPlacement) {
    m_held_syns[decision.token] = {
        *packet, now + kHeldSynTimeout, {datagram.begin(), datagram.end()}};
  }
  if (decision.action == flows::Action::kHold) {
    Hold(datagram, now);
  }
}

void PacketLoop::Execute(const flows::FlowPacket& packet,
                         const flows::Decision& decision,
                         std::span<const uint8_t> datagram) {
  switch (decision.action) {
    case flows::Action::kForward: {
      const flows::Upstream& upstream = *decision.upstream;
      const PacketHeader header = m_codec->EncodeForUpstream(
          datagram, upstream.record.id, decision.tag);
      m_socket.Queue(model::ToEndpoint(upstream.record.endpoint), header.view(),
                     m_codec->Payload(datagram));
      return;
    }
    case flows::Action::kReset:
      CountReset(packet, decision.reason);
      SendReset(packet);
      return;
    case flows::Action::kDrop:
    case flows::Action::kHold:
    case flows::Action::kAwaitPlacement:
      return;
  }
}

std::optional<PacketLoop::HeldSyn> PacketLoop::TakeHeldSyn(uint32_t token) {
  auto held = m_held_syns.extract(token);
  const bool is_usable =
      held && std::chrono::steady_clock::now() < held.mapped().expiry;
  return is_usable ? std::optional(std::move(held.mapped())) : std::nullopt;
}

FlowScheduling::PlaceResult PacketLoop::PlaceFlow(uint32_t token,
                                                  uint64_t upstream_id) {
  const auto syn = TakeHeldSyn(token);
  if (!syn || !m_steering->IsHeld(syn->packet, token)) {
    return FlowScheduling::PlaceResult::kUnknownFlow;
  }
  const flows::Decision decision = m_steering->PlaceHeldFlow(
      syn->packet, token, upstream_id, std::chrono::steady_clock::now());
  if (decision.action != flows::Action::kForward) {
    m_held_syns[token] = *syn;
    return FlowScheduling::PlaceResult::kUnusableUpstream;
  }
  ExecuteLater(*syn, decision);
  return FlowScheduling::PlaceResult::kPlaced;
}

void PacketLoop::PlaceFlowLocally(uint32_t token) {
  if (const auto syn = TakeHeldSyn(token)) {
    ExecuteLater(*syn,
                 m_steering->PlaceHeldFlowLocally(
                     syn->packet, token, std::chrono::steady_clock::now()));
  }
}

void PacketLoop::RefuseFlow(uint32_t token, scheduling::RefusalReason reason) {
  if (reason == scheduling::RefusalReason::kNoUpstream) {
    // The scheduler knows the upstreams of its failure domain only.
    PlaceFlowLocally(token);
    return;
  }
  if (const auto syn = TakeHeldSyn(token)) {
    ExecuteLater(*syn, m_steering->RefuseHeldFlow(
                           syn->packet, token, flows::Reason::kNoRoom,
                           std::chrono::steady_clock::now()));
  }
}

void PacketLoop::ExecuteLater(const HeldSyn& syn,
                              const flows::Decision& decision) {
  ++m_counts.by_reason[static_cast<size_t>(decision.reason)];
  LogDecision(syn.packet, decision, &m_refusal_log);
  Execute(syn.packet, decision, syn.datagram);
  Flush();
  if (decision.response_deadline) {
    AwaitResponse(syn.packet, decision, syn.datagram);
    ScheduleResponseTimeouts();
  }
}

void PacketLoop::AwaitResponse(const flows::FlowPacket& packet,
                               const flows::Decision& decision,
                               std::span<const uint8_t> datagram) {
  if (decision.response_deadline) {
    m_pending_responses.Add(
        packet, datagram,
        decision.probe_time.value_or(*decision.response_deadline));
  }
}

void PacketLoop::CountReset(const flows::FlowPacket& packet,
                            flows::Reason reason) {
  if (const auto cause = LossCauseOf(reason)) {
    m_steering->losses().Add(packet.key.listener, *cause);
  }
}

void PacketLoop::SendReset(const flows::FlowPacket& packet) {
  const PacketHeader header = m_codec->EncodeReset(packet);
  m_socket.Queue(model::ToEndpoint({packet.key.client.address, m_client_port}),
                 header.view(), {});
}

void PacketLoop::Hold(std::span<const uint8_t> datagram,
                      flows::SteadyTime now) {
  if (m_held_packets.size() >= kMaxHeldPackets) {
    m_held_packets.pop_front();
  }
  m_held_packets.push_back(
      {{datagram.begin(), datagram.end()}, now + kHoldTimeout});
}

void PacketLoop::RetryHeldPackets() {
  const auto now = std::chrono::steady_clock::now();
  const std::deque<HeldPacket> held = std::exchange(m_held_packets, {});
  for (const HeldPacket& packet : held) {
    if (now < packet.deadline) {
      RunGuarded("packets", [&]() { HandlePacket(packet.datagram, now); });
    }
  }
  Flush();
}

void PacketLoop::Flush() {
  m_counts.unsent += m_socket.Flush();
}

}  // namespace poplarsail::entry
