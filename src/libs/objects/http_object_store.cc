#include "objects/http_object_store.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <utility>

#include <fmt/format.h>

namespace poplarsail::objects {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr uint64_t kMaxBodyBytes = 64 << 20;

// Starts an asynchronous operation and blocks until it has completed.
template <typename Start>
beast::error_code RunToCompletion(asio::io_context* context, Start start) {
  beast::error_code result = asio::error::would_block;
  start(
      [&result](const beast::error_code& error, auto&&...) { result = error; });
  context->restart();
  context->run();
  return result;
}

asio::ip::tcp::endpoint ToTcpEndpoint(const model::Endpoint& endpoint) {
  return {endpoint.address, endpoint.port};
}

http::request<http::string_body> MakeRequest(const model::Endpoint& endpoint,
                                             const std::string& method,
                                             const std::string& target,
                                             const std::string& body) {
  http::request<http::string_body> request;
  request.method(http::string_to_verb(method));
  request.target(target);
  request.version(11);
  request.set(http::field::host, model::ToString(endpoint));
  if (!body.empty()) {
    request.set(http::field::content_type, "application/json");
  }
  request.body() = body;
  request.prepare_payload();
  return request;
}

std::string GetErrorMessage(const std::string& body,
                            const std::string& target) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  if (json.is_object() && json.contains("error") && json["error"].is_string()) {
    return json["error"].get<std::string>();
  }
  return "the object API returned an error without a message for " + target;
}

[[noreturn]] void ThrowForStatus(unsigned status,
                                 const std::string& body,
                                 const std::string& target) {
  const std::string text = GetErrorMessage(body, target);
  switch (status) {
    case 404:
      throw NotFoundError(text);
    case 409:
      throw ConflictError(text);
    case 410:
      throw CompactedError(text);
    case 429:
    case 503:
      throw UnavailableError(text);
    default:
      throw RejectedError(fmt::format("{} (status {})", text, status));
  }
}

nlohmann::json ParseBody(const std::string& body) {
  nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
  if (json.is_discarded()) {
    throw UnavailableError("the object API sent a response that is not JSON");
  }
  return json;
}

std::string ObjectTarget(const ObjectKey& key) {
  return fmt::format("/objects/{}/{}", key.kind, key.name);
}

WatchEvent ParseWatchEvent(const std::string& line) {
  const nlohmann::json json = ParseBody(line);
  const std::string type = json.value("type", "");
  WatchEvent event;
  if (type == "BOOKMARK") {
    event.object.resource_version = json.value("resourceVersion", uint64_t{0});
    return event;
  }
  event.type =
      type == "DELETED" ? WatchEventType::kDeleted : WatchEventType::kPut;
  event.object = model::ObjectFromJson(
      json.value("object", nlohmann::json::object()), "watch event");
  return event;
}

// Reads the chunked body of a watch line by line.
class HttpObjectWatch : public ObjectWatch {
 public:
  HttpObjectWatch(const model::Endpoint& endpoint,
                  const std::string& target,
                  std::chrono::milliseconds timeout)
      : m_stream(m_context) {
    m_parser.body_limit(boost::none);
    m_stream.expires_after(timeout);
    Check(RunToCompletion(&m_context, [&](auto handler) {
      m_stream.async_connect(ToTcpEndpoint(endpoint), handler);
    }));
    const auto request = MakeRequest(endpoint, "GET", target, "");
    Check(RunToCompletion(&m_context, [&](auto handler) {
      http::async_write(m_stream, request, handler);
    }));
    Check(RunToCompletion(&m_context, [&](auto handler) {
      http::async_read_header(m_stream, m_buffer, m_parser, handler);
    }));
    const unsigned status = m_parser.get().result_int();
    if (status != 200) {
      ThrowForStatus(status, "", target);
    }
    m_stream.expires_never();
    StartRead();
  }

  std::optional<WatchEvent> Next(model::TimePoint deadline) override {
    while (m_lines.empty()) {
      const model::TimePoint now = model::Now();
      if (now >= deadline) {
        return std::nullopt;
      }
      m_context.restart();
      m_context.run_one_for(deadline - now);
      if (m_is_broken) {
        throw UnavailableError("the watch connection to the object API ended");
      }
    }
    const std::string line = std::move(m_lines.front());
    m_lines.pop_front();
    return ParseWatchEvent(line);
  }

 private:
  void Check(const beast::error_code& error) {
    if (error) {
      throw UnavailableError("starting a watch on the object API failed: " +
                             error.message());
    }
  }

  void StartRead() {
    http::async_read_some(m_stream, m_buffer, m_parser,
                          [this](const beast::error_code& error, size_t) {
                            ExtractLines();
                            if (error || m_parser.is_done()) {
                              m_is_broken = true;
                              return;
                            }
                            StartRead();
                          });
  }

  void ExtractLines() {
    std::string& body = m_parser.get().body();
    size_t start = 0;
    for (size_t end = body.find('\n'); end != std::string::npos;
         end = body.find('\n', start)) {
      if (end > start) {
        m_lines.push_back(body.substr(start, end - start));
      }
      start = end + 1;
    }
    body.erase(0, start);
  }

  asio::io_context m_context;
  beast::tcp_stream m_stream;
  beast::flat_buffer m_buffer;
  http::response_parser<http::string_body> m_parser;
  std::deque<std::string> m_lines;
  bool m_is_broken = false;
};

}  // namespace

HttpObjectStore::HttpObjectStore(model::Endpoint endpoint,
                                 std::chrono::milliseconds call_timeout)
    : m_endpoint(std::move(endpoint)), m_call_timeout(call_timeout) {}

HttpObjectStore::~HttpObjectStore() = default;

HttpObjectStore::Response HttpObjectStore::SendRequest(
    const std::string& method,
    const std::string& target,
    const std::string& body,
    bool is_write) {
  ++m_call_count;
  asio::io_context context;
  beast::tcp_stream stream(context);
  stream.expires_after(m_call_timeout);
  beast::error_code error = RunToCompletion(&context, [&](auto handler) {
    stream.async_connect(ToTcpEndpoint(m_endpoint), handler);
  });
  if (error) {
    throw UnavailableError(
        fmt::format("the object API at {} can't be reached: {}; check "
                    "objects.endpoint and that the platform is up",
                    model::ToString(m_endpoint), error.message()));
  }
  const auto request = MakeRequest(m_endpoint, method, target, body);
  error = RunToCompletion(&context, [&](auto handler) {
    http::async_write(stream, request, handler);
  });
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxBodyBytes);
  if (!error) {
    error = RunToCompletion(&context, [&](auto handler) {
      http::async_read(stream, buffer, parser, handler);
    });
  }
  if (error && is_write) {
    throw UnknownOutcomeError(
        "the object API did not confirm a write, which may have taken "
        "effect: " +
        error.message());
  }
  if (error) {
    throw UnavailableError("the object API did not respond: " +
                           error.message());
  }
  return {parser.get().result_int(), std::move(parser.get().body())};
}

ObjectList HttpObjectStore::List(const std::string& kind) {
  const std::string target =
      kind.empty() ? "/objects" : "/objects?kind=" + kind;
  const Response response = SendRequest("GET", target, "", false);
  if (response.status != 200) {
    ThrowForStatus(response.status, response.body, target);
  }
  const nlohmann::json json = ParseBody(response.body);
  ObjectList list;
  list.resource_version = json.value("resourceVersion", uint64_t{0});
  for (const nlohmann::json& item :
       json.value("items", nlohmann::json::array())) {
    list.items.push_back(model::ObjectFromJson(item, "object list"));
  }
  return list;
}

Object HttpObjectStore::Get(const ObjectKey& key) {
  const std::string target = ObjectTarget(key);
  const Response response = SendRequest("GET", target, "", false);
  if (response.status != 200) {
    ThrowForStatus(response.status, response.body, target);
  }
  return model::ObjectFromJson(ParseBody(response.body), target);
}

Object HttpObjectStore::Put(const Object& object) {
  const std::string target = fmt::format(
      "{}?expect={}", ObjectTarget(object.key), object.resource_version);
  const Response response =
      SendRequest("PUT", target, model::ToJson(object).dump(), true);
  if (response.status != 200) {
    ThrowForStatus(response.status, response.body, target);
  }
  return model::ObjectFromJson(ParseBody(response.body), target);
}

void HttpObjectStore::Delete(const ObjectKey& key, uint64_t expected_version) {
  const std::string target =
      fmt::format("{}?expect={}", ObjectTarget(key), expected_version);
  const Response response = SendRequest("DELETE", target, "", true);
  if (response.status != 200) {
    ThrowForStatus(response.status, response.body, target);
  }
}

std::unique_ptr<ObjectWatch> HttpObjectStore::Watch(uint64_t from_version) {
  ++m_call_count;
  return std::make_unique<HttpObjectWatch>(
      m_endpoint, fmt::format("/objects?watch={}", from_version),
      m_call_timeout);
}

}  // namespace poplarsail::objects
