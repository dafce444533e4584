// Stand-in of a target: runs requests that arrive in flows.
#ifndef REVIEW_STANDIN_TARGET_H_
#define REVIEW_STANDIN_TARGET_H_

#include <array>
#include <utility>
// Boost 1.74 needs <utility> before it.
#include <boost/asio.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "packet.h"
#include "store.h"

namespace review {

struct TargetOptions {
  uint64_t id = 0;
  std::string service;
  std::string zone;
  boost::asio::ip::udp::endpoint address;
  // Port of the consumers' addresses at which they receive packets.
  uint16_t consumer_port = 0;
  size_t max_conns = 2'000;
  milliseconds work{15};
  // Share of its datagrams that the network loses.
  double loss = 0;
};

class Target {
 public:
  using Udp = boost::asio::ip::udp;
  using Tcp = boost::asio::ip::tcp;
  // A SYN of a new flow arrived from a daemon, and whether it is accepted.
  using OpeningHook = std::function<
      void(const Target&, const FlowId&, const std::string& daemon, bool)>;
  using RunHook = std::function<void(const Target&, const std::string& id)>;

  Target(boost::asio::io_context* context,
         TargetOptions options,
         OpeningHook on_opening,
         RunHook on_run)
      : m_context(context),
        m_options(std::move(options)),
        m_on_opening(std::move(on_opening)),
        m_on_run(std::move(on_run)),
        m_socket(*context, m_options.address),
        m_acceptor(*context,
                   Tcp::endpoint(m_options.address.address(),
                                 m_options.address.port())) {
    Receive();
    Accept();
  }

  const TargetOptions& options() const { return m_options; }
  std::string name() const {
    std::array<char, 24> text{};
    std::snprintf(text.data(), text.size(), "i-%08llx",
                  static_cast<unsigned long long>(m_options.id));
    return text.data();
  }
  bool HasOpenFlow(const FlowId& id) const {
    const auto found = m_flows.find(id);
    return found != m_flows.end() && found->second->is_open;
  }
  // Starts again under the same id, and knows nothing of before.
  void Restart() {
    for (auto& [id, flow] : m_flows) {
      flow->timer.cancel();
    }
    m_flows.clear();
    m_ended.clear();
    born += 1'000;
  }

  // The entry of the target in the store.
  std::string Spec(const std::string& state, int64_t cold_left_ms) const {
    return R"({"service":")" + m_options.service + R"(","address":")" +
           m_options.address.address().to_string() + ":" +
           std::to_string(m_options.address.port()) + R"(","zone":")" +
           m_options.zone + R"(","version":"v1","slots":2,"state":")" + state +
           R"(","cold_left_ms":)" + std::to_string(cold_left_ms) +
           R"(,"seq":1,"born":)" + std::to_string(born) + "}";
  }
  int64_t born = 1'790'000'000'000;

 private:
  struct Flow {
    explicit Flow(boost::asio::io_context* context) : timer(*context) {}

    bool is_open = false;
    uint32_t own_seq = 0;
    uint32_t expected = 0;
    uint32_t echo = 0;
    // The response that the consumer has not acknowledged yet.
    std::string response;
    milliseconds pause{200};
    int retransmissions = 0;
    boost::asio::steady_timer timer;
  };
  using FlowPointer = std::shared_ptr<Flow>;

  static constexpr size_t kIdBytes = 8;
  static constexpr int kMaxRetransmissions = 8;
  static constexpr milliseconds kFirstPause{200};
  static constexpr milliseconds kMaxPause{1'600};

  void Accept() {
    m_acceptor.async_accept(
        [this](const boost::system::error_code& error, Tcp::socket socket) {
          if (error) {
            return;
          }
          ServeHealth(std::make_shared<Tcp::socket>(std::move(socket)));
          Accept();
        });
  }

  void ServeHealth(const std::shared_ptr<Tcp::socket>& socket) {
    auto input = std::make_shared<std::array<char, 512>>();
    socket->async_read_some(
        boost::asio::buffer(*input),
        [socket, input](const boost::system::error_code& error, size_t) {
          static const std::string kAnswer =
              "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
          if (!error) {
            boost::asio::async_write(
                *socket, boost::asio::buffer(kAnswer),
                [socket](const boost::system::error_code&, size_t) {});
          }
        });
  }

  void Receive() {
    m_socket.async_receive_from(
        boost::asio::buffer(m_buffer), m_sender,
        [this](const boost::system::error_code& error, size_t size) {
          if (error == boost::asio::error::operation_aborted ||
              error == boost::asio::error::bad_descriptor) {
            return;
          }
          if (!error) {
            Handle(std::string(m_buffer.data(), size));
          }
          Receive();
        });
  }

  void Handle(const std::string& datagram) {
    if (datagram.size() < kIdBytes) {
      return;
    }
    uint64_t meant = 0;
    for (size_t i = 0; i < kIdBytes; ++i) {
      meant = meant << 8 | static_cast<uint8_t>(datagram[i]);
    }
    const auto packet = Decode(datagram.substr(kIdBytes));
    if (!packet || (meant != 0 && meant != m_options.id)) {
      return;
    }
    const FlowId id{packet->source, packet->destination};
    if (packet->Has(kSyn)) {
      return HandleSyn(id, *packet);
    }
    const auto found = m_flows.find(id);
    if (found == m_flows.end()) {
      return HandleUnknown(id, *packet);
    }
    const FlowPointer flow = found->second;
    flow->echo = packet->echo;
    if (packet->Has(kRst)) {
      return End(id, flow);
    }
    if (!flow->is_open) {
      // As in TCP, an acknowledgement of something that was not sent is
      // answered with a reset: this target does not hold the consumer's flow.
      if (packet->ack != flow->own_seq) {
        Packet answer;
        answer.flags = kRst;
        answer.seq = packet->ack;
        Send(id, packet->echo, answer);
        return;
      }
      flow->is_open = true;
      flow->timer.cancel();
    }
    HandleOpen(id, flow, *packet);
  }

  void HandleSyn(const FlowId& id, const Packet& packet) {
    auto found = m_flows.find(id);
    if (found == m_flows.end()) {
      const bool is_accepted = m_flows.size() < m_options.max_conns;
      m_on_opening(*this, id, m_sender.address().to_string(), is_accepted);
      if (!is_accepted) {
        return;
      }
      auto flow = std::make_shared<Flow>(m_context);
      flow->own_seq = static_cast<uint32_t>(m_options.id * 2'654'435'761U) +
                      id.consumer.port + 1;
      flow->expected = packet.seq + 1;
      found = m_flows.emplace(id, flow).first;
      found->second->echo = packet.echo;
      SendSynAck(id, flow);
      return RepeatSynAck(id, flow);
    }
    found->second->echo = packet.echo;
    SendSynAck(id, found->second);
  }

  void SendSynAck(const FlowId& id, const FlowPointer& flow) {
    Packet answer;
    answer.flags = kSyn | kAck;
    answer.seq = flow->own_seq - 1;
    answer.ack = flow->expected;
    Send(id, flow->echo, answer);
  }

  // Retransmits a SYN+ACK that nobody acknowledges, like any missing packet.
  void RepeatSynAck(const FlowId& id, const FlowPointer& flow) {
    flow->timer.expires_after(flow->pause);
    flow->timer.async_wait(
        [this, id, flow](const boost::system::error_code& error) {
          if (error || flow->is_open) {
            return;
          }
          if (++flow->retransmissions > kMaxRetransmissions) {
            m_flows.erase(id);
            return;
          }
          flow->pause = std::min(2 * flow->pause, kMaxPause);
          SendSynAck(id, flow);
          RepeatSynAck(id, flow);
        });
  }

  void HandleUnknown(const FlowId& id, const Packet& packet) {
    if (packet.Has(kRst)) {
      return;
    }
    Packet answer;
    const auto ended = m_ended.find(id);
    if (ended != m_ended.end() && packet.data.empty()) {
      if (packet.Has(kFin)) {
        answer.flags = kAck;
        answer.seq = packet.ack;
        answer.ack = packet.seq + 1;
        Send(id, packet.echo, answer);
      }
      return;
    }
    answer.flags = kRst;
    answer.seq = packet.ack;
    Send(id, packet.echo, answer);
  }

  void HandleOpen(const FlowId& id,
                  const FlowPointer& flow,
                  const Packet& packet) {
    const bool is_response_acked =
        !flow->response.empty() &&
        packet.ack ==
            flow->own_seq + static_cast<uint32_t>(flow->response.size());
    if (is_response_acked) {
      flow->own_seq = packet.ack;
      flow->response.clear();
      flow->timer.cancel();
    }
    if (!packet.data.empty() && packet.seq == flow->expected) {
      flow->expected += static_cast<uint32_t>(packet.data.size());
      Run(id, flow, packet.data.substr(0, packet.data.find(' ')));
    } else if (!packet.data.empty() && !flow->response.empty()) {
      SendResponse(id, flow);
    }
    if (packet.Has(kFin)) {
      Packet answer;
      answer.flags = kAck | kFin;
      answer.seq = flow->own_seq;
      answer.ack = packet.seq + 1;
      Send(id, flow->echo, answer);
      End(id, flow);
    }
  }

  void End(const FlowId& id, const FlowPointer& flow) {
    flow->timer.cancel();
    m_flows.erase(id);
    m_ended[id] = true;
  }

  void Run(const FlowId& id,
           const FlowPointer& flow,
           const std::string& request) {
    m_on_run(*this, request);
    flow->timer.expires_after(m_options.work);
    flow->timer.async_wait(
        [this, id, flow, request](const boost::system::error_code& error) {
          if (error) {
            return;
          }
          flow->response = "ANSWER " + request + " " + name();
          flow->pause = kFirstPause;
          flow->retransmissions = 0;
          SendResponse(id, flow);
          WaitForAck(id, flow);
        });
  }

  void WaitForAck(const FlowId& id, const FlowPointer& flow) {
    flow->timer.expires_after(flow->pause);
    flow->timer.async_wait(
        [this, id, flow](const boost::system::error_code& error) {
          if (error || flow->response.empty() ||
              ++flow->retransmissions > kMaxRetransmissions) {
            return;
          }
          flow->pause = std::min(2 * flow->pause, kMaxPause);
          SendResponse(id, flow);
          WaitForAck(id, flow);
        });
  }

  void SendResponse(const FlowId& id, const FlowPointer& flow) {
    Packet packet;
    packet.flags = kAck;
    packet.seq = flow->own_seq;
    packet.ack = flow->expected;
    packet.data = flow->response;
    Send(id, flow->echo, packet);
  }

  void Send(const FlowId& id, uint32_t echo, Packet packet) {
    if (std::uniform_real_distribution<>(0, 1)(m_random) < m_options.loss) {
      return;
    }
    packet.source = id.route;
    packet.destination = id.consumer;
    packet.echo = echo;
    const std::string bytes = Encode(packet);
    boost::system::error_code ignored;
    m_socket.send_to(boost::asio::buffer(bytes),
                     Udp::endpoint(boost::asio::ip::address_v4(id.consumer.ip),
                                   m_options.consumer_port),
                     0, ignored);
  }

  boost::asio::io_context* m_context;
  TargetOptions m_options;
  OpeningHook m_on_opening;
  RunHook m_on_run;
  Udp::socket m_socket;
  Tcp::acceptor m_acceptor;
  Udp::endpoint m_sender;
  std::array<char, 2'048> m_buffer{};
  std::mt19937_64 m_random{std::random_device()()};
  std::map<FlowId, FlowPointer> m_flows;
  std::map<FlowId, bool> m_ended;
};

}  // namespace review

#endif  // REVIEW_STANDIN_TARGET_H_
