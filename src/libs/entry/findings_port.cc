#include "entry/findings_port.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace poplarsail::entry {

namespace {

using boost::asio::ip::udp;
using nlohmann::json;

// Version of a finding; others are ignored.
constexpr int kFindingVersion = 1;
constexpr size_t kDatagramHeaderBytes = 28;

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

void FindingsPort::set_contacts(std::vector<model::Ipv4Endpoint> contacts) {
  m_contacts = std::move(contacts);
}

void FindingsPort::Tell(uint64_t upstream_id) {
  Send(upstream_id, false, m_neighbours);
  Send(upstream_id, true, m_contacts);
}

void FindingsPort::Send(uint64_t upstream_id,
                        bool is_to_pass_on,
                        const std::vector<model::Ipv4Endpoint>& targets) {
  const std::vector<uint8_t> message = json::to_msgpack(
      json::array({kFindingVersion, upstream_id, is_to_pass_on}));
  const auto now = std::chrono::steady_clock::now();
  for (const model::Ipv4Endpoint& neighbour : targets) {
    const udp::endpoint target = ToUdp(model::ToEndpoint(neighbour));
    if (target == m_own) {
      continue;
    }
    if (!m_budget.Take(message.size() + kDatagramHeaderBytes, now)) {
      return;
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
  if (!is_usable) {
    return;
  }
  const auto upstream_id = message[1].get<uint64_t>();
  const bool is_to_pass_on = message.size() >= 3 && message[2] == true;
  if (is_to_pass_on) {
    Send(upstream_id, false, m_neighbours);
  }
  m_callback(upstream_id);
}

}  // namespace poplarsail::entry
