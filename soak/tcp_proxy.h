#ifndef SOAK_TCP_PROXY_H_
#define SOAK_TCP_PROXY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <vector>

#include "model/model.h"

namespace poplarsail::soak {

enum class ProxyMode : uint8_t {
  kPass,
  // Bytes are forwarded with a delay.
  kDelay,
  // Open connections are reset, new ones refused.
  kReset,
  // Bytes toward the client are discarded.
  kDropResponses,
  // Connections stay open and nothing is forwarded on them, even after the mode
  // has changed.
  kBlackhole,
};

// A TCP proxy between one daemon and the store that simulates network faults.
class TcpProxy {
 public:
  TcpProxy(boost::asio::io_context* context,
           const model::Endpoint& listen,
           const model::Endpoint& target);

  void set_mode(ProxyMode mode);

 private:
  struct Connection;
  void AcceptNext();
  void Forward(const std::shared_ptr<Connection>& connection, bool to_client);

  boost::asio::io_context* m_context;
  boost::asio::ip::tcp::acceptor m_acceptor;
  boost::asio::ip::tcp::endpoint m_target;
  ProxyMode m_mode = ProxyMode::kPass;
  std::vector<std::weak_ptr<Connection>> m_connections;
};

}  // namespace poplarsail::soak

#endif  // SOAK_TCP_PROXY_H_
