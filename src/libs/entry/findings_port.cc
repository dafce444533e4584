#include "entry/findings_port.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace poplarsail::entry {

namespace {

using boost::asio::ip::udp;
using nlohmann::json;

// Version of a finding; others are ignored.
constexpr int kFindingVersion = 1;

udp::endpoint ToUdp(const model::Endpoint& endpoint) {
  return {endpoint.address, endpoint.port};
}

}  // namespace

FindingsPort::FindingsPort(boost::asio::io_context* context,
                           const model::Endpoint& endpoint,
                           Callback callback)
    : m_socket(*context, ToUdp(endpoint)),
      m_own(ToUdp(endpoint)),
      m_callback(std::move(callback)) {}

void FindingsPort::set_neighbours(std::vector<model::Ipv4Endpoint> neighbours) {
  m_neighbours = std::move(neighbours);
}

void FindingsPort::Tell(uint64_t upstream_id) {
  const std::vector<uint8_t> message =
      json::to_msgpack(json::array({kFindingVersion, upstream_id}));
  for (const model::Ipv4Endpoint& neighbour : m_neighbours) {
    const udp::endpoint target = ToUdp(model::ToEndpoint(neighbour));
    if (target == m_own) {
      continue;
    }
    boost::system::error_code ignored;
    m_socket.send_to(boost::asio::buffer(message), target, 0, ignored);
  }
}

void FindingsPort::ReceiveNext() {
  m_socket.async_receive_from(
      boost::asio::buffer(m_buffer), m_sender,
      [this](const boost::system::error_code& error, size_t size) {
        if (error == boost::asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          Take(size);
        }
        ReceiveNext();
      });
}

void FindingsPort::Take(size_t size) {
  const json message = json::from_msgpack(
      m_buffer.begin(), m_buffer.begin() + static_cast<ptrdiff_t>(size), true,
      false);
  const bool is_usable = message.is_array() && message.size() >= 2 &&
                         message[0] == kFindingVersion &&
                         message[1].is_number_unsigned();
  if (is_usable) {
    m_callback(message[1].get<uint64_t>());
  }
}

}  // namespace poplarsail::entry
