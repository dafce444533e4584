#ifndef STANDINS_FAKE_UPSTREAM_H_
#define STANDINS_FAKE_UPSTREAM_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "model/model.h"
#include "steering/steering.h"
#include "transport/transport.h"

namespace poplarsail::standins {

// How one upstream behaves.
struct UpstreamOptions {
  std::string name;
  model::Endpoint requests;
  uint16_t packet_port = 6080;
  // Where answers to packets go: the callers' socket.
  model::Endpoint callers;
  uint32_t slots = 2;
  std::chrono::milliseconds service_time{5};
};

// An upstream: ends flows of IP packets and answers them directly, and runs
// HTTP/2 requests on its slots, shedding the rest. "GET /ran" lists the ids
// ("x-request-id") that it ran, one a line.
//
// An answer to a packet is 'A' (accepted) or 'R' (reset), the length of the
// name, the name, and the packet.
class FakeUpstream {
 public:
  FakeUpstream(boost::asio::io_context* context,
                  const UpstreamOptions& options);

  // So many requests end with a reset after they ran (their outcome is lost).
  void LoseNextAnswers(int count) { m_lose_answers = count; }
  const std::vector<std::string>& ran() const { return m_ran; }
  size_t flow_count() const { return m_flows.size(); }
  model::Endpoint request_endpoint() const;

 private:
  void ReceivePacket();
  void AnswerPacket(size_t length);
  void Accept();
  void RunRequest(const std::weak_ptr<transport::Http2Connection>& caller,
                  transport::Http2Connection::StreamId stream,
                  const transport::HttpMessage& request);

  boost::asio::io_context* m_context;
  UpstreamOptions m_options;
  boost::asio::ip::udp::socket m_packets;
  boost::asio::ip::tcp::acceptor m_acceptor;
  std::array<uint8_t, 9216> m_buffer;
  std::set<steering::FlowKey> m_flows;
  std::set<std::shared_ptr<transport::Http2Connection>> m_callers;
  std::vector<std::string> m_ran;
  uint32_t m_running = 0;
  int m_lose_answers = 0;
};

}  // namespace poplarsail::standins

#endif  // STANDINS_FAKE_UPSTREAM_H_
