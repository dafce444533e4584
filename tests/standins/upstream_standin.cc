#include "standins/upstream_standin.h"

#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace poplarsail::standins {

using transport::Http2Connection;
using transport::HttpMessage;

UpstreamStandin::UpstreamStandin(boost::asio::io_context* context,
                                 const UpstreamOptions& options)
    : m_context(context),
      m_options(options),
      m_packets(*context, {options.requests.address, options.packet_port}),
      m_acceptor(*context, {options.requests.address, options.requests.port}) {
  ReceivePacket();
  Accept();
}

model::Endpoint UpstreamStandin::request_endpoint() const {
  const auto local = m_acceptor.local_endpoint();
  return {local.address(), local.port()};
}

void UpstreamStandin::ReceivePacket() {
  m_packets.async_receive(
      boost::asio::buffer(m_buffer),
      [this](const boost::system::error_code& error, size_t length) {
        if (error == boost::asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          AnswerPacket(length);
        }
        ReceivePacket();
      });
}

void UpstreamStandin::AnswerPacket(size_t length) {
  const auto parsed = steering::ParsePacket({m_buffer.data(), length});
  if (parsed.error != steering::PacketError::kNone) {
    return;
  }
  if (parsed.summary.opens_flow) {
    m_flows.insert(parsed.summary.key);
  }
  const bool is_known = m_flows.contains(parsed.summary.key);
  std::string answer;
  answer += is_known ? 'A' : 'R';
  answer += static_cast<char>(m_options.name.size());
  answer += m_options.name;
  answer.append(reinterpret_cast<const char*>(m_buffer.data()), length);
  boost::system::error_code ignored;
  m_packets.send_to(boost::asio::buffer(answer),
                    {m_options.callers.address, m_options.callers.port}, 0,
                    ignored);
}

void UpstreamStandin::Accept() {
  m_acceptor.async_accept([this](const boost::system::error_code& error,
                                 boost::asio::ip::tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) {
      return;
    }
    if (!error) {
      const auto caller = Http2Connection::CreateServer(std::move(socket), {});
      const std::weak_ptr<Http2Connection> weak = caller;
      caller->OnRequest([this, weak](Http2Connection::StreamId stream,
                                     const HttpMessage& request) {
        RunRequest(weak, stream, request);
      });
      caller->OnClosed([this, weak] { m_callers.erase(weak.lock()); });
      m_callers.insert(caller);
      caller->Start();
    }
    Accept();
  });
}

void UpstreamStandin::RunRequest(const std::weak_ptr<Http2Connection>& caller,
                                 Http2Connection::StreamId stream,
                                 const HttpMessage& request) {
  const auto connection = caller.lock();
  if (connection == nullptr) {
    return;
  }
  if (transport::FindHeader(request, ":path") == "/ran") {
    std::string body;
    for (const std::string& id : m_ran) {
      body += id + "\n";
    }
    connection->Answer(stream, {{{":status", "200"}}, body});
    return;
  }
  if (m_running >= m_options.slots) {
    connection->Refuse(stream);
    return;
  }
  ++m_running;
  const std::string id(transport::FindHeader(request, "x-request-id"));
  m_ran.push_back(id);
  auto timer = std::make_shared<boost::asio::steady_timer>(*m_context);
  timer->expires_after(m_options.service_time);
  timer->async_wait([this, timer, caller, stream,
                     id](const boost::system::error_code&) {
    --m_running;
    const auto open = caller.lock();
    if (open == nullptr) {
      return;
    }
    if (m_lose_answers > 0) {
      --m_lose_answers;
      open->Close();
      return;
    }
    open->Answer(stream, {{{":status", "200"}, {"x-upstream", m_options.name}},
                          "answer to " + id});
  });
}

}  // namespace poplarsail::standins
