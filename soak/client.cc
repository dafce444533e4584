#include "soak/client.h"

#include <utility>

#include <fmt/format.h>

namespace poplarsail::soak {

namespace {

using boost::asio::ip::udp;
using std::chrono::milliseconds;

// Client timing as specified by the platform: a SYN is retransmitted after 200
// and 600 ms and given up after 1.4 s; data is retransmitted after 200 ms, and
// the interval doubles each time.
constexpr std::array<milliseconds, 3> kSynRetransmitTimeouts = {
    milliseconds(200), milliseconds(400), milliseconds(800)};
constexpr milliseconds kInitialRetransmitTimeout{200};
constexpr milliseconds kRequestTimeout{1'000};
constexpr milliseconds kReopenDelay{20};

}  // namespace

Client::Client(boost::asio::io_context* context,
               const std::string& address,
               uint16_t port,
               uint64_t seed,
               ClientHooks hooks,
               Violations* violations)
    : m_context(context),
      m_socket(*context,
               udp::endpoint(boost::asio::ip::make_address(address), port)),
      m_address(boost::asio::ip::make_address_v4(address).to_uint()),
      m_random(seed),
      m_hooks(std::move(hooks)),
      m_violations(violations) {
  ReceiveNext();
}

void Client::Start(int flow_count) {
  for (int i = 0; i < flow_count; ++i) {
    OpenFlow();
  }
}

void Client::OpenFlow() {
  if (m_is_stopping) {
    return;
  }
  auto flow = std::make_shared<Flow>(m_context);
  m_next_port = m_next_port == UINT16_MAX ? 1'025 : m_next_port + 1;
  const auto [listener, service] = m_hooks.pick_listener();
  flow->id = {{m_address, m_next_port}, listener};
  flow->service = service;
  flow->sequence = static_cast<uint32_t>(m_random());
  flow->requests_left = 1 + static_cast<int>(m_random() % 25);
  m_flows[m_next_port] = flow;
  ++m_counts.requests;
  SendSyn(flow);
}

void Client::SendSyn(const FlowPointer& flow) {
  if (flow->syn_transmissions ==
      static_cast<int>(kSynRetransmitTimeouts.size())) {
    return CloseFlow(flow, false, false);
  }
  Packet syn;
  syn.syn = true;
  syn.sequence = flow->sequence;
  syn.ack_number = static_cast<uint32_t>(flow->syn_transmissions);
  Send(flow, syn);
  StartFlowTimer(flow, kSynRetransmitTimeouts[flow->syn_transmissions++],
                 [this, flow]() { SendSyn(flow); });
}

void Client::StartRequest(const FlowPointer& flow) {
  flow->request_id = fmt::format("{:x}-{}", m_address, m_next_request++);
  flow->data = fmt::format("REQ {} once {}", flow->request_id, flow->service);
  flow->deadline = Clock::now() + kRequestTimeout;
  flow->retransmit_timeout = kInitialRetransmitTimeout;
  SendRequest(flow);
}

void Client::SendRequest(const FlowPointer& flow) {
  if (Clock::now() >= flow->deadline) {
    return CloseFlow(flow, false, true);
  }
  Packet packet;
  packet.ack = true;
  packet.sequence = flow->sequence;
  packet.ack_number = flow->ack_number;
  packet.data = flow->data;
  Send(flow, packet);
  const milliseconds pause =
      std::exchange(flow->retransmit_timeout, flow->retransmit_timeout * 2);
  StartFlowTimer(flow, pause, [this, flow]() { SendRequest(flow); });
}

void Client::CloseFlow(const FlowPointer& flow,
                       bool is_served,
                       bool sends_fin) {
  if (sends_fin) {
    Packet fin;
    fin.fin = true;
    fin.ack = true;
    fin.sequence = flow->sequence;
    fin.ack_number = flow->ack_number;
    Send(flow, fin);
  }
  m_counts.failed += is_served ? 0 : 1;
  StopFlowTimer(flow);
  m_flows.erase(flow->id.first.port);
  auto pause =
      std::make_shared<boost::asio::steady_timer>(*m_context, kReopenDelay);
  pause->async_wait(
      [this, pause](const boost::system::error_code&) { OpenFlow(); });
}

void Client::ReceiveNext() {
  m_socket.async_receive_from(
      boost::asio::buffer(m_buffer), m_sender,
      [this](const boost::system::error_code& error, size_t size) {
        if (error == boost::asio::error::operation_aborted) {
          return;
        }
        const auto packet =
            error ? std::nullopt
                  : Decode(std::span<const uint8_t>(m_buffer.data(), size));
        if (packet) {
          HandlePacket(*packet);
        }
        ReceiveNext();
      });
}

void Client::HandlePacket(const Packet& packet) {
  const auto found = m_flows.find(packet.destination.port);
  if (found == m_flows.end() || found->second->id.second != packet.source) {
    return;
  }
  const FlowPointer flow = found->second;
  if (packet.rst) {
    ++m_counts.resets;
    if (flow->is_open) {
      const bool is_from_daemon = packet.checksum == 0;
      m_hooks.on_flow_reset(flow->id, flow->last_daemon,
                            is_from_daemon ? model::Endpoint{}
                                           : model::Endpoint{m_sender.address(),
                                                             m_sender.port()});
    }
    return CloseFlow(flow, false, false);
  }
  flow->echo = packet.echo;
  if (packet.syn) {
    if (flow->is_open) {
      return;
    }
    flow->is_open = true;
    flow->ack_number = packet.sequence + 1;
    flow->sequence += 1;
    return StartRequest(flow);
  }
  if (flow->is_open && !packet.data.empty()) {
    HandleResponse(flow, packet);
  }
}

void Client::HandleResponse(const FlowPointer& flow, const Packet& packet) {
  // Duplicate responses carry a sequence number that was acknowledged before.
  if (flow->request_id.empty() || packet.sequence != flow->ack_number) {
    return;
  }
  if (packet.data != "ANS " + flow->request_id) {
    m_violations->Report(Invariant::kResponseIntact,
                         fmt::format("request {} got the response \"{}\"",
                                     flow->request_id, packet.data));
    return;
  }
  ++m_counts.served;
  flow->request_id.clear();
  flow->sequence += static_cast<uint32_t>(flow->data.size());
  flow->ack_number += static_cast<uint32_t>(packet.data.size());
  Packet ack;
  ack.ack = true;
  ack.sequence = flow->sequence;
  ack.ack_number = flow->ack_number;
  Send(flow, ack);
  if (--flow->requests_left == 0 || m_is_stopping) {
    return CloseFlow(flow, true, true);
  }
  StartFlowTimer(flow, milliseconds(50 + m_random() % 300), [this, flow]() {
    ++m_counts.requests;
    StartRequest(flow);
  });
}

void Client::Send(const FlowPointer& flow, Packet packet) {
  packet.source = flow->id.first;
  packet.destination = flow->id.second;
  packet.echo = packet.syn ? 0 : flow->echo;
  flow->last_daemon = m_hooks.pick_daemon(flow->id);
  if (flow->last_daemon.port == 0) {
    return;
  }
  const std::vector<uint8_t> bytes = Encode(packet);
  boost::system::error_code ignored;
  m_socket.send_to(
      boost::asio::buffer(bytes),
      udp::endpoint(flow->last_daemon.address, flow->last_daemon.port), 0,
      ignored);
}

void Client::StopFlowTimer(const FlowPointer& flow) {
  ++flow->timer_number;
  flow->timer.cancel();
}

void Client::StartFlowTimer(const FlowPointer& flow,
                            milliseconds pause,
                            std::function<void()> next) {
  flow->timer.expires_after(pause);
  const uint64_t number = ++flow->timer_number;
  flow->timer.async_wait([flow, number, next = std::move(next)](
                             const boost::system::error_code& error) {
    // A timer that has expired can no longer be cancelled.
    if (!error && flow->timer_number == number) {
      next();
    }
  });
}

}  // namespace poplarsail::soak
