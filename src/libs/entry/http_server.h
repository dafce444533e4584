#ifndef ENTRY_HTTP_SERVER_H_
#define ENTRY_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "model/model.h"
#include "transport/transport.h"

namespace poplarsail::entry {

struct HttpResponse {
  unsigned status = 200;
  std::string body;
};

using transport::HttpQuery;

// Interval between attempts to listen on an address that is not available.
inline constexpr std::chrono::milliseconds kListenRetryInterval{1'000};

// A server keeps this part of the file descriptors that the process may open,
// and at most kMaxConnections, so that three servers leave more than half of
// them to the store, the checks of upstreams and the queries to other hosts.
inline constexpr size_t kDescriptorsPerConnection = 8;
inline constexpr size_t kMinConnections = 4;
inline constexpr size_t kMaxConnections = 512;
// After a connection could not be accepted the server pauses for this long.
inline constexpr std::chrono::milliseconds kAcceptPause{100};

// Returns how many connections a server keeps under the limit of open files.
size_t ConnectionLimit();

// Serves requests on one address with a handler per path. A connection above
// the limit replaces the one that has been without a request for longest.
class HttpServer {
 public:
  using Handler = std::function<HttpResponse(const HttpQuery& query)>;

  // `component` names the server in the log.
  HttpServer(boost::asio::io_context* context,
             const std::string& component,
             const model::Endpoint& endpoint);

  void AddHandler(const std::string& path, Handler handler);
  // Listens as soon as the address is available.
  void Start();

 private:
  struct Connection;
  boost::system::error_code Listen();
  void RetryLater();
  void LogListenResult(const boost::system::error_code& error);
  void AcceptNext();
  void PauseAccepting();
  void Keep(const std::shared_ptr<Connection>& connection);
  void Remove(const std::shared_ptr<Connection>& connection);
  void ReadNext(const std::shared_ptr<Connection>& connection);
  HttpResponse Dispatch(const std::string& target) const;

  std::string m_component;
  model::Endpoint m_endpoint;
  boost::asio::ip::tcp::acceptor m_acceptor;
  boost::asio::steady_timer m_retry_timer;
  // Result of the last attempt to listen.
  boost::system::error_code m_listen_error;
  boost::asio::steady_timer m_accept_pause;
  // The one without a request for longest is first.
  std::list<std::shared_ptr<Connection>> m_connections;
  std::map<std::string, Handler> m_handlers;
};

}  // namespace poplarsail::entry

#endif  // ENTRY_HTTP_SERVER_H_
