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
// so that three servers leave more than half of them to the store, the checks
// of upstreams and the queries to other hosts.
inline constexpr size_t kDescriptorsPerConnection = 8;
inline constexpr size_t kMinConnections = 4;
// After a connection could not be accepted the server pauses for this long.
inline constexpr std::chrono::milliseconds kAcceptPause{100};

// What a server is called in the log, where it listens, and how many
// connections it keeps at most.
struct HttpServerOptions {
  std::string component;
  model::Endpoint endpoint;
  size_t max_connections = 64;

  friend bool operator==(const HttpServerOptions&,
                         const HttpServerOptions&) = default;
};

// Serves requests on one address with a handler per path. A connection above
// the limit replaces the one that has been without a request for longest.
class HttpServer {
 public:
  using Handler = std::function<HttpResponse(const HttpQuery& query)>;

  HttpServer(boost::asio::io_context* context, HttpServerOptions options);

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

  // Under the limit of open files as it is now.
  size_t ConnectionLimit() const;

  HttpServerOptions m_options;
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
