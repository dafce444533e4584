#ifndef STANDINS_CALLER_FLOWS_H_
#define STANDINS_CALLER_FLOWS_H_

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
  // Where answers to packets come in.
  model::Endpoint callers;
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
  // New flows by upstream, since the last call of ForgetNewFlows.
  std::map<std::string, uint64_t> new_flows_by_upstream;
};

// Callers and fabric in one: opens flows towards a service, sends each packet
// to an entry host at random, and checks that each flow stays with the upstream
// that accepted it. A packet without answer is repeated; a flow is broken when
// it is reset, changes its upstream or stays without an answer.
class CallerFlows {
 public:
  explicit CallerFlows(const FlowLoadOptions& options);

  // The entry hosts that the fabric knows of.
  void SetHosts(std::vector<boost::asio::ip::address> hosts);
  // Sends what is due at `now` and takes answers. Call it every few ms.
  void Step(model::TimePoint now);
  // From now on no new flows are opened.
  void StopOpening() { m_opens = false; }
  void ForgetNewFlows() { m_result.new_flows_by_upstream.clear(); }
  const FlowLoadResult& result() const { return m_result; }

 private:
  struct Flow {
    std::string upstream;
    model::TimePoint next_send;
    uint32_t unanswered = 0;
    bool is_broken = false;
  };

  void OpenFlow(model::TimePoint now);
  void Send(uint32_t index);
  void TakeAnswers(model::TimePoint now);
  void TakeAnswer(std::span<const uint8_t> datagram, model::TimePoint now);
  void Break(Flow* flow);

  FlowLoadOptions m_options;
  transport::UdpSocket m_port;
  std::vector<boost::asio::ip::address> m_hosts;
  std::mt19937_64 m_random;
  std::vector<Flow> m_flows;
  model::TimePoint m_next_open;
  std::vector<std::vector<uint8_t>> m_packets;
  bool m_opens = true;
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

#endif  // STANDINS_CALLER_FLOWS_H_
