#ifndef SOAK_UPSTREAM_H_
#define SOAK_UPSTREAM_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>

#include "soak/violations.h"
#include "soak/wire.h"

namespace poplarsail::soak {

using Clock = std::chrono::steady_clock;
// Client and listener.
using FlowId = std::pair<model::Ipv4Endpoint, model::Ipv4Endpoint>;

struct UpstreamOptions {
  uint64_t id = 0;
  std::string service;
  std::string failure_domain;
  model::Ipv4Endpoint endpoint;
  uint16_t client_port = 0;
  // Share of the responses to SYNs that the network loses.
  double handshake_loss = 0;
};

// Callbacks of an upstream into the scenario.
struct UpstreamHooks {
  // Returns whether packets from this daemon reach the upstream.
  std::function<bool(const std::string& daemon_address)> is_reachable_from;
  // Called for the first SYN of a flow.
  std::function<void(const UpstreamOptions&,
                     const std::string& daemon_address,
                     const model::Ipv4Endpoint& listener)>
      on_new_flow;
};

// An upstream that speaks the platform's packet protocol: accepts flows and
// answers requests "REQ id kind service" with "ANS id".
class Upstream {
 public:
  Upstream(boost::asio::io_context* context,
           UpstreamOptions options,
           UpstreamHooks hooks,
           ExecutionCounter* executions,
           Violations* violations);

  // Simulates a crash: drops all flows and refuses connections. The machine
  // stays up and resets the flows that packets arrive for.
  void Crash();
  // Frees the address of a crashed upstream for another one.
  void ReleaseAddress();
  // Simulates network isolation: the upstream keeps running, but ignores
  // packets and leaves connection attempts unanswered.
  void Isolate();
  // Returns whether the flow is established at this upstream.
  bool HasOpenFlow(const FlowId& flow) const;
  bool is_running() const { return m_is_running; }
  const UpstreamOptions& options() const { return m_options; }
  std::string name() const;

  // When the upstream was registered as draining.
  std::optional<Clock::time_point> draining_since;
  // Injected defects: responses carry another request's id, requests run twice,
  // flows get a reset that looks like one sent by a daemon.
  bool injects_wrong_response = false;
  bool injects_second_execution = false;
  bool injects_reset = false;

 private:
  struct Flow {
    uint32_t local_sequence = 0;
    uint32_t expected_sequence = 0;
    int handshake_repeats = 0;
    bool is_open = false;
    std::string response;
    uint32_t response_sequence = 0;
  };

  void ReceiveNext();
  void AcceptNext();
  void HandlePacket(std::span<const uint8_t> datagram);
  void HandleSyn(const FlowId& id, const Packet& syn);
  void SendHandshake(const FlowId& id, const Flow& flow);
  // Sends the response to a SYN again until the flow opens.
  void RepeatHandshake(const FlowId& id, std::chrono::milliseconds pause);
  void SendReset(const FlowId& id, const Packet& packet);
  void HandleData(const FlowId& id, Flow* flow, const Packet& packet);
  void Respond(const FlowId& id, const std::string& request_id);
  void SendResponse(const FlowId& id, const Flow& flow);
  void Send(const FlowId& id, Packet packet);

  boost::asio::io_context* m_context;
  UpstreamOptions m_options;
  UpstreamHooks m_hooks;
  ExecutionCounter* m_executions;
  Violations* m_violations;
  boost::asio::ip::udp::socket m_socket;
  boost::asio::ip::tcp::acceptor m_acceptor;
  boost::asio::ip::udp::endpoint m_sender;
  std::array<uint8_t, 2048> m_buffer{};
  std::map<FlowId, Flow> m_flows;
  std::map<FlowId, uint32_t> m_echoes;
  std::mt19937_64 m_random;
  bool m_is_running = true;
  bool m_is_isolated = false;
  // Connections that fill the accept queue of an isolated upstream.
  std::list<boost::asio::ip::tcp::socket> m_backlog_fillers;
};

}  // namespace poplarsail::soak

#endif  // SOAK_UPSTREAM_H_
