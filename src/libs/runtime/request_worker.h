#ifndef RUNTIME_REQUEST_WORKER_H_
#define RUNTIME_REQUEST_WORKER_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "dispatch/dispatch.h"
#include "model/model.h"
#include "runtime/upstream_pool.h"
#include "telemetry/telemetry.h"
#include "transport/transport.h"

namespace poplarsail::runtime {

// Command from the control worker to the request worker.
struct RequestCommand {
  std::string service;
  std::vector<dispatch::RequestUpstream> upstreams;
  bool is_removed = false;
};

// HTTP/2 proxy: accepts requests from clients, lets the dispatcher choose the
// upstream, and forwards requests and responses, all in one thread.
//
// Request headers: x-request-timeout-ms bounds the whole exchange;
// idempotency-key, or a GET or HEAD method, allows a retry. A refusal carries
// x-request-outcome ("not-run" or "unknown"), x-refusal-cause and retry-after.
class RequestWorker {
 public:
  explicit RequestWorker(const model::Settings& settings);

  // Runs until the shutdown started by BeginStop is complete.
  void Run();

  // Refuses new requests and lets running ones finish until `deadline`.
  // Thread-safe.
  void BeginStop(model::TimePoint deadline);

  transport::SpscQueue<RequestCommand>& commands() { return m_commands; }
  std::vector<std::shared_ptr<telemetry::CounterFamily>> counters() const {
    return {m_outcomes, m_refusals};
  }

 private:
  // A client's request that has not been answered yet.
  struct PendingRequest {
    std::weak_ptr<transport::Http2Connection> client;
    transport::Http2Connection::StreamId stream = 0;
    transport::HttpMessage message;
    model::TimePoint deadline;
  };

  void Accept();
  void AddClient(boost::asio::ip::tcp::socket socket);
  void HandleRequest(const std::shared_ptr<transport::Http2Connection>& client,
                     transport::Http2Connection::StreamId stream,
                     transport::HttpMessage message);
  void HandleCancel(const transport::Http2Connection* client,
                    transport::Http2Connection::StreamId stream);
  void Execute(const dispatch::DispatchActions& actions);
  void StartAttempt(const dispatch::DispatchAction& action);
  void FinishAttempt(dispatch::RequestId id,
                     dispatch::AttemptOutcome outcome,
                     transport::HttpMessage response);
  void Refuse(const dispatch::DispatchAction& action);
  void ScheduleTick();
  void Tick();
  void StopAccepting();
  void ExecuteCommands();

  boost::asio::io_context m_context;
  boost::asio::ip::tcp::acceptor m_acceptor;
  boost::asio::steady_timer m_tick_timer;
  dispatch::Dispatcher m_dispatcher;
  UpstreamPool m_upstreams;
  transport::SpscQueue<RequestCommand> m_commands;
  std::set<std::shared_ptr<transport::Http2Connection>> m_clients;
  std::map<dispatch::RequestId, PendingRequest> m_pending;
  dispatch::RequestId m_last_id = 0;
  model::TimePoint m_next_ping;
  bool m_is_stopping = false;
  std::atomic<int64_t> m_stop_deadline_ms = 0;
  std::shared_ptr<telemetry::CounterFamily> m_outcomes;
  std::shared_ptr<telemetry::CounterFamily> m_refusals;
};

}  // namespace poplarsail::runtime

#endif  // RUNTIME_REQUEST_WORKER_H_
