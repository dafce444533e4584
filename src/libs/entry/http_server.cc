#include "entry/http_server.h"

#include <algorithm>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <utility>

#include "entry/handler_errors.h"

namespace poplarsail::entry {

namespace {

namespace beast = boost::beast;
namespace http = beast::http;

// Connections without a request for this long are closed.
constexpr std::chrono::seconds kIdleTimeout{30};

}  // namespace

struct HttpServer::Connection {
  explicit Connection(boost::asio::ip::tcp::socket socket)
      : stream(std::move(socket)) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  http::request<http::empty_body> request;
  http::response<http::string_body> response;
};

HttpServer::HttpServer(boost::asio::io_context* context,
                       const model::Endpoint& endpoint)
    : m_acceptor(*context, {endpoint.address, endpoint.port}) {}

void HttpServer::AddHandler(const std::string& path, Handler handler) {
  m_handlers[path] = std::move(handler);
}

void HttpServer::AcceptNext() {
  m_acceptor.async_accept([this](const boost::system::error_code& error,
                                 boost::asio::ip::tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) {
      return;
    }
    AcceptNext();
    if (!error) {
      RunGuarded("http", [&]() {
        ReadNext(std::make_shared<Connection>(std::move(socket)));
      });
    }
  });
}

void HttpServer::ReadNext(const std::shared_ptr<Connection>& connection) {
  connection->request = {};
  connection->stream.expires_after(kIdleTimeout);
  http::async_read(
      connection->stream, connection->buffer, connection->request,
      [this, connection](const beast::error_code& read_error, size_t) {
        if (read_error) {
          return;
        }
        HttpResponse result{500, ""};
        RunGuarded("http", [&]() {
          result = Dispatch(std::string(connection->request.target()));
        });
        connection->response = {};
        connection->response.result(result.status);
        connection->response.keep_alive(connection->request.keep_alive());
        connection->response.body() = std::move(result.body);
        connection->response.prepare_payload();
        http::async_write(
            connection->stream, connection->response,
            [this, connection](const beast::error_code& write_error, size_t) {
              if (!write_error && connection->response.keep_alive()) {
                ReadNext(connection);
              }
            });
      });
}

HttpResponse HttpServer::Dispatch(const std::string& target) const {
  const size_t path_end = std::min(target.find('?'), target.size());
  const auto found = m_handlers.find(target.substr(0, path_end));
  if (found == m_handlers.end()) {
    return {404, ""};
  }
  const size_t query = std::min(path_end + 1, target.size());
  return found->second(transport::ParseHttpQuery(target.substr(query)));
}

}  // namespace poplarsail::entry
