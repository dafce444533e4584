#include "entry/http_server.h"

#include <sys/resource.h>

#include <algorithm>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <utility>

#include "entry/handler_errors.h"
#include "telemetry/telemetry.h"

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
  // Its position in the list of connections, if it is in the list.
  bool is_kept = false;
  std::list<std::shared_ptr<Connection>>::iterator position;
  beast::flat_buffer buffer;
  http::request<http::empty_body> request;
  http::response<http::string_body> response;
};

HttpServer::HttpServer(boost::asio::io_context* context,
                       HttpServerOptions options)
    : m_options(std::move(options)),
      m_acceptor(*context),
      m_retry_timer(*context),
      m_accept_pause(*context) {}

void HttpServer::AddHandler(const std::string& path, Handler handler) {
  m_handlers[path] = std::move(handler);
}

void HttpServer::Start() {
  const boost::system::error_code error = Listen();
  LogListenResult(error);
  m_listen_error = error;
  if (error) {
    RetryLater();
  } else {
    AcceptNext();
  }
}

boost::system::error_code HttpServer::Listen() {
  using Acceptor = boost::asio::ip::tcp::acceptor;
  const boost::asio::ip::tcp::endpoint local(m_options.endpoint.address,
                                             m_options.endpoint.port);
  boost::system::error_code error;
  m_acceptor.open(local.protocol(), error);
  if (!error) {
    m_acceptor.set_option(Acceptor::reuse_address(true), error);
  }
  if (!error) {
    m_acceptor.bind(local, error);
  }
  if (!error) {
    m_acceptor.listen(Acceptor::max_listen_connections, error);
  }
  if (error) {
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
  }
  return error;
}

void HttpServer::RetryLater() {
  m_retry_timer.expires_at(std::chrono::steady_clock::now() +
                           kListenRetryInterval);
  m_retry_timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      Start();
    }
  });
}

void HttpServer::LogListenResult(const boost::system::error_code& error) {
  if (error == m_listen_error) {
    return;
  }
  if (!error) {
    telemetry::Log(telemetry::LogLevel::kInfo, "http", "listening",
                   {{"server", m_options.component},
                    {"endpoint", model::ToString(m_options.endpoint)}});
    return;
  }
  telemetry::Log(telemetry::LogLevel::kError, "http",
                 "address can't be listened on, trying again",
                 {{"server", m_options.component},
                  {"endpoint", model::ToString(m_options.endpoint)},
                  {"reason", error.message()}});
}

void HttpServer::AcceptNext() {
  m_acceptor.async_accept([this](const boost::system::error_code& error,
                                 boost::asio::ip::tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) {
      return;
    }
    if (error) {
      PauseAccepting();
      return;
    }
    RunGuarded("http", [&]() {
      auto connection = std::make_shared<Connection>(std::move(socket));
      Keep(connection);
      ReadNext(connection);
    });
    AcceptNext();
  });
}

size_t HttpServer::ConnectionLimit() const {
  rlimit files{};
  if (::getrlimit(RLIMIT_NOFILE, &files) != 0) {
    return kMinConnections;
  }
  return std::clamp<size_t>(
      files.rlim_cur / kDescriptorsPerConnection, kMinConnections,
      std::max(kMinConnections, m_options.max_connections));
}

void HttpServer::PauseAccepting() {
  m_accept_pause.expires_after(kAcceptPause);
  m_accept_pause.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      AcceptNext();
    }
  });
}

void HttpServer::Keep(const std::shared_ptr<Connection>& connection) {
  // The limit of open files may be lowered while the process runs.
  while (m_connections.size() >= kMinConnections &&
         m_connections.size() >= ConnectionLimit()) {
    const std::shared_ptr<Connection> longest_idle = m_connections.front();
    m_connections.pop_front();
    longest_idle->is_kept = false;
    longest_idle->stream.close();
  }
  connection->position = m_connections.insert(m_connections.end(), connection);
  connection->is_kept = true;
}

void HttpServer::Remove(const std::shared_ptr<Connection>& connection) {
  if (std::exchange(connection->is_kept, false)) {
    m_connections.erase(connection->position);
  }
}

void HttpServer::ReadNext(const std::shared_ptr<Connection>& connection) {
  connection->request = {};
  connection->stream.expires_after(kIdleTimeout);
  http::async_read(
      connection->stream, connection->buffer, connection->request,
      [this, connection](const beast::error_code& read_error, size_t) {
        if (read_error || !connection->is_kept) {
          Remove(connection);
          return;
        }
        m_connections.splice(m_connections.end(), m_connections,
                             connection->position);
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
              if (!write_error && connection->is_kept &&
                  connection->response.keep_alive()) {
                ReadNext(connection);
              } else {
                Remove(connection);
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
