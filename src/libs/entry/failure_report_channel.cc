#include "entry/failure_report_channel.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace poplarsail::entry {

namespace {

using boost::asio::ip::udp;
using nlohmann::json;

// Message version; messages of other versions are ignored.
constexpr int kReportVersion = 1;
constexpr size_t kDatagramHeaderBytes = 28;

udp::endpoint ToUdpEndpoint(const model::Endpoint& endpoint) {
  return {endpoint.address, endpoint.port};
}

}  // namespace

FailureReportChannel::FailureReportChannel(boost::asio::io_context* context,
                                           const model::Endpoint& endpoint,
                                           Callback callback)
    : m_socket(*context, ToUdpEndpoint(endpoint)),
      m_own_endpoint(ToUdpEndpoint(endpoint)),
      m_callback(std::move(callback)) {}

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
    const udp::endpoint target = ToUdpEndpoint(model::ToEndpoint(peer));
    if (target == m_own_endpoint) {
      continue;
    }
    if (!m_rate_limiter.TryConsume(message.size() + kDatagramHeaderBytes,
                                   now)) {
      return;
    }
    boost::system::error_code ignored;
    m_socket.send_to(boost::asio::buffer(message), target, 0, ignored);
  }
}

void FailureReportChannel::ReceiveNext() {
  m_socket.async_receive_from(
      boost::asio::buffer(m_buffer), m_sender,
      [this](const boost::system::error_code& error, size_t size) {
        if (error == boost::asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          HandleDatagram(size);
        }
        ReceiveNext();
      });
}

void FailureReportChannel::HandleDatagram(size_t size) {
  const json message = json::from_msgpack(
      m_buffer.begin(), m_buffer.begin() + static_cast<ptrdiff_t>(size), true,
      false);
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
