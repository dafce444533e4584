#include "standins/object_server.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <utility>

#include <fmt/format.h>

namespace poplarsail::standins {

namespace {

namespace beast = boost::beast;
namespace http = beast::http;

std::string Chunk(const std::string& text) {
  return fmt::format("{:x}\r\n{}\r\n", text.size(), text);
}

std::string EventLine(const objects::WatchEvent& event) {
  const bool is_deleted = event.type == objects::WatchEventType::kDeleted;
  const nlohmann::json json = {{"type", is_deleted ? "DELETED" : "PUT"},
                               {"object", model::ToJson(event.object)}};
  return json.dump() + "\n";
}

// Returns the number after "key=" in a query, or `fallback`.
uint64_t QueryNumber(const std::string& target,
                     const std::string& key,
                     uint64_t default_value) {
  const size_t found = target.find(key + "=");
  if (found == std::string::npos) {
    return default_value;
  }
  return std::stoull(target.substr(found + key.size() + 1));
}

}  // namespace

struct ObjectServer::Session {
  explicit Session(boost::asio::ip::tcp::socket socket)
      : stream(std::move(socket)) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  http::request<http::string_body> request;
  http::response<http::string_body> response;
};

// A client with an open watch; writes queued chunks in order.
struct ObjectServer::Watcher : std::enable_shared_from_this<Watcher> {
  std::shared_ptr<Session> session;
  std::deque<std::string> queue;
  bool is_closed = false;

  void Send(std::string text) {
    queue.push_back(std::move(text));
    if (queue.size() == 1) {
      WriteFront();
    }
  }
  void WriteFront() {
    boost::asio::async_write(
        session->stream, boost::asio::buffer(queue.front()),
        [self = shared_from_this()](const beast::error_code& error, size_t) {
          self->queue.pop_front();
          self->is_closed |= static_cast<bool>(error);
          if (!self->is_closed && !self->queue.empty()) {
            self->WriteFront();
          }
        });
  }
};

ObjectServer::ObjectServer(boost::asio::io_context* context,
                           const model::Endpoint& endpoint)
    : ObjectServer(context, endpoint.address, endpoint.port) {}

ObjectServer::ObjectServer(boost::asio::io_context* context,
                           const boost::asio::ip::address& address,
                           uint16_t port)
    : m_context(context), m_acceptor(*context, {address, port}) {
  m_store.OnEvent(
      [this](const objects::WatchEvent& event) { Broadcast(event); });
  Accept();
}

ObjectServer::~ObjectServer() = default;

model::Endpoint ObjectServer::endpoint() const {
  const auto local = m_acceptor.local_endpoint();
  return {local.address(), local.port()};
}

void ObjectServer::Accept() {
  m_acceptor.async_accept([this](const beast::error_code& accept_error,
                                 boost::asio::ip::tcp::socket socket) {
    if (accept_error == boost::asio::error::operation_aborted) {
      return;
    }
    Accept();
    if (accept_error) {
      return;
    }
    auto session = std::make_shared<Session>(std::move(socket));
    http::async_read(session->stream, session->buffer, session->request,
                     [this, session](const beast::error_code& error, size_t) {
                       if (!error) {
                         Handle(session);
                       }
                     });
  });
}

void ObjectServer::Handle(const std::shared_ptr<Session>& session) {
  const std::string target(session->request.target());
  const std::string method(session->request.method_string());
  const std::string path = target.substr(0, target.find('?'));
  unsigned status = 200;
  std::string body;
  try {
    if (path == "/faults") {
      const auto json = nlohmann::json::parse(session->request.body());
      m_store.faults() = {json.value("down", false),
                          json.value("loseAnswers", 0)};
      if (m_store.faults().is_down) {
        m_watchers.clear();
      }
    } else if (target.starts_with("/objects?watch=")) {
      StartWatch(session, QueryNumber(target, "watch", 0));
      return;
    } else if (path == "/objects") {
      const size_t kind = target.find("kind=");
      const auto list = m_store.List(
          kind == std::string::npos ? "" : target.substr(kind + 5));
      nlohmann::json items = nlohmann::json::array();
      for (const model::Object& object : list.items) {
        items.push_back(model::ToJson(object));
      }
      body = nlohmann::json{{"resourceVersion", list.resource_version},
                            {"items", items}}
                 .dump();
    } else {
      body = HandleObject(method, path, QueryNumber(target, "expect", 0),
                          session->request.body());
    }
  } catch (const objects::UnknownOutcomeError&) {
    return;
  } catch (const objects::ConflictError& error) {
    status = 409;
    body = nlohmann::json{{"error", error.what()}}.dump();
  } catch (const objects::NotFoundError& error) {
    status = 404;
    body = nlohmann::json{{"error", error.what()}}.dump();
  } catch (const objects::CompactedError& error) {
    status = 410;
    body = nlohmann::json{{"error", error.what()}}.dump();
  } catch (const objects::UnavailableError& error) {
    status = 503;
    body = nlohmann::json{{"error", error.what()}}.dump();
  } catch (const std::exception& error) {
    status = 422;
    body = nlohmann::json{{"error", error.what()}}.dump();
  }
  session->response.result(status);
  session->response.keep_alive(false);
  session->response.body() = body;
  session->response.prepare_payload();
  http::async_write(session->stream, session->response,
                    [session](const beast::error_code&, size_t) {});
}

// `path` is /objects/KIND/NAME.
std::string ObjectServer::HandleObject(const std::string& method,
                                       const std::string& path,
                                       uint64_t expected,
                                       const std::string& body) {
  const size_t kind_start = std::string("/objects/").size();
  const size_t slash = path.find('/', kind_start);
  if (!path.starts_with("/objects/") || slash == std::string::npos) {
    throw objects::NotFoundError(path + " does not exist");
  }
  const model::ObjectKey key{path.substr(kind_start, slash - kind_start),
                             path.substr(slash + 1)};
  if (method == "GET") {
    return model::ToJson(m_store.Get(key)).dump();
  }
  if (method == "DELETE") {
    m_store.Delete(key, expected);
    return "{}";
  }
  model::Object object =
      model::ObjectFromJson(nlohmann::json::parse(body), path);
  object.key = key;
  object.resource_version = expected;
  return model::ToJson(m_store.Put(object)).dump();
}

void ObjectServer::StartWatch(const std::shared_ptr<Session>& session,
                              uint64_t version) {
  m_store.Watch(version);
  auto watcher = std::make_shared<Watcher>();
  watcher->session = session;
  watcher->Send(
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
      "Transfer-Encoding: chunked\r\n\r\n");
  for (const objects::WatchEvent& event : m_store.EventsAfter(version)) {
    watcher->Send(Chunk(EventLine(event)));
  }
  m_watchers.push_back(watcher);
}

void ObjectServer::Broadcast(const objects::WatchEvent& event) {
  std::erase_if(m_watchers, [](const std::shared_ptr<Watcher>& watcher) {
    return watcher->is_closed;
  });
  for (const auto& watcher : m_watchers) {
    watcher->Send(Chunk(EventLine(event)));
  }
}

}  // namespace poplarsail::standins
