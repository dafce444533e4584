#include "entry/overdue_exchange.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

namespace poplarsail::entry {

namespace {

using nlohmann::json;

constexpr uint8_t kOverdueVersion = 4;
constexpr size_t kDatagramHeaderBytes = 28;

// Returns nullopt for a malformed entry.
std::optional<flows::OverdueCount> ParseCount(const json& entry) {
  const bool is_usable = entry.is_array() && entry.size() >= 2 &&
                         entry[0].is_number_unsigned() &&
                         entry[1].is_number_unsigned();
  if (!is_usable) {
    return std::nullopt;
  }
  const auto requests =
      std::min<uint64_t>(entry[1].get<uint64_t>(), kMaxOverdueRequests);
  return flows::OverdueCount{entry[0].get<uint64_t>(),
                             static_cast<uint32_t>(requests)};
}

}  // namespace

OverdueExchange::OverdueExchange(PeerSocket* socket, Callback callback)
    : m_socket(socket), m_callback(std::move(callback)) {
  m_socket->SetHandler(kOverdueVersion,
                       [this](const model::Ipv4Endpoint& sender,
                              std::span<const uint8_t> datagram) {
                         HandleDatagram(sender, datagram);
                       });
}

OverdueExchange::~OverdueExchange() {
  m_socket->SetHandler(kOverdueVersion, nullptr);
}

void OverdueExchange::set_peers(const std::vector<model::Ipv4Endpoint>& peers) {
  m_peers = peers;
  std::erase(m_peers, m_socket->own_endpoint());
}

void OverdueExchange::Broadcast(
    const std::vector<flows::OverdueCount>& counts) {
  if (counts.empty()) {
    return;
  }
  json entries = json::array();
  for (const flows::OverdueCount& count : counts) {
    if (entries.size() < kMaxOverdueUpstreams) {
      entries.push_back(json::array({count.upstream_id, count.requests}));
    }
  }
  const std::vector<uint8_t> message =
      json::to_msgpack(json::array({kOverdueVersion, std::move(entries)}));
  const auto now = std::chrono::steady_clock::now();
  for (const model::Ipv4Endpoint& peer : m_peers) {
    if (!m_rate_limiter.TryConsume(message.size() + kDatagramHeaderBytes,
                                   now)) {
      return;
    }
    m_socket->Send(peer, message);
  }
}

void OverdueExchange::HandleDatagram(const model::Ipv4Endpoint& sender,
                                     std::span<const uint8_t> datagram) {
  const json message =
      json::from_msgpack(datagram.begin(), datagram.end(), true, false);
  const bool is_from_peer = std::ranges::find(m_peers, sender) != m_peers.end();
  const bool is_usable = message.is_array() && message.size() >= 2 &&
                         message[1].is_array() &&
                         message[1].size() <= kMaxOverdueUpstreams;
  if (!is_from_peer || !is_usable) {
    return;
  }
  std::vector<flows::OverdueCount> counts;
  for (const json& entry : message[1]) {
    if (const auto count = ParseCount(entry)) {
      counts.push_back(*count);
    }
  }
  m_callback(counts);
}

}  // namespace poplarsail::entry
