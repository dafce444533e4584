#include "soak/tcp_proxy.h"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace poplarsail::soak {

namespace {

constexpr std::chrono::milliseconds kDelay{300};

}  // namespace

struct TcpProxy::Connection {
  explicit Connection(boost::asio::io_context* context)
      : client(*context),
        server(*context),
        timers{boost::asio::steady_timer(*context),
               boost::asio::steady_timer(*context)} {}

  void Close() {
    boost::system::error_code ignored;
    for (boost::asio::ip::tcp::socket* socket : {&client, &server}) {
      socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
  }

  boost::asio::ip::tcp::socket client;
  boost::asio::ip::tcp::socket server;
  std::array<boost::asio::steady_timer, 2> timers;
  std::array<std::array<char, 8192>, 2> buffers{};
  bool is_blackholed = false;
};

TcpProxy::TcpProxy(boost::asio::io_context* context,
                   const model::Endpoint& listen,
                   const model::Endpoint& target)
    : m_context(context),
      m_acceptor(*context, {listen.address, listen.port}),
      m_target(target.address, target.port) {
  AcceptNext();
}

void TcpProxy::set_mode(ProxyMode mode) {
  m_mode = mode;
  for (const std::weak_ptr<Connection>& known : m_connections) {
    const std::shared_ptr<Connection> connection = known.lock();
    if (!connection) {
      continue;
    }
    connection->is_blackholed =
        connection->is_blackholed || mode == ProxyMode::kBlackhole;
    if (mode == ProxyMode::kReset) {
      connection->Close();
    }
  }
}

void TcpProxy::AcceptNext() {
  auto connection = std::make_shared<Connection>(m_context);
  m_acceptor.async_accept(
      connection->client,
      [this, connection](const boost::system::error_code& error) {
        if (error) {
          return;
        }
        AcceptNext();
        if (m_mode == ProxyMode::kReset) {
          connection->Close();
          return;
        }
        connection->is_blackholed = m_mode == ProxyMode::kBlackhole;
        std::erase_if(m_connections,
                      [](const auto& known) { return known.expired(); });
        m_connections.push_back(connection);
        connection->server.async_connect(
            m_target,
            [this, connection](const boost::system::error_code& failed) {
              if (!failed) {
                Forward(connection, true);
                Forward(connection, false);
              }
            });
      });
}

void TcpProxy::Forward(const std::shared_ptr<Connection>& connection,
                       bool to_client) {
  auto& from = to_client ? connection->server : connection->client;
  auto& buffer = connection->buffers[to_client ? 1 : 0];
  from.async_read_some(
      boost::asio::buffer(buffer),
      [this, connection, to_client, &buffer](
          const boost::system::error_code& error, size_t size) {
        if (error) {
          connection->Close();
          return;
        }
        const bool is_lost = connection->is_blackholed ||
                             (m_mode == ProxyMode::kDropResponses && to_client);
        if (is_lost) {
          // Bytes after the lost ones are lost too: the connection stays
          // blackholed.
          connection->is_blackholed = true;
          Forward(connection, to_client);
          return;
        }
        auto& timer = connection->timers[to_client ? 1 : 0];
        timer.expires_after(m_mode == ProxyMode::kDelay
                                ? kDelay
                                : std::chrono::milliseconds(0));
        timer.async_wait([this, connection, to_client, size,
                          &buffer](const boost::system::error_code& cancelled) {
          if (cancelled) {
            return;
          }
          auto& to = to_client ? connection->client : connection->server;
          boost::asio::async_write(
              to, boost::asio::buffer(buffer, size),
              [this, connection, to_client](
                  const boost::system::error_code& failed, size_t) {
                if (failed) {
                  connection->Close();
                  return;
                }
                Forward(connection, to_client);
              });
        });
      });
}

}  // namespace poplarsail::soak
