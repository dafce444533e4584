#ifndef RUNTIME_ADMIN_SERVER_H_
#define RUNTIME_ADMIN_SERVER_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "model/model.h"
#include "runtime/packet_worker.h"
#include "telemetry/telemetry.h"

namespace poplarsail::runtime {

// HTTP/1.1 server for /metrics, /healthz, /readyz and /explain. Handles one
// request per connection, all in one thread.
class AdminServer {
 public:
  AdminServer(const model::Settings& settings,
              PacketWorker* packets,
              std::vector<std::shared_ptr<telemetry::CounterFamily>> counters,
              std::function<bool()> is_ready);

  // Runs until `stop` is set.
  void Run(const std::atomic<bool>& stop);

 private:
  struct HttpReply {
    unsigned status = 200;
    std::string content_type = "text/plain; charset=utf-8";
    std::string body;
  };

  void AcceptNext();
  HttpReply HandleRequest(const std::string& target);
  HttpReply RenderMetrics() const;
  HttpReply HandleExplain(const std::string& query);

  boost::asio::io_context m_context;
  boost::asio::ip::tcp::acceptor m_acceptor;
  PacketWorker* m_packets;
  std::vector<std::shared_ptr<telemetry::CounterFamily>> m_counters;
  std::function<bool()> m_is_ready;
};

}  // namespace poplarsail::runtime

#endif  // RUNTIME_ADMIN_SERVER_H_
