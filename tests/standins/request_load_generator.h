#ifndef STANDINS_REQUEST_LOAD_GENERATOR_H_
#define STANDINS_REQUEST_LOAD_GENERATOR_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "model/model.h"
#include "transport/transport.h"

namespace poplarsail::standins {

struct RequestLoadOptions {
  std::string service;
  uint16_t host_request_port = 8080;
  uint32_t requests_per_second = 100;
  uint64_t seed = 1;
};

struct RequestLoadResult {
  uint64_t requests = 0;
  uint64_t answered = 0;
  // Attempts refused with the outcome "not run"; they were retried.
  uint64_t refused_not_run = 0;
  uint64_t unknown = 0;
  uint64_t wrong_responses = 0;
  // Ids of the attempts that were refused with the outcome "not run".
  std::set<std::string> reported_not_run;
};

// Simulates clients of the request plane: posts non-idempotent requests through
// random entry hosts, each attempt under its own id. An attempt that was
// refused as not run is retried after a fixed delay.
class RequestLoadGenerator {
 public:
  RequestLoadGenerator(boost::asio::io_context* context,
                       const RequestLoadOptions& options);

  void SetHosts(std::vector<boost::asio::ip::address> hosts);
  void Start();
  // Stops starting new requests; open ones continue.
  void StopOpening() { m_is_generating = false; }
  size_t open_requests() const { return m_open_requests; }
  const RequestLoadResult& result() const { return m_result; }

 private:
  void StartRequest();
  void StartAttempt(uint64_t number, uint32_t attempt);
  void Send(const std::shared_ptr<transport::Http2Connection>& connection,
            uint64_t number,
            uint32_t attempt);
  void FinishAttempt(uint64_t number,
                     uint32_t attempt,
                     transport::Exchange exchange);
  void ScheduleRetry(uint64_t number, uint32_t attempt);

  boost::asio::io_context* m_context;
  RequestLoadOptions m_options;
  boost::asio::steady_timer m_timer;
  std::mt19937_64 m_random;
  std::vector<boost::asio::ip::address> m_hosts;
  std::map<boost::asio::ip::address,
           std::shared_ptr<transport::Http2Connection>>
      m_connections;
  uint64_t m_next_request = 0;
  size_t m_open_requests = 0;
  bool m_is_generating = true;
  RequestLoadResult m_result;
};

}  // namespace poplarsail::standins

#endif  // STANDINS_REQUEST_LOAD_GENERATOR_H_
