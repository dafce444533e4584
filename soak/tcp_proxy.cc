#include "soak/tcp_proxy.h"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace poplarsail::soak {

namespace {

constexpr std::chrono::milliseconds kDelay{300};

}  // namespace

struct TcpProxy::Link {
  explicit Link(boost::asio::io_context* context)
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
  bool is_silenced = false;
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
  for (const std::weak_ptr<Link>& known : m_links) {
    const std::shared_ptr<Link> link = known.lock();
    if (!link) {
      continue;
    }
    link->is_silenced = link->is_silenced || mode == ProxyMode::kBlackhole;
    if (mode == ProxyMode::kReset) {
      link->Close();
    }
  }
}

void TcpProxy::AcceptNext() {
  auto link = std::make_shared<Link>(m_context);
  m_acceptor.async_accept(
      link->client, [this, link](const boost::system::error_code& error) {
        if (error) {
          return;
        }
        AcceptNext();
        if (m_mode == ProxyMode::kReset) {
          link->Close();
          return;
        }
        link->is_silenced = m_mode == ProxyMode::kBlackhole;
        std::erase_if(m_links,
                      [](const auto& known) { return known.expired(); });
        m_links.push_back(link);
        link->server.async_connect(
            m_target, [this, link](const boost::system::error_code& failed) {
              if (!failed) {
                Pump(link, true);
                Pump(link, false);
              }
            });
      });
}

void TcpProxy::Pump(const std::shared_ptr<Link>& link, bool to_client) {
  auto& from = to_client ? link->server : link->client;
  auto& buffer = link->buffers[to_client ? 1 : 0];
  from.async_read_some(
      boost::asio::buffer(buffer),
      [this, link, to_client, &buffer](const boost::system::error_code& error,
                                       size_t size) {
        if (error) {
          link->Close();
          return;
        }
        const bool is_lost =
            link->is_silenced || (m_mode == ProxyMode::kDropResponses && to_client);
        if (is_lost) {
          // A cut loses what follows as well: the connection stays silent.
          link->is_silenced = true;
          Pump(link, to_client);
          return;
        }
        auto& timer = link->timers[to_client ? 1 : 0];
        timer.expires_after(m_mode == ProxyMode::kDelay
                                ? kDelay
                                : std::chrono::milliseconds(0));
        timer.async_wait([this, link, to_client, size,
                          &buffer](const boost::system::error_code& cancelled) {
          if (cancelled) {
            return;
          }
          auto& to = to_client ? link->client : link->server;
          boost::asio::async_write(
              to, boost::asio::buffer(buffer, size),
              [this, link, to_client](const boost::system::error_code& failed,
                                      size_t) {
                if (failed) {
                  link->Close();
                  return;
                }
                Pump(link, to_client);
              });
        });
      });
}

}  // namespace poplarsail::soak
