// Stand-in of the consumers at one address: opens flows and sends requests.
#ifndef REVIEW_STANDIN_CONSUMER_H_
#define REVIEW_STANDIN_CONSUMER_H_

#include <array>
#include <utility>
// Boost 1.74 needs <utility> before it.
#include <boost/asio.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>

#include "packet.h"
#include "store.h"

namespace review {

struct FlowPlan {
  Address route;
  // Requests in the flow, and the pause between them.
  int requests = 1;
  milliseconds pause{100};
  milliseconds time_budget{1'000};
};

enum class FlowEnd { kServed, kNotOpened, kReset, kTimeout };

// A reset that the consumer accepted.
struct AcceptedReset {
  FlowId flow;
  bool was_open = false;
  // The system sent it, not a target.
  bool is_from_system = false;
  std::string sender;
  uint16_t sender_port = 0;
};

class Consumer {
 public:
  using Udp = boost::asio::ip::udp;
  struct Hooks {
    // Returns the daemon that the routers choose, or an empty endpoint.
    std::function<Udp::endpoint(const FlowId&)> route;
    std::function<void(const AcceptedReset&)> on_reset;
    std::function<void(const FlowId&, const std::string& event)> on_event;
    // The first SYN of a flow is sent now.
    std::function<void(const FlowId&)> on_open;
  };
  using DoneHook = std::function<void(const FlowId&, FlowEnd)>;

  Consumer(boost::asio::io_context* context,
           const Udp::endpoint& address,
           uint64_t seed,
           Hooks hooks)
      : m_context(context),
        m_socket(*context, address),
        m_ip(address.address().to_v4().to_uint()),
        m_random(seed),
        m_hooks(std::move(hooks)) {
    Receive();
  }

  void Open(const FlowPlan& plan, DoneHook done) {
    m_next_port = m_next_port == UINT16_MAX ? 1'025 : m_next_port + 1;
    auto flow = std::make_shared<Flow>(m_context);
    flow->plan = plan;
    flow->requests_left = plan.requests;
    flow->done = std::move(done);
    flow->id = {{m_ip, m_next_port}, plan.route};
    flow->seq = static_cast<uint32_t>(m_random());
    m_flows[flow->id] = flow;
    m_hooks.on_open(flow->id);
    SendSyn(flow);
  }

 private:
  struct Flow {
    explicit Flow(boost::asio::io_context* context) : timer(*context) {}

    FlowId id;
    FlowPlan plan;
    DoneHook done;
    bool is_open = false;
    int syn_copies = 0;
    int requests_left = 0;
    uint32_t seq = 0;
    uint32_t ack = 0;
    uint32_t echo = 0;
    std::string request;
    std::string request_id;
    milliseconds pause{200};
    Clock::time_point deadline;
    boost::asio::steady_timer timer;
  };
  using FlowPointer = std::shared_ptr<Flow>;

  static constexpr std::array<milliseconds, 3> kSynPauses = {
      milliseconds(200), milliseconds(400), milliseconds(800)};
  static constexpr milliseconds kFirstPause{200};
  static constexpr milliseconds kMaxPause{1'600};
  static constexpr int32_t kResetWindow = 76'800;

  void After(const FlowPointer& flow,
             milliseconds pause,
             std::function<void()> next) {
    flow->timer.expires_after(pause);
    flow->timer.async_wait(
        [next = std::move(next)](const boost::system::error_code& error) {
          if (!error) {
            next();
          }
        });
  }

  void SendSyn(const FlowPointer& flow) {
    if (flow->syn_copies == static_cast<int>(kSynPauses.size())) {
      return End(flow, FlowEnd::kNotOpened);
    }
    Packet syn;
    syn.flags = kSyn;
    syn.seq = flow->seq;
    syn.ack = static_cast<uint32_t>(flow->syn_copies);
    Send(flow, syn);
    After(flow, kSynPauses[flow->syn_copies++],
          [this, flow]() { SendSyn(flow); });
  }

  void StartRequest(const FlowPointer& flow) {
    flow->request_id =
        std::to_string(m_ip & 0xffff) + "-" + std::to_string(m_next_request++);
    flow->request = flow->request_id + " please";
    flow->deadline = Clock::now() + flow->plan.time_budget;
    flow->pause = kFirstPause;
    m_hooks.on_event(flow->id, "request " + flow->request_id + " sent");
    SendRequest(flow);
  }

  void SendRequest(const FlowPointer& flow) {
    if (Clock::now() >= flow->deadline) {
      SendFin(flow);
      return End(flow, FlowEnd::kTimeout);
    }
    Packet packet;
    packet.flags = kAck;
    packet.seq = flow->seq;
    packet.ack = flow->ack;
    packet.data = flow->request;
    Send(flow, packet);
    const milliseconds pause = flow->pause;
    flow->pause = std::min(2 * flow->pause, kMaxPause);
    After(flow, pause, [this, flow]() { SendRequest(flow); });
  }

  void SendFin(const FlowPointer& flow) {
    Packet fin;
    fin.flags = kFin | kAck;
    fin.seq = flow->seq;
    fin.ack = flow->ack;
    Send(flow, fin);
  }

  void End(const FlowPointer& flow, FlowEnd end) {
    flow->timer.cancel();
    m_flows.erase(flow->id);
    static constexpr std::array<const char*, 4> kNames = {
        "done", "not opened", "reset", "time budget passed"};
    m_hooks.on_event(flow->id, kNames[static_cast<size_t>(end)]);
    flow->done(flow->id, end);
  }

  void Receive() {
    m_socket.async_receive_from(
        boost::asio::buffer(m_buffer), m_sender,
        [this](const boost::system::error_code& error, size_t size) {
          if (error == boost::asio::error::operation_aborted) {
            return;
          }
          if (!error) {
            const auto packet = Decode(std::string(m_buffer.data(), size));
            if (packet) {
              Handle(*packet);
            }
          }
          Receive();
        });
  }

  void Handle(const Packet& packet) {
    const auto found = m_flows.find({packet.destination, packet.source});
    if (found == m_flows.end()) {
      return;
    }
    const FlowPointer flow = found->second;
    if (packet.Has(kRst)) {
      return HandleReset(flow, packet);
    }
    flow->echo = packet.echo;
    if (packet.Has(kSyn)) {
      if (flow->is_open) {
        return;
      }
      flow->is_open = true;
      flow->seq += 1;
      flow->ack = packet.seq + 1;
      return StartRequest(flow);
    }
    if (!flow->is_open || packet.data.empty() || flow->request.empty() ||
        packet.seq != flow->ack) {
      return;
    }
    const std::string expected = "ANSWER " + flow->request_id + " ";
    if (packet.data.rfind(expected, 0) != 0) {
      m_hooks.on_event(flow->id, "foreign answer " + packet.data);
      return;
    }
    m_hooks.on_event(flow->id, packet.data);
    flow->seq += static_cast<uint32_t>(flow->request.size());
    flow->ack += static_cast<uint32_t>(packet.data.size());
    flow->request.clear();
    if (--flow->requests_left == 0) {
      SendFin(flow);
      return End(flow, FlowEnd::kServed);
    }
    Packet ack;
    ack.flags = kAck;
    ack.seq = flow->seq;
    ack.ack = flow->ack;
    Send(flow, ack);
    After(flow, flow->plan.pause, [this, flow]() { StartRequest(flow); });
  }

  void HandleReset(const FlowPointer& flow, const Packet& packet) {
    const bool is_from_system = packet.sum == 0;
    const auto distance = static_cast<int32_t>(packet.seq - flow->ack);
    const bool is_in_window =
        distance < kResetWindow && -distance < kResetWindow;
    if (flow->is_open && is_from_system && !is_in_window) {
      return;
    }
    m_hooks.on_reset({flow->id, flow->is_open, is_from_system,
                      m_sender.address().to_string(), m_sender.port()});
    End(flow, FlowEnd::kReset);
  }

  void Send(const FlowPointer& flow, Packet packet) {
    packet.source = flow->id.consumer;
    packet.destination = flow->id.route;
    packet.echo = packet.Has(kSyn) ? 0 : flow->echo;
    const Udp::endpoint daemon = m_hooks.route(flow->id);
    if (daemon.port() == 0) {
      return;
    }
    const std::string bytes = Encode(packet);
    boost::system::error_code ignored;
    m_socket.send_to(boost::asio::buffer(bytes), daemon, 0, ignored);
  }

  boost::asio::io_context* m_context;
  Udp::socket m_socket;
  uint32_t m_ip;
  std::mt19937_64 m_random;
  Hooks m_hooks;
  Udp::endpoint m_sender;
  std::array<char, 2'048> m_buffer{};
  uint16_t m_next_port = 1'025;
  uint64_t m_next_request = 1;
  std::map<FlowId, FlowPointer> m_flows;
};

}  // namespace review

#endif  // REVIEW_STANDIN_CONSUMER_H_
