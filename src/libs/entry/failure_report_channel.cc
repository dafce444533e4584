#include "entry/failure_report_channel.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace poplarsail::entry {

namespace {

using nlohmann::json;

// Message version.
constexpr uint8_t kReportVersion = 1;
constexpr size_t kDatagramHeaderBytes = 28;

}  // namespace

FailureReportChannel::FailureReportChannel(PeerSocket* socket,
                                           Callback callback)
    : m_socket(socket), m_callback(std::move(callback)) {
  m_socket->SetHandler(
      kReportVersion,
      [this](const model::Ipv4Endpoint&, std::span<const uint8_t> datagram) {
        HandleDatagram(datagram);
      });
}

FailureReportChannel::~FailureReportChannel() {
  m_socket->SetHandler(kReportVersion, nullptr);
}

void FailureReportChannel::set_local_peers(
    std::vector<model::Ipv4Endpoint> local_peers) {
  m_local_peers = std::move(local_peers);
}

void FailureReportChannel::set_remote_peers(
    std::vector<model::Ipv4Endpoint> remote_peers) {
  m_remote_peers = std::move(remote_peers);
}

void FailureReportChannel::Broadcast(uint64_t upstream_id) {
  SendTo(upstream_id, false, m_local_peers);
  SendTo(upstream_id, true, m_remote_peers);
}

void FailureReportChannel::SendTo(
    uint64_t upstream_id,
    bool should_relay,
    const std::vector<model::Ipv4Endpoint>& targets) {
  const std::vector<uint8_t> message = json::to_msgpack(
      json::array({kReportVersion, upstream_id, should_relay}));
  const auto now = std::chrono::steady_clock::now();
  for (const model::Ipv4Endpoint& peer : targets) {
    if (peer == m_socket->own_endpoint()) {
      continue;
    }
    if (!m_rate_limiter.TryConsume(message.size() + kDatagramHeaderBytes,
                                   now)) {
      return;
    }
    m_socket->Send(peer, message);
  }
}

void FailureReportChannel::HandleDatagram(std::span<const uint8_t> datagram) {
  const json message =
      json::from_msgpack(datagram.begin(), datagram.end(), true, false);
  const bool is_usable = message.is_array() && message.size() >= 2 &&
                         message[0] == kReportVersion &&
                         message[1].is_number_unsigned();
  if (!is_usable) {
    return;
  }
  const auto upstream_id = message[1].get<uint64_t>();
  const bool should_relay = message.size() >= 3 && message[2] == true;
  if (should_relay) {
    SendTo(upstream_id, false, m_local_peers);
  }
  m_callback(upstream_id);
}

}  // namespace poplarsail::entry
