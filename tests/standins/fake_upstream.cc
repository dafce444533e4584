#include "standins/fake_upstream.h"

#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace poplarsail::standins {

using transport::Http2Connection;
using transport::HttpMessage;

FakeUpstream::FakeUpstream(boost::asio::io_context* context,
                           const UpstreamOptions& options)
    : m_context(context),
      m_options(options),
      m_packet_socket(*context,
                      {options.requests.address, options.packet_port}),
      m_acceptor(*context, {options.requests.address, options.requests.port}) {
  ReceivePacket();
  Accept();
}

model::Endpoint FakeUpstream::request_endpoint() const {
  const auto local = m_acceptor.local_endpoint();
  return {local.address(), local.port()};
}

void FakeUpstream::ReceivePacket() {
  m_packet_socket.async_receive(
      boost::asio::buffer(m_buffer),
      [this](const boost::system::error_code& error, size_t length) {
        if (error == boost::asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          RespondToPacket(length);
        }
        ReceivePacket();
      });
}

void FakeUpstream::RespondToPacket(size_t length) {
  const auto parsed = steering::ParsePacket({m_buffer.data(), length});
  if (parsed.error != steering::PacketError::kNone) {
    return;
  }
  if (parsed.summary.opens_flow) {
    m_flows.insert(parsed.summary.key);
  }
  const bool is_known = m_flows.contains(parsed.summary.key);
  std::string response;
  response += is_known ? 'A' : 'R';
  response += static_cast<char>(m_options.name.size());
  response += m_options.name;
  response.append(reinterpret_cast<const char*>(m_buffer.data()), length);
  boost::system::error_code ignored;
  m_packet_socket.send_to(
      boost::asio::buffer(response),
      {m_options.client_endpoint.address, m_options.client_endpoint.port}, 0,
      ignored);
}

void FakeUpstream::Accept() {
  m_acceptor.async_accept([this](const boost::system::error_code& error,
                                 boost::asio::ip::tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) {
      return;
    }
    if (!error) {
      const auto client = Http2Connection::CreateServer(std::move(socket), {});
      const std::weak_ptr<Http2Connection> weak = client;
      client->OnRequest([this, weak](Http2Connection::StreamId stream,
                                     const HttpMessage& request) {
        ExecuteRequest(weak, stream, request);
      });
      client->OnClosed([this, weak] { m_connections.erase(weak.lock()); });
      m_connections.insert(client);
      client->Start();
    }
    Accept();
  });
}

void FakeUpstream::ExecuteRequest(const std::weak_ptr<Http2Connection>& client,
                                  Http2Connection::StreamId stream,
                                  const HttpMessage& request) {
  const auto connection = client.lock();
  if (connection == nullptr) {
    return;
  }
  if (transport::FindHeader(request, ":path") == "/ran") {
    std::string body;
    for (const std::string& id : m_executed_requests) {
      body += id + "\n";
    }
    connection->Respond(stream, {{{":status", "200"}}, body});
    return;
  }
  if (m_running >= m_options.slots) {
    connection->Refuse(stream);
    return;
  }
  ++m_running;
  const std::string id(transport::FindHeader(request, "x-request-id"));
  m_executed_requests.push_back(id);
  auto timer = std::make_shared<boost::asio::steady_timer>(*m_context);
  timer->expires_after(m_options.service_time);
  timer->async_wait([this, timer, client, stream,
                     id](const boost::system::error_code&) {
    --m_running;
    const auto open = client.lock();
    if (open == nullptr) {
      return;
    }
    if (m_responses_to_drop > 0) {
      --m_responses_to_drop;
      open->Close();
      return;
    }
    open->Respond(stream, {{{":status", "200"}, {"x-upstream", m_options.name}},
                           "answer to " + id});
  });
}

}  // namespace poplarsail::standins
