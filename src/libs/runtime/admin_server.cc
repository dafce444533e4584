#include "runtime/admin_server.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <utility>

#include <fmt/format.h>
#include <prometheus/text_serializer.h>
#include <nlohmann/json.hpp>

#include "transport/transport.h"

namespace poplarsail::runtime {

namespace {

namespace beast = boost::beast;
namespace http = beast::http;

constexpr std::chrono::milliseconds kRequestTimeout{2'000};
constexpr std::chrono::milliseconds kExplainTimeout{1'000};
constexpr std::chrono::milliseconds kStopCheckInterval{50};

// One connection, which serves a single request.
struct Exchange : std::enable_shared_from_this<Exchange> {
  explicit Exchange(boost::asio::ip::tcp::socket socket)
      : stream(std::move(socket)) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  http::request<http::string_body> request;
  http::response<http::string_body> response;
};

}  // namespace

AdminServer::AdminServer(
    const model::Settings& settings,
    PacketWorker* packets,
    std::vector<std::shared_ptr<telemetry::CounterFamily>> counters,
    std::function<bool()> is_ready)
    : m_acceptor(m_context, {settings.address, settings.admin_port}),
      m_packets(packets),
      m_counters(std::move(counters)),
      m_is_ready(std::move(is_ready)) {}

void AdminServer::Run(const std::atomic<bool>& stop) {
  AcceptNext();
  while (!stop.load(std::memory_order_relaxed)) {
    m_context.run_for(kStopCheckInterval);
  }
}

void AdminServer::AcceptNext() {
  m_acceptor.async_accept([this](const boost::system::error_code& accept_error,
                                 boost::asio::ip::tcp::socket socket) {
    AcceptNext();
    if (accept_error) {
      return;
    }
    auto exchange = std::make_shared<Exchange>(std::move(socket));
    exchange->stream.expires_after(kRequestTimeout);
    http::async_read(
        exchange->stream, exchange->buffer, exchange->request,
        [this, exchange](const beast::error_code& read_error, size_t) {
          if (read_error) {
            return;
          }
          const HttpReply reply =
              HandleRequest(std::string(exchange->request.target()));
          exchange->response.result(reply.status);
          exchange->response.set(http::field::content_type, reply.content_type);
          exchange->response.keep_alive(false);
          exchange->response.body() = reply.body;
          exchange->response.prepare_payload();
          http::async_write(exchange->stream, exchange->response,
                            [exchange](const beast::error_code&, size_t) {});
        });
  });
}

AdminServer::HttpReply AdminServer::HandleRequest(const std::string& target) {
  const size_t query_start = target.find('?');
  const std::string path = target.substr(0, query_start);
  if (path == "/metrics") {
    return RenderMetrics();
  }
  if (path == "/healthz") {
    return {.body = "ok\n"};
  }
  if (path == "/readyz") {
    return m_is_ready() ? HttpReply{.body = "ready\n"}
                        : HttpReply{.status = 503, .body = "not ready\n"};
  }
  if (path == "/explain") {
    return HandleExplain(
        query_start == std::string::npos ? "" : target.substr(query_start + 1));
  }
  return {
      .status = 404,
      .body = "Not found; available: /metrics, /healthz, /readyz, /explain.\n"};
}

AdminServer::HttpReply AdminServer::RenderMetrics() const {
  std::vector<prometheus::MetricFamily> families;
  for (const auto& counters : m_counters) {
    for (prometheus::MetricFamily& family : counters->Collect()) {
      families.push_back(std::move(family));
    }
  }
  return {.content_type = "text/plain; version=0.0.4",
          .body = prometheus::TextSerializer().Serialize(families)};
}

AdminServer::HttpReply AdminServer::HandleExplain(const std::string& query) {
  auto values = transport::ParseHttpQuery(query);
  const auto source = model::ParseEndpoint(values["source"]);
  const auto destination = model::ParseEndpoint(values["destination"]);
  if (!source || !destination) {
    return {.status = 400,
            .body =
                "Specify source=IP:PORT and destination=IP:PORT, and "
                "protocol=udp unless the protocol is TCP.\n"};
  }
  const bool is_tcp = values["protocol"] != "udp";
  ExplainQuery explain;
  explain.packet.key = {
      steering::ToAddressBytes(source->address),
      steering::ToAddressBytes(destination->address), source->port,
      destination->port,
      is_tcp ? steering::kProtocolTcp : steering::kProtocolUdp};
  explain.packet.is_connection_oriented = is_tcp;
  explain.answer = std::make_shared<std::promise<ExplainAnswer>>();
  auto future = explain.answer->get_future();
  const bool is_answered =
      m_packets->queries().TryPush(explain) &&
      future.wait_for(kExplainTimeout) == std::future_status::ready;
  if (!is_answered) {
    return {.status = 503, .body = "The packet worker is busy; try again.\n"};
  }
  const ExplainAnswer answer = future.get();
  const nlohmann::json json = {{"action", answer.action},
                               {"cause", answer.cause},
                               {"target", answer.target}};
  return {.content_type = "application/json", .body = json.dump() + "\n"};
}

}  // namespace poplarsail::runtime
