#ifndef SOAK_CLIENT_H_
#define SOAK_CLIENT_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "soak/upstream.h"
#include "soak/violations.h"
#include "soak/wire.h"

namespace poplarsail::soak {

struct CallerCounts {
  uint64_t asked = 0;
  uint64_t served = 0;
  uint64_t failed = 0;
  uint64_t resets = 0;
};

// What a caller asks the scenario.
struct CallerHooks {
  // The daemon that the fabric hands the flow's packets to now.
  std::function<model::Endpoint(const FlowId&)> route;
  // A listener to use and the service behind it.
  std::function<std::pair<model::Ipv4Endpoint, std::string>()> choose;
  // The system reset an open flow; `daemon` took its last packet.
  std::function<void(const FlowId&, const model::Endpoint& daemon)> reset;
};

// A consumer end with some flows that stay open for many requests.
class Caller {
 public:
  Caller(boost::asio::io_context* context,
         const std::string& address,
         uint16_t port,
         uint64_t seed,
         CallerHooks hooks,
         Violations* violations);

  void Start(int flow_count);
  void Stop() { m_is_stopping = true; }
  const CallerCounts& counts() const { return m_counts; }

 private:
  struct Flow {
    explicit Flow(boost::asio::io_context* context) : timer(*context) {}

    FlowId id;
    std::string service;
    bool is_open = false;
    uint32_t sequence = 0;
    uint32_t ack_number = 0;
    uint32_t echo = 0;
    int copies = 0;
    int requests_left = 0;
    std::string request;
    std::string data;
    Clock::time_point deadline;
    std::chrono::milliseconds retry_pause{0};
    model::Endpoint last_daemon;
    boost::asio::steady_timer timer;
  };
  using FlowPointer = std::shared_ptr<Flow>;

  void Open();
  void SendSyn(const FlowPointer& flow);
  void Ask(const FlowPointer& flow);
  void SendRequest(const FlowPointer& flow);
  void End(const FlowPointer& flow, bool is_served, bool sends_fin);
  void ReceiveNext();
  void Take(const Packet& packet);
  void TakeAnswer(const FlowPointer& flow, const Packet& packet);
  void Send(const FlowPointer& flow, Packet packet);
  void After(const FlowPointer& flow,
             std::chrono::milliseconds pause,
             std::function<void()> next);

  boost::asio::io_context* m_context;
  boost::asio::ip::udp::socket m_socket;
  uint32_t m_address;
  uint16_t m_next_port = 1'025;
  uint64_t m_next_request = 1;
  std::mt19937_64 m_random;
  CallerHooks m_hooks;
  Violations* m_violations;
  std::map<uint16_t, FlowPointer> m_flows;
  std::array<uint8_t, 2048> m_buffer{};
  boost::asio::ip::udp::endpoint m_sender;
  CallerCounts m_counts;
  bool m_is_stopping = false;
};

}  // namespace poplarsail::soak

#endif  // SOAK_CLIENT_H_
