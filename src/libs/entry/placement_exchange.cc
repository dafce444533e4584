#include "entry/placement_exchange.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

#include <nlohmann/json.hpp>

namespace poplarsail::entry {

namespace {

using nlohmann::json;

constexpr uint8_t kPlacementVersion = 5;
constexpr size_t kFieldCount = 6;
constexpr size_t kDatagramHeaderBytes = 28;

template <typename Integer>
bool Holds(const json& value) {
  return value.is_number_unsigned() &&
         value.get<uint64_t>() <= std::numeric_limits<Integer>::max();
}

bool IsEndpoint(const json& address, const json& port) {
  return Holds<uint32_t>(address) && Holds<uint16_t>(port);
}

model::Ipv4Endpoint ToEndpoint(const json& address, const json& port) {
  return {address.get<uint32_t>(), port.get<uint16_t>()};
}

}  // namespace

PlacementExchange::PlacementExchange(PeerSocket* socket, Callback callback)
    : m_socket(socket), m_callback(std::move(callback)) {
  m_socket->SetHandler(kPlacementVersion,
                       [this](const model::Ipv4Endpoint& sender,
                              std::span<const uint8_t> datagram) {
                         HandleDatagram(sender, datagram);
                       });
}

PlacementExchange::~PlacementExchange() {
  m_socket->SetHandler(kPlacementVersion, nullptr);
}

void PlacementExchange::set_peers(
    const std::vector<model::Ipv4Endpoint>& peers) {
  m_peers = peers;
  std::erase(m_peers, m_socket->own_endpoint());
}

void PlacementExchange::Broadcast(const flows::FlowKey& key,
                                  uint64_t upstream_id) {
  const std::vector<uint8_t> message = json::to_msgpack(
      json::array({kPlacementVersion, key.client.address, key.client.port,
                   key.listener.address, key.listener.port, upstream_id}));
  const auto now = std::chrono::steady_clock::now();
  for (const model::Ipv4Endpoint& peer : m_peers) {
    if (!m_rate_limiter.TryConsume(message.size() + kDatagramHeaderBytes,
                                   now)) {
      return;
    }
    m_socket->Send(peer, message);
  }
}

void PlacementExchange::HandleDatagram(const model::Ipv4Endpoint& sender,
                                       std::span<const uint8_t> datagram) {
  const json message =
      json::from_msgpack(datagram.begin(), datagram.end(), true, false);
  const bool is_from_peer = std::ranges::find(m_peers, sender) != m_peers.end();
  const bool is_usable = message.is_array() && message.size() >= kFieldCount &&
                         IsEndpoint(message[1], message[2]) &&
                         IsEndpoint(message[3], message[4]) &&
                         Holds<uint64_t>(message[5]);
  if (!is_from_peer || !is_usable) {
    return;
  }
  m_callback(
      {ToEndpoint(message[1], message[2]), ToEndpoint(message[3], message[4])},
      message[5].get<uint64_t>());
}

}  // namespace poplarsail::entry
