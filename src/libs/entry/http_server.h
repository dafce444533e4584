#ifndef ENTRY_HTTP_SERVER_H_
#define ENTRY_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
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

// Serves requests on one address with a handler per path.
class HttpServer {
 public:
  using Handler = std::function<HttpResponse(const HttpQuery& query)>;

  // Throws boost::system::system_error if the address can't be bound.
  HttpServer(boost::asio::io_context* context, const model::Endpoint& endpoint);

  void AddHandler(const std::string& path, Handler handler);
  void Start() { AcceptNext(); }

 private:
  struct Connection;
  void AcceptNext();
  void ReadNext(const std::shared_ptr<Connection>& connection);
  HttpResponse Dispatch(const std::string& target) const;

  boost::asio::ip::tcp::acceptor m_acceptor;
  std::map<std::string, Handler> m_handlers;
};

}  // namespace poplarsail::entry

#endif  // ENTRY_HTTP_SERVER_H_
