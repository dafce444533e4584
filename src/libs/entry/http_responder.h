#ifndef ENTRY_HTTP_RESPONDER_H_
#define ENTRY_HTTP_RESPONDER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "model/model.h"
#include "transport/transport.h"

namespace poplarsail::entry {

struct HttpAnswer {
  unsigned status = 200;
  std::string body;
};

using transport::HttpQuery;

// Answers GET requests on one address, by path.
class HttpResponder {
 public:
  using Handler = std::function<HttpAnswer(const HttpQuery& query)>;

  // Throws boost::system::system_error where the address can't be bound.
  HttpResponder(boost::asio::io_context* context,
                const model::Endpoint& endpoint);

  void Handle(const std::string& path, Handler handler);
  void Start() { AcceptNext(); }

 private:
  struct Connection;
  void AcceptNext();
  void ReadNext(const std::shared_ptr<Connection>& connection);
  HttpAnswer Answer(const std::string& target) const;

  boost::asio::ip::tcp::acceptor m_acceptor;
  std::map<std::string, Handler> m_handlers;
};

}  // namespace poplarsail::entry

#endif  // ENTRY_HTTP_RESPONDER_H_
