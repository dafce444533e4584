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
  // Bytes arrive late.
  kDelay,
  // Open connections are reset, new ones refused.
  kReset,
  // Bytes toward the client are swallowed.
  kDropResponses,
  // Connections stay open and nothing passes, also after the mode has ended.
  kBlackhole,
};

// Stands between one daemon and the store.
class TcpProxy {
 public:
  TcpProxy(boost::asio::io_context* context,
           const model::Endpoint& listen,
           const model::Endpoint& target);

  void set_mode(ProxyMode mode);

 private:
  struct Link;
  void AcceptNext();
  void Pump(const std::shared_ptr<Link>& link, bool to_client);

  boost::asio::io_context* m_context;
  boost::asio::ip::tcp::acceptor m_acceptor;
  boost::asio::ip::tcp::endpoint m_target;
  ProxyMode m_mode = ProxyMode::kPass;
  std::vector<std::weak_ptr<Link>> m_links;
};

}  // namespace poplarsail::soak

#endif  // SOAK_TCP_PROXY_H_
