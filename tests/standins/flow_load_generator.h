#ifndef STANDINS_FLOW_LOAD_GENERATOR_H_
#define STANDINS_FLOW_LOAD_GENERATOR_H_

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "model/model.h"
#include "steering/steering.h"
#include "transport/transport.h"

namespace poplarsail::standins {

struct FlowLoadOptions {
  model::Endpoint service;
  // Local endpoint that receives the responses of upstreams.
  model::Endpoint client_endpoint;
  uint16_t host_packet_port = 6080;
  uint32_t flows_at_start = 500;
  uint32_t new_flows_per_second = 100;
  std::chrono::milliseconds packet_interval{500};
  uint64_t seed = 1;
};

struct FlowLoadResult {
  uint64_t flows = 0;
  uint64_t broken_flows = 0;
  uint64_t packets = 0;
  // New flows by upstream since the last call of ResetNewFlowCounts().
  std::map<std::string, uint64_t> new_flows_by_upstream;
};

// Simulates clients and the fabric: opens flows to a service, sends each packet
// to a random entry host, and checks that each flow stays with the upstream
// that accepted it. Unanswered packets are retransmitted. A flow counts as
// broken if it is reset, changes its upstream, or stays without a response.
class FlowLoadGenerator {
 public:
  explicit FlowLoadGenerator(const FlowLoadOptions& options);

  // Sets the entry hosts that the fabric distributes packets to.
  void SetHosts(std::vector<boost::asio::ip::address> hosts);
  // Receives responses and sends the packets that are due at `now`. Call it
  // every few milliseconds.
  void Step(model::TimePoint now);
  // Stops opening new flows; open ones continue.
  void StopOpening() { m_is_generating = false; }
  void ResetNewFlowCounts() { m_result.new_flows_by_upstream.clear(); }
  const FlowLoadResult& result() const { return m_result; }

 private:
  struct Flow {
    std::string upstream;
    model::TimePoint next_send;
    uint32_t unanswered_packets = 0;
    bool is_broken = false;
  };

  void OpenFlow(model::TimePoint now);
  void Send(uint32_t index);
  void ReceiveResponses(model::TimePoint now);
  void HandleResponse(std::span<const uint8_t> datagram, model::TimePoint now);
  void MarkBroken(Flow* flow);

  FlowLoadOptions m_options;
  transport::UdpSocket m_socket;
  std::vector<boost::asio::ip::address> m_hosts;
  std::mt19937_64 m_random;
  std::vector<Flow> m_flows;
  model::TimePoint m_next_open;
  std::vector<std::vector<uint8_t>> m_packets;
  bool m_is_generating = true;
  FlowLoadResult m_result;
};

// Builds an IPv4 TCP packet (20 + 20 bytes and `payload`).
std::vector<uint8_t> BuildTcpPacket(const model::Endpoint& source,
                                    const model::Endpoint& destination,
                                    uint8_t flags,
                                    std::span<const uint8_t> payload);

inline constexpr uint8_t kTcpSynFlag = 0x02;
inline constexpr uint8_t kTcpAckFlag = 0x10;

}  // namespace poplarsail::standins

#endif  // STANDINS_FLOW_LOAD_GENERATOR_H_
