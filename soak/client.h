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

struct ClientCounts {
  uint64_t requests = 0;
  uint64_t served = 0;
  uint64_t failed = 0;
  uint64_t resets = 0;
};

// Callbacks of a client into the scenario.
struct ClientHooks {
  // Returns the daemon that the fabric currently routes the flow to.
  std::function<model::Endpoint(const FlowId&)> pick_daemon;
  // Returns a listener for a new flow and the service behind it.
  std::function<std::pair<model::Ipv4Endpoint, std::string>()> pick_listener;
  // Called when an open flow was reset. `daemon` got the client's last packet;
  // `upstream` sent the reset, or is empty if a daemon did.
  std::function<void(const FlowId&,
                     const model::Endpoint& daemon,
                     const model::Endpoint& upstream)>
      on_flow_reset;
};

// A client that keeps several flows open; each flow carries 1 to 25 requests.
class Client {
 public:
  Client(boost::asio::io_context* context,
         const std::string& address,
         uint16_t port,
         uint64_t seed,
         ClientHooks hooks,
         Violations* violations);

  void Start(int flow_count);
  void Stop() { m_is_stopping = true; }
  const ClientCounts& counts() const { return m_counts; }

 private:
  struct Flow {
    explicit Flow(boost::asio::io_context* context) : timer(*context) {}

    FlowId id;
    std::string service;
    bool is_open = false;
    uint32_t sequence = 0;
    uint32_t ack_number = 0;
    uint32_t echo = 0;
    int syn_transmissions = 0;
    int requests_left = 0;
    std::string request_id;
    std::string data;
    Clock::time_point deadline;
    std::chrono::milliseconds retransmit_timeout{0};
    model::Endpoint last_daemon;
    boost::asio::steady_timer timer;
    // Number of the latest start of the timer.
    uint64_t timer_number = 0;
  };
  using FlowPointer = std::shared_ptr<Flow>;

  void OpenFlow();
  void SendSyn(const FlowPointer& flow);
  void StartRequest(const FlowPointer& flow);
  void SendRequest(const FlowPointer& flow);
  void CloseFlow(const FlowPointer& flow, bool is_served, bool sends_fin);
  void ReceiveNext();
  void HandlePacket(const Packet& packet);
  void HandleResponse(const FlowPointer& flow, const Packet& packet);
  void Send(const FlowPointer& flow, Packet packet);
  static void StopFlowTimer(const FlowPointer& flow);
  void StartFlowTimer(const FlowPointer& flow,
                      std::chrono::milliseconds pause,
                      std::function<void()> next);

  boost::asio::io_context* m_context;
  boost::asio::ip::udp::socket m_socket;
  uint32_t m_address;
  uint16_t m_next_port = 1'025;
  uint64_t m_next_request = 1;
  std::mt19937_64 m_random;
  ClientHooks m_hooks;
  Violations* m_violations;
  std::map<uint16_t, FlowPointer> m_flows;
  std::array<uint8_t, 2048> m_buffer{};
  boost::asio::ip::udp::endpoint m_sender;
  ClientCounts m_counts;
  bool m_is_stopping = false;
};

}  // namespace poplarsail::soak

#endif  // SOAK_CLIENT_H_
