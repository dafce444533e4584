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

// Configuration of one fake upstream.
struct UpstreamOptions {
  std::string name;
  model::Endpoint requests;
  uint16_t packet_port = 6080;
  // Destination of responses to packets: the socket of the load generator.
  model::Endpoint client_endpoint;
  uint32_t slots = 2;
  std::chrono::milliseconds service_time{5};
};

// A fake upstream: terminates flows of IP packets and responds to the client
// directly, and runs HTTP/2 requests on its slots, refusing requests when all
// are busy. "GET /ran" lists the ids ("x-request-id") of the executed requests,
// one per line.
//
// A response to a packet consists of 'A' (accepted) or 'R' (reset), the length
// of the name, the name, and the packet.
class FakeUpstream {
 public:
  FakeUpstream(boost::asio::io_context* context,
               const UpstreamOptions& options);

  // Closes the connection instead of responding to the next `count` requests,
  // after they ran, so that their outcome is lost.
  void DropNextResponses(int count) { m_responses_to_drop = count; }
  const std::vector<std::string>& executed_requests() const {
    return m_executed_requests;
  }
  size_t flow_count() const { return m_flows.size(); }
  model::Endpoint request_endpoint() const;

 private:
  void ReceivePacket();
  void RespondToPacket(size_t length);
  void Accept();
  void ExecuteRequest(const std::weak_ptr<transport::Http2Connection>& client,
                      transport::Http2Connection::StreamId stream,
                      const transport::HttpMessage& request);

  boost::asio::io_context* m_context;
  UpstreamOptions m_options;
  boost::asio::ip::udp::socket m_packet_socket;
  boost::asio::ip::tcp::acceptor m_acceptor;
  std::array<uint8_t, 9216> m_buffer;
  std::set<steering::FlowKey> m_flows;
  std::set<std::shared_ptr<transport::Http2Connection>> m_connections;
  std::vector<std::string> m_executed_requests;
  uint32_t m_running = 0;
  int m_responses_to_drop = 0;
};

}  // namespace poplarsail::standins

#endif  // STANDINS_FAKE_UPSTREAM_H_
