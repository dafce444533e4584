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
#include <string>
#include <utility>

#include "soak/violations.h"
#include "soak/wire.h"

namespace poplarsail::soak {

using Clock = std::chrono::steady_clock;
// Caller and listener.
using FlowId = std::pair<model::Ipv4Endpoint, model::Ipv4Endpoint>;

struct UpstreamOptions {
  uint64_t id = 0;
  std::string service;
  std::string failure_domain;
  model::Ipv4Endpoint endpoint;
  uint16_t client_port = 0;
};

// What an upstream asks the scenario.
struct UpstreamHooks {
  // Whether packets from this daemon reach the upstream.
  std::function<bool(const std::string& daemon_address)> is_reachable_from;
  // A new flow arrived.
  std::function<void(const UpstreamOptions&,
                     const std::string& daemon_address,
                     const model::Ipv4Endpoint& listener)>
      on_new_flow;
};

// A target that speaks the platform's packets: holds flows, answers requests
// "REQ id kind" with "ANS id".
class Upstream {
 public:
  Upstream(boost::asio::io_context* context,
           UpstreamOptions options,
           UpstreamHooks hooks,
           ExecutionCounter* ledger,
           Violations* violations);

  // Ends without a word: flows are lost and nothing answers.
  void Crash();
  // Goes on but is cut off: packets are ignored and connections stay without
  // an answer.
  void Isolate();
  // Whether it holds the flow, open at both ends.
  bool HasOpenFlow(const FlowId& flow) const;
  bool is_running() const { return m_is_running; }
  const UpstreamOptions& options() const { return m_options; }
  std::string name() const;

  // Registered as draining since then.
  std::optional<Clock::time_point> draining_since;
  // Planted faults: answers carry another request's id, requests run twice,
  // flows get a reset that looks like one of the system.
  bool plant_mixed = false;
  bool plant_second_run = false;
  bool plant_reset = false;

 private:
  struct Flow {
    uint32_t own_sequence = 0;
    uint32_t next_sequence = 0;
    bool is_open = false;
    std::string answer;
    uint32_t answer_sequence = 0;
  };

  void ReceiveNext();
  void AcceptNext();
  void Take(std::span<const uint8_t> datagram);
  void TakeData(const FlowId& id, Flow* flow, const Packet& packet);
  void Answer(const FlowId& id, const std::string& request);
  void SendAnswer(const FlowId& id, const Flow& flow);
  void Send(const FlowId& id, Packet packet);

  boost::asio::io_context* m_context;
  UpstreamOptions m_options;
  UpstreamHooks m_hooks;
  ExecutionCounter* m_ledger;
  Violations* m_violations;
  boost::asio::ip::udp::socket m_socket;
  boost::asio::ip::tcp::acceptor m_acceptor;
  boost::asio::ip::udp::endpoint m_sender;
  std::array<uint8_t, 2048> m_buffer{};
  std::map<FlowId, Flow> m_flows;
  std::map<FlowId, uint32_t> m_echoes;
  bool m_is_running = true;
  bool m_is_cut_off = false;
  // Fill the queue of connections that are never accepted.
  std::list<boost::asio::ip::tcp::socket> m_queue_fillers;
};

}  // namespace poplarsail::soak

#endif  // SOAK_UPSTREAM_H_
