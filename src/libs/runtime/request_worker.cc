#include "runtime/request_worker.h"

#include <algorithm>
#include <charconv>
#include <random>
#include <utility>

#include <fmt/format.h>

namespace poplarsail::runtime {

namespace {

using dispatch::AttemptOutcome;
using dispatch::DispatchAction;
using dispatch::DispatchActionKind;
using dispatch::DispatchActions;
using dispatch::RefusalCause;
using dispatch::RequestId;
using model::Now;
using model::TimePoint;
using transport::Http2Connection;
using transport::HttpMessage;

constexpr size_t kCommandQueueCapacity = 1'024;
constexpr std::chrono::milliseconds kTickInterval{5};
constexpr std::chrono::milliseconds kPingInterval{1'000};
constexpr std::chrono::milliseconds kDefaultTimeout{10'000};
constexpr int64_t kMaxTimeoutMs = 600'000;
constexpr char kTimeoutHeader[] = "x-request-timeout-ms";

enum Outcome : size_t { kReceived, kAnswered, kRefused, kCancelled };

std::vector<std::string> CauseLabels() {
  std::vector<std::string> labels;
  for (size_t i = 0; i < dispatch::kRefusalCauseCount; ++i) {
    labels.emplace_back(dispatch::ToString(static_cast<RefusalCause>(i)));
  }
  return labels;
}

// The :authority header without its port is the name of the service.
std::string GetServiceName(const HttpMessage& message) {
  const std::string_view authority =
      transport::FindHeader(message, ":authority");
  return std::string(authority.substr(0, authority.find(':')));
}

bool IsIdempotent(const HttpMessage& message) {
  const std::string_view method = transport::FindHeader(message, ":method");
  const bool is_safe = method == "GET" || method == "HEAD";
  return is_safe || !transport::FindHeader(message, "idempotency-key").empty();
}

TimePoint GetDeadline(const HttpMessage& message, TimePoint now) {
  const std::string_view text = transport::FindHeader(message, kTimeoutHeader);
  int64_t millis = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), millis);
  const bool is_valid = error == std::errc() &&
                        end == text.data() + text.size() && millis > 0 &&
                        millis <= kMaxTimeoutMs;
  return now + (is_valid ? std::chrono::milliseconds(millis) : kDefaultTimeout);
}

// Copies the request and sets its timeout header to the remaining time.
HttpMessage MakeUpstreamRequest(const HttpMessage& message,
                                TimePoint deadline,
                                TimePoint now) {
  HttpMessage request = message;
  std::erase_if(request.headers, [](const transport::HeaderField& header) {
    return header.name == kTimeoutHeader;
  });
  request.headers.push_back(
      {kTimeoutHeader, std::to_string((deadline - now).count())});
  return request;
}

}  // namespace

RequestWorker::RequestWorker(const model::Settings& settings)
    : m_acceptor(m_context, {settings.address, settings.request_port}),
      m_tick_timer(m_context),
      m_dispatcher(std::random_device()()),
      m_upstreams(&m_context),
      m_commands(kCommandQueueCapacity),
      m_outcomes(std::make_shared<telemetry::CounterFamily>(
          "poplarsail_requests_total",
          "Requests by outcome.",
          "outcome",
          std::vector<std::string>{"received", "answered", "refused",
                                   "cancelled"})),
      m_refusals(std::make_shared<telemetry::CounterFamily>(
          "poplarsail_request_refusals_total",
          "Refused requests by cause.",
          "cause",
          CauseLabels())) {}

void RequestWorker::Run() {
  Accept();
  ScheduleTick();
  m_context.run();
}

void RequestWorker::BeginStop(TimePoint deadline) {
  m_stop_deadline_ms.store(model::ToUnixMillis(deadline));
}

void RequestWorker::Accept() {
  m_acceptor.async_accept([this](const boost::system::error_code& error,
                                 boost::asio::ip::tcp::socket socket) {
    if (m_is_stopping) {
      return;
    }
    if (!error) {
      AddClient(std::move(socket));
    }
    Accept();
  });
}

void RequestWorker::AddClient(boost::asio::ip::tcp::socket socket) {
  const auto client = Http2Connection::CreateServer(std::move(socket), {});
  const std::weak_ptr<Http2Connection> weak = client;
  client->OnRequest(
      [this, weak](Http2Connection::StreamId stream, HttpMessage message) {
        if (const auto connection = weak.lock()) {
          HandleRequest(connection, stream, std::move(message));
        }
      });
  client->OnCancel(
      [this, raw = client.get()](Http2Connection::StreamId stream) {
        HandleCancel(raw, stream);
      });
  client->OnClosed([this, weak] {
    if (const auto connection = weak.lock()) {
      m_clients.erase(connection);
    }
  });
  m_clients.insert(client);
  client->Start();
}

void RequestWorker::HandleRequest(
    const std::shared_ptr<Http2Connection>& client,
    Http2Connection::StreamId stream,
    HttpMessage message) {
  const TimePoint now = Now();
  const RequestId id = ++m_last_id;
  const dispatch::RequestInfo info{.id = id,
                                   .service = GetServiceName(message),
                                   .deadline = GetDeadline(message, now),
                                   .is_idempotent = IsIdempotent(message)};
  m_pending[id] = {client, stream, std::move(message), info.deadline};
  m_outcomes->Add(kReceived);
  Execute(m_dispatcher.Submit(info, now));
}

void RequestWorker::HandleCancel(const Http2Connection* client,
                                 Http2Connection::StreamId stream) {
  for (const auto& [id, pending] : m_pending) {
    if (pending.stream != stream || pending.client.lock().get() != client) {
      continue;
    }
    const RequestId cancelled = id;
    m_outcomes->Add(kCancelled);
    m_pending.erase(cancelled);
    Execute(m_dispatcher.Cancel(cancelled, Now()));
    return;
  }
}

void RequestWorker::Execute(const DispatchActions& actions) {
  for (const DispatchAction& action : actions) {
    switch (action.kind) {
      case DispatchActionKind::kStart:
        StartAttempt(action);
        break;
      case DispatchActionKind::kRefuse:
        Refuse(action);
        break;
      case DispatchActionKind::kCancel:
        m_upstreams.Cancel(action.request, action.upstream);
        break;
    }
  }
}

void RequestWorker::StartAttempt(const DispatchAction& action) {
  const RequestId id = action.request;
  const PendingRequest& pending = m_pending.at(id);
  m_upstreams.Send(
      id, action.upstream,
      MakeUpstreamRequest(pending.message, pending.deadline, Now()),
      [this, id](AttemptOutcome outcome, HttpMessage response) {
        FinishAttempt(id, outcome, std::move(response));
      });
}

void RequestWorker::FinishAttempt(RequestId id,
                                  AttemptOutcome outcome,
                                  HttpMessage response) {
  const auto found = m_pending.find(id);
  if (outcome == AttemptOutcome::kResponseReceived &&
      found != m_pending.end()) {
    if (const auto client = found->second.client.lock()) {
      client->Respond(found->second.stream, std::move(response));
    }
    m_pending.erase(found);
    m_outcomes->Add(kAnswered);
  }
  Execute(m_dispatcher.FinishAttempt(id, outcome, Now()));
}

void RequestWorker::Refuse(const DispatchAction& action) {
  m_outcomes->Add(kRefused);
  m_refusals->Add(static_cast<size_t>(action.cause));
  const auto found = m_pending.find(action.request);
  if (found == m_pending.end()) {
    return;
  }
  const bool is_timeout = action.cause == RefusalCause::kDeadlinePassed ||
                          action.cause == RefusalCause::kOutcomeUnknown;
  const std::string outcome = action.did_not_run ? "not-run" : "unknown";
  const std::string cause(dispatch::ToString(action.cause));
  const auto retry_after =
      std::chrono::ceil<std::chrono::seconds>(dispatch::kRetryAfter);
  HttpMessage response;
  response.headers = {{":status", is_timeout ? "504" : "503"},
                      {"content-type", "application/json"},
                      {"retry-after", std::to_string(retry_after.count())},
                      {"x-request-outcome", outcome},
                      {"x-refusal-cause", cause}};
  response.body =
      fmt::format("{{\"outcome\":\"{}\",\"cause\":\"{}\"}}\n", outcome, cause);
  if (const auto client = found->second.client.lock()) {
    client->Respond(found->second.stream, std::move(response));
  }
  m_pending.erase(found);
}

void RequestWorker::ScheduleTick() {
  m_tick_timer.expires_after(kTickInterval);
  m_tick_timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      Tick();
    }
  });
}

void RequestWorker::Tick() {
  const TimePoint now = Now();
  ExecuteCommands();
  Execute(m_dispatcher.Tick(now));
  if (now >= m_next_ping) {
    m_next_ping = now + kPingInterval;
    m_upstreams.PingAll();
  }
  const int64_t stop_deadline = m_stop_deadline_ms.load();
  if (stop_deadline != 0 && !m_is_stopping) {
    StopAccepting();
  }
  const bool is_done = m_clients.empty() && m_pending.empty();
  const bool is_past_deadline = model::ToUnixMillis(now) >= stop_deadline;
  if (m_is_stopping && (is_done || is_past_deadline)) {
    m_upstreams.CloseAll();
    m_context.stop();
    return;
  }
  ScheduleTick();
}

// Clients are told by GOAWAY; requests that still arrive are refused as not
// run.
void RequestWorker::StopAccepting() {
  m_is_stopping = true;
  boost::system::error_code ignored;
  m_acceptor.close(ignored);
  for (const auto& client : m_clients) {
    client->ShutDownGracefully();
  }
}

void RequestWorker::ExecuteCommands() {
  RequestCommand command;
  while (m_commands.TryPop(command)) {
    Execute(command.is_removed
                ? m_dispatcher.RemoveService(command.service, Now())
                : m_dispatcher.SetUpstreams(command.service, command.upstreams,
                                            Now()));
  }
}

}  // namespace poplarsail::runtime
