#ifndef RUNTIME_ADMIN_DUTY_H_
#define RUNTIME_ADMIN_DUTY_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "model/model.h"
#include "runtime/packet_duty.h"
#include "telemetry/telemetry.h"

namespace poplarsail::runtime {

// Serves /metrics, /healthz, /readyz and /explain over HTTP/1.1, one request
// at a time.
class AdminDuty {
 public:
  AdminDuty(const model::Settings& settings,
            PacketDuty* packets,
            std::vector<std::shared_ptr<telemetry::CounterFamily>> counters,
            std::function<bool()> is_ready);

  // Runs until `stop` is set.
  void Run(const std::atomic<bool>& stop);

 private:
  struct Reply {
    unsigned status = 200;
    std::string content_type = "text/plain; charset=utf-8";
    std::string body;
  };

  void ServeNext();
  Reply Handle(const std::string& target);
  Reply Metrics() const;
  Reply Explain(const std::string& query);

  boost::asio::io_context m_context;
  boost::asio::ip::tcp::acceptor m_acceptor;
  PacketDuty* m_packets;
  std::vector<std::shared_ptr<telemetry::CounterFamily>> m_counters;
  std::function<bool()> m_is_ready;
};

}  // namespace poplarsail::runtime

#endif  // RUNTIME_ADMIN_DUTY_H_
