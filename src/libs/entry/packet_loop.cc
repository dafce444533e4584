#include "entry/packet_loop.h"

#include <unistd.h>

#include <string>
#include <utility>

#include <fmt/format.h>

#include "telemetry/telemetry.h"

namespace poplarsail::entry {

namespace {

// Logs the decisions that place or end a flow; packets of placed flows are
// counted only.
void LogDecision(const flows::FlowPacket& packet,
                 const flows::Decision& decision) {
  const bool is_logged =
      decision.action == flows::Action::kReset ||
      (packet.is_opening && decision.action == flows::Action::kForward);
  if (!is_logged) {
    return;
  }
  const flows::Upstream* upstream = decision.upstream;
  telemetry::Log(
      telemetry::LogLevel::kInfo, "packets",
      decision.action == flows::Action::kReset ? "flow refused" : "flow placed",
      {{"flow", model::ToString(packet.key.caller)},
       {"listener", model::ToString(packet.key.listener)},
       {"reason", std::string(flows::ToString(decision.reason))},
       {"copy", std::to_string(packet.copy_number)},
       {"upstream", upstream == nullptr
                        ? "none"
                        : fmt::format("{:x}", upstream->record.id)},
       {"revision",
        std::to_string(upstream == nullptr ? 0 : upstream->revision)},
       {"flows",
        std::to_string(upstream == nullptr ? 0 : upstream->open_flows)}});
}

}  // namespace

PacketLoop::PacketLoop(boost::asio::io_context* context,
                       const EntrySettings& settings,
                       const FlowCodec* codec,
                       flows::Steering* steering)
    : m_codec(codec),
      m_steering(steering),
      m_caller_port(settings.caller_port),
      m_port(settings.packets.address,
             settings.packets.port,
             kPacketBatch,
             kMaxPacketBytes),
      m_descriptor(*context, ::dup(m_port.fd())) {}

void PacketLoop::WaitForPackets() {
  m_descriptor.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                          [this](const boost::system::error_code& error) {
                            if (error) {
                              return;
                            }
                            TakePackets();
                            WaitForPackets();
                          });
}

void PacketLoop::TakePackets() {
  const auto now = std::chrono::steady_clock::now();
  while (true) {
    const auto datagrams = m_port.Receive();
    for (const std::span<const uint8_t> datagram : datagrams) {
      Handle(datagram, now);
    }
    Flush();
    if (datagrams.size() < kPacketBatch) {
      return;
    }
  }
}

void PacketLoop::Handle(std::span<const uint8_t> datagram,
                        flows::SteadyTime now) {
  const auto packet = m_codec->Decode(datagram);
  if (!packet) {
    ++m_counts.malformed;
    return;
  }
  const flows::Decision decision = m_steering->Decide(*packet, now);
  ++m_counts.by_reason[static_cast<size_t>(decision.reason)];
  LogDecision(*packet, decision);
  Execute(*packet, decision, datagram);
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
      const PacketHead head = m_codec->EncodeForUpstream(
          datagram, upstream.record.id, decision.tag);
      m_port.Queue(model::ToEndpoint(upstream.record.endpoint), head.view(),
                   m_codec->Data(datagram));
      return;
    }
    case flows::Action::kReset: {
      const PacketHead head = m_codec->EncodeReset(packet);
      m_port.Queue(
          model::ToEndpoint({packet.key.caller.address, m_caller_port}),
          head.view(), {});
      return;
    }
    case flows::Action::kDrop:
    case flows::Action::kHold:
      return;
  }
}

void PacketLoop::Hold(std::span<const uint8_t> datagram,
                      flows::SteadyTime now) {
  if (m_held.size() >= kMaxHeldPackets) {
    m_held.pop_front();
  }
  m_held.push_back({{datagram.begin(), datagram.end()}, now + kHoldTimeout});
}

void PacketLoop::ReleaseHeld() {
  const auto now = std::chrono::steady_clock::now();
  const std::deque<HeldPacket> held = std::exchange(m_held, {});
  for (const HeldPacket& packet : held) {
    if (now < packet.deadline) {
      Handle(packet.datagram, now);
    }
  }
  Flush();
}

void PacketLoop::Flush() {
  m_counts.unsent += m_port.Flush();
}

}  // namespace poplarsail::entry
