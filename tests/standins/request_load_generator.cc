#include "standins/request_load_generator.h"

#include <algorithm>
#include <utility>

namespace poplarsail::standins {

using transport::Exchange;
using transport::ExchangeResult;
using transport::Http2Connection;
using transport::HttpMessage;

namespace {

constexpr std::chrono::milliseconds kRetryDelay{200};

std::string AttemptId(uint64_t number, uint32_t attempt) {
  return std::to_string(number) + "." + std::to_string(attempt);
}

}  // namespace

RequestLoadGenerator::RequestLoadGenerator(boost::asio::io_context* context,
                                           const RequestLoadOptions& options)
    : m_context(context),
      m_options(options),
      m_timer(*context),
      m_random(options.seed) {}

void RequestLoadGenerator::SetHosts(
    std::vector<boost::asio::ip::address> hosts) {
  m_hosts = std::move(hosts);
}

void RequestLoadGenerator::Start() {
  const auto interval =
      std::chrono::milliseconds(1000 / m_options.requests_per_second);
  m_timer.expires_after(interval);
  m_timer.async_wait([this](const boost::system::error_code& error) {
    if (error) {
      return;
    }
    StartRequest();
    Start();
  });
}

void RequestLoadGenerator::StartRequest() {
  if (!m_is_generating || m_hosts.empty()) {
    return;
  }
  ++m_open_requests;
  ++m_result.requests;
  StartAttempt(m_next_request++, 0);
}

void RequestLoadGenerator::StartAttempt(uint64_t number, uint32_t attempt) {
  std::uniform_int_distribution<size_t> pick(0, m_hosts.size() - 1);
  const auto host = m_hosts[pick(m_random)];
  const auto known = m_connections.find(host);
  const bool is_usable = known != m_connections.end() &&
                         known->second->is_open() &&
                         !known->second->is_going_away();
  if (is_usable) {
    Send(known->second, number, attempt);
    return;
  }
  auto socket = std::make_shared<boost::asio::ip::tcp::socket>(*m_context);
  socket->async_connect({host, m_options.host_request_port},
                        [this, socket, host, number,
                         attempt](const boost::system::error_code& error) {
                          if (error) {
                            ScheduleRetry(number, attempt);
                            return;
                          }
                          const auto connection = Http2Connection::CreateClient(
                              std::move(*socket), {});
                          connection->Start();
                          m_connections[host] = connection;
                          Send(connection, number, attempt);
                        });
}

void RequestLoadGenerator::Send(
    const std::shared_ptr<Http2Connection>& connection,
    uint64_t number,
    uint32_t attempt) {
  HttpMessage request;
  request.headers = {{":method", "POST"},
                     {":scheme", "http"},
                     {":authority", m_options.service},
                     {":path", "/entries"},
                     {"x-request-id", AttemptId(number, attempt)},
                     {"x-request-timeout-ms", "5000"}};
  request.body = "count";
  const auto stream = connection->Send(
      std::move(request), [this, number, attempt](Exchange exchange) {
        FinishAttempt(number, attempt, std::move(exchange));
      });
  if (stream == 0) {
    ScheduleRetry(number, attempt);
  }
}

void RequestLoadGenerator::FinishAttempt(uint64_t number,
                                         uint32_t attempt,
                                         Exchange exchange) {
  const std::string id = AttemptId(number, attempt);
  if (exchange.result == ExchangeResult::kNotRun) {
    m_result.reported_not_run.insert(id);
    ++m_result.refused_not_run;
    ScheduleRetry(number, attempt);
    return;
  }
  const auto outcome =
      transport::FindHeader(exchange.response, "x-request-outcome");
  if (exchange.result == ExchangeResult::kResponseReceived &&
      outcome == "not-run") {
    m_result.reported_not_run.insert(id);
    ++m_result.refused_not_run;
    ScheduleRetry(number, attempt);
    return;
  }
  --m_open_requests;
  if (exchange.result != ExchangeResult::kResponseReceived ||
      !outcome.empty()) {
    ++m_result.unknown;
    return;
  }
  if (exchange.response.body != "answer to " + id) {
    ++m_result.wrong_responses;
    return;
  }
  ++m_result.answered;
}

void RequestLoadGenerator::ScheduleRetry(uint64_t number, uint32_t attempt) {
  auto timer = std::make_shared<boost::asio::steady_timer>(*m_context);
  timer->expires_after(kRetryDelay);
  timer->async_wait(
      [this, timer, number, attempt](const boost::system::error_code& error) {
        if (!error) {
          StartAttempt(number, attempt + 1);
        }
      });
}

}  // namespace poplarsail::standins
