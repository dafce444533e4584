#include "entry/peer_probes.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <nlohmann/json.hpp>

namespace poplarsail::entry {

namespace {

using nlohmann::json;

constexpr uint8_t kProbeVersion = 3;
constexpr uint8_t kQuestion = 1;
constexpr uint8_t kConnected = 2;
constexpr size_t kDatagramHeaderBytes = 28;

}  // namespace

PeerProbes::PeerProbes(PeerSocket* socket, Delegate* delegate)
    : m_socket(socket), m_delegate(delegate) {
  m_socket->SetHandler(kProbeVersion,
                       [this](const model::Ipv4Endpoint& sender,
                              std::span<const uint8_t> datagram) {
                         HandleDatagram(sender, datagram);
                       });
}

PeerProbes::~PeerProbes() {
  m_socket->SetHandler(kProbeVersion, nullptr);
}

void PeerProbes::SetPeers(
    const std::vector<model::Ipv4Endpoint>& local_peers,
    const std::vector<model::Ipv4Endpoint>& remote_peers) {
  m_local_peers = local_peers;
  std::erase(m_local_peers, m_socket->own_endpoint());
  m_remote_peers = remote_peers;
}

void PeerProbes::Ask(uint64_t upstream_id) {
  const size_t local_count = std::min(kProbingPeers, m_local_peers.size());
  for (size_t i = 0; i < local_count; ++i) {
    Send(m_local_peers[m_next_peer++ % m_local_peers.size()], kQuestion,
         upstream_id);
  }
  const size_t remote_count =
      std::min(kProbingPeers - local_count, m_remote_peers.size());
  for (size_t i = 0; i < remote_count; ++i) {
    Send(m_remote_peers[i], kQuestion, upstream_id);
  }
}

void PeerProbes::Send(const model::Ipv4Endpoint& receiver,
                      uint8_t type,
                      uint64_t upstream_id) {
  const std::vector<uint8_t> message =
      json::to_msgpack(json::array({kProbeVersion, type, upstream_id}));
  if (m_rate_limiter.TryConsume(message.size() + kDatagramHeaderBytes,
                                std::chrono::steady_clock::now())) {
    m_socket->Send(receiver, message);
  }
}

bool PeerProbes::IsPeer(const model::Ipv4Endpoint& endpoint) const {
  return std::ranges::find(m_local_peers, endpoint) != m_local_peers.end() ||
         std::ranges::find(m_remote_peers, endpoint) != m_remote_peers.end();
}

void PeerProbes::HandleDatagram(const model::Ipv4Endpoint& sender,
                                std::span<const uint8_t> datagram) {
  const json message =
      json::from_msgpack(datagram.begin(), datagram.end(), true, false);
  const bool is_usable = message.is_array() && message.size() >= 3 &&
                         message[1].is_number_unsigned() &&
                         message[2].is_number_unsigned();
  if (!is_usable) {
    return;
  }
  const auto upstream_id = message[2].get<uint64_t>();
  if (message[1] == kQuestion) {
    HandleQuestion(sender, upstream_id);
  } else if (message[1] == kConnected && IsPeer(sender)) {
    m_delegate->OnConnectedElsewhere(upstream_id);
  }
}

void PeerProbes::HandleQuestion(const model::Ipv4Endpoint& sender,
                                uint64_t upstream_id) {
  std::vector<model::Ipv4Endpoint>& askers = m_askers[upstream_id];
  askers.push_back(sender);
  const bool is_running = askers.size() > 1;
  if (is_running) {
    return;
  }
  m_delegate->ProbeUpstream(upstream_id, [this, upstream_id](bool connected) {
    AnswerAskers(upstream_id, connected);
  });
}

void PeerProbes::AnswerAskers(uint64_t upstream_id, bool is_connected) {
  const std::vector<model::Ipv4Endpoint> askers =
      std::exchange(m_askers[upstream_id], {});
  m_askers.erase(upstream_id);
  if (!is_connected) {
    return;
  }
  for (const model::Ipv4Endpoint& asker : askers) {
    Send(asker, kConnected, upstream_id);
  }
}

}  // namespace poplarsail::entry
