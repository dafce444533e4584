#include "standins/flow_load_generator.h"

#include <algorithm>
#include <boost/endian/conversion.hpp>

namespace poplarsail::standins {

namespace {

constexpr size_t kIpHeaderBytes = 20;
constexpr size_t kTcpHeaderBytes = 20;
constexpr uint32_t kMaxUnansweredPackets = 10;
constexpr std::chrono::milliseconds kRetransmitTimeout{300};
// Client ports used per client address.
constexpr uint32_t kPortsPerAddress = 50'000;
constexpr uint32_t kFirstPort = 10'000;
// 10.0.0.1, the first client address.
constexpr uint32_t kFirstAddress = 0x0a000001;

model::Endpoint ClientEndpoint(uint32_t index) {
  const boost::asio::ip::address_v4 address(kFirstAddress +
                                            index / kPortsPerAddress);
  return {address,
          static_cast<uint16_t>(kFirstPort + index % kPortsPerAddress)};
}

}  // namespace

std::vector<uint8_t> BuildTcpPacket(const model::Endpoint& source,
                                    const model::Endpoint& destination,
                                    uint8_t flags,
                                    std::span<const uint8_t> payload) {
  std::vector<uint8_t> packet(kIpHeaderBytes + kTcpHeaderBytes +
                              payload.size());
  packet[0] = 0x45;
  boost::endian::store_big_u16(packet.data() + 2,
                               static_cast<uint16_t>(packet.size()));
  packet[8] = 64;
  packet[9] = steering::kProtocolTcp;
  const auto from = source.address.to_v4().to_bytes();
  const auto to = destination.address.to_v4().to_bytes();
  std::copy(from.begin(), from.end(), packet.begin() + 12);
  std::copy(to.begin(), to.end(), packet.begin() + 16);
  boost::endian::store_big_u16(packet.data() + 20, source.port);
  boost::endian::store_big_u16(packet.data() + 22, destination.port);
  packet[32] = 0x50;
  packet[33] = flags;
  std::copy(payload.begin(), payload.end(),
            packet.begin() + kIpHeaderBytes + kTcpHeaderBytes);
  return packet;
}

FlowLoadGenerator::FlowLoadGenerator(const FlowLoadOptions& options)
    : m_options(options),
      m_socket(options.client_endpoint.address, options.client_endpoint.port),
      m_random(options.seed) {}

void FlowLoadGenerator::SetHosts(std::vector<boost::asio::ip::address> hosts) {
  m_hosts = std::move(hosts);
}

void FlowLoadGenerator::Step(model::TimePoint now) {
  ReceiveResponses(now);
  if (m_hosts.empty()) {
    return;
  }
  if (m_flows.empty()) {
    m_next_open = now;
    for (uint32_t i = 0; i < m_options.flows_at_start; ++i) {
      OpenFlow(now);
    }
  }
  const std::chrono::milliseconds open_interval(
      std::max(1U, 1000 / std::max(1U, m_options.new_flows_per_second)));
  while (m_is_generating && m_options.new_flows_per_second > 0 &&
         m_next_open <= now) {
    OpenFlow(now);
    m_next_open += open_interval;
  }
  for (uint32_t i = 0; i < m_flows.size(); ++i) {
    if (m_flows[i].is_broken || m_flows[i].next_send > now) {
      continue;
    }
    if (m_flows[i].unanswered_packets >= kMaxUnansweredPackets) {
      MarkBroken(&m_flows[i]);
      continue;
    }
    Send(i);
    ++m_flows[i].unanswered_packets;
    m_flows[i].next_send = now + kRetransmitTimeout;
  }
  m_socket.Flush();
  m_packets.clear();
}

void FlowLoadGenerator::OpenFlow(model::TimePoint now) {
  std::uniform_int_distribution<int64_t> start_offset(
      0, m_options.packet_interval.count());
  m_flows.push_back(
      {.next_send = now + std::chrono::milliseconds(
                              m_flows.size() < m_options.flows_at_start
                                  ? start_offset(m_random)
                                  : 0)});
  ++m_result.flows;
}

void FlowLoadGenerator::Send(uint32_t index) {
  const bool sends_syn = m_flows[index].upstream.empty();
  std::array<uint8_t, 4> payload;
  boost::endian::store_big_u32(payload.data(), index);
  m_packets.push_back(BuildTcpPacket(ClientEndpoint(index), m_options.service,
                                     sends_syn ? kTcpSynFlag : kTcpAckFlag,
                                     payload));
  std::uniform_int_distribution<size_t> pick(0, m_hosts.size() - 1);
  m_socket.Queue({m_hosts[pick(m_random)], m_options.host_packet_port}, {},
                 m_packets.back());
  ++m_result.packets;
}

void FlowLoadGenerator::ReceiveResponses(model::TimePoint now) {
  for (;;) {
    const auto datagrams = m_socket.Receive();
    if (datagrams.empty()) {
      return;
    }
    for (const auto& datagram : datagrams) {
      HandleResponse(datagram, now);
    }
  }
}

void FlowLoadGenerator::HandleResponse(std::span<const uint8_t> datagram,
                                       model::TimePoint now) {
  const size_t name_length = datagram[1];
  const std::string upstream(reinterpret_cast<const char*>(datagram.data()) + 2,
                             name_length);
  const uint32_t index = boost::endian::load_big_u32(
      datagram.data() + 2 + name_length + kIpHeaderBytes + kTcpHeaderBytes);
  Flow& flow = m_flows.at(index);
  if (flow.is_broken) {
    return;
  }
  if (datagram[0] == 'R') {
    MarkBroken(&flow);
    return;
  }
  if (flow.upstream.empty()) {
    flow.upstream = upstream;
    ++m_result.new_flows_by_upstream[upstream];
  }
  if (flow.upstream != upstream) {
    MarkBroken(&flow);
    return;
  }
  flow.unanswered_packets = 0;
  flow.next_send = now + m_options.packet_interval;
}

void FlowLoadGenerator::MarkBroken(Flow* flow) {
  flow->is_broken = true;
  ++m_result.broken_flows;
}

}  // namespace poplarsail::standins
