#include "soak/client.h"

#include <utility>

#include <fmt/format.h>

namespace poplarsail::soak {

namespace {

using boost::asio::ip::udp;
using std::chrono::milliseconds;

// As the platform's page has it: copies of an opening packet after 200 and
// 600 ms, given up after 1.4 s; data again after 200 ms, then twice as long.
constexpr std::array<milliseconds, 3> kSynPauses = {
    milliseconds(200), milliseconds(400), milliseconds(800)};
constexpr milliseconds kRetryPause{200};
constexpr milliseconds kTimeBudget{1'000};
constexpr milliseconds kReopenPause{20};

}  // namespace

Caller::Caller(boost::asio::io_context* context,
               const std::string& address,
               uint16_t port,
               uint64_t seed,
               CallerHooks hooks,
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

void Caller::Start(int flow_count) {
  for (int i = 0; i < flow_count; ++i) {
    Open();
  }
}

void Caller::Open() {
  if (m_is_stopping) {
    return;
  }
  auto flow = std::make_shared<Flow>(m_context);
  m_next_port = m_next_port == UINT16_MAX ? 1'025 : m_next_port + 1;
  const auto [listener, service] = m_hooks.choose();
  flow->id = {{m_address, m_next_port}, listener};
  flow->service = service;
  flow->sequence = static_cast<uint32_t>(m_random());
  flow->requests_left = 1 + static_cast<int>(m_random() % 25);
  m_flows[m_next_port] = flow;
  ++m_counts.asked;
  SendSyn(flow);
}

void Caller::SendSyn(const FlowPointer& flow) {
  if (flow->copies == static_cast<int>(kSynPauses.size())) {
    return End(flow, false, false);
  }
  Packet syn;
  syn.syn = true;
  syn.sequence = flow->sequence;
  syn.ack_number = static_cast<uint32_t>(flow->copies);
  Send(flow, syn);
  After(flow, kSynPauses[flow->copies++], [this, flow]() { SendSyn(flow); });
}

void Caller::Ask(const FlowPointer& flow) {
  flow->request = fmt::format("{:x}-{}", m_address, m_next_request++);
  flow->data = fmt::format("REQ {} once {}", flow->request, flow->service);
  flow->deadline = Clock::now() + kTimeBudget;
  flow->retry_pause = kRetryPause;
  SendRequest(flow);
}

void Caller::SendRequest(const FlowPointer& flow) {
  if (Clock::now() >= flow->deadline) {
    return End(flow, false, true);
  }
  Packet packet;
  packet.ack = true;
  packet.sequence = flow->sequence;
  packet.ack_number = flow->ack_number;
  packet.data = flow->data;
  Send(flow, packet);
  const milliseconds pause =
      std::exchange(flow->retry_pause, flow->retry_pause * 2);
  After(flow, pause, [this, flow]() { SendRequest(flow); });
}

void Caller::End(const FlowPointer& flow, bool is_served, bool sends_fin) {
  if (sends_fin) {
    Packet fin;
    fin.fin = true;
    fin.ack = true;
    fin.sequence = flow->sequence;
    fin.ack_number = flow->ack_number;
    Send(flow, fin);
  }
  m_counts.failed += is_served ? 0 : 1;
  flow->timer.cancel();
  m_flows.erase(flow->id.first.port);
  auto pause =
      std::make_shared<boost::asio::steady_timer>(*m_context, kReopenPause);
  pause->async_wait(
      [this, pause](const boost::system::error_code&) { Open(); });
}

void Caller::ReceiveNext() {
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
          Take(*packet);
        }
        ReceiveNext();
      });
}

void Caller::Take(const Packet& packet) {
  const auto found = m_flows.find(packet.destination.port);
  if (found == m_flows.end() || found->second->id.second != packet.source) {
    return;
  }
  const FlowPointer flow = found->second;
  if (packet.rst) {
    ++m_counts.resets;
    if (flow->is_open && packet.sum == 0) {
      m_hooks.reset(flow->id, flow->last_daemon);
    }
    return End(flow, false, false);
  }
  flow->echo = packet.echo;
  if (packet.syn) {
    if (flow->is_open) {
      return;
    }
    flow->is_open = true;
    flow->ack_number = packet.sequence + 1;
    flow->sequence += 1;
    return Ask(flow);
  }
  if (flow->is_open && !packet.data.empty()) {
    TakeAnswer(flow, packet);
  }
}

void Caller::TakeAnswer(const FlowPointer& flow, const Packet& packet) {
  // Answers that were sent twice have a sequence that was acknowledged before.
  if (flow->request.empty() || packet.sequence != flow->ack_number) {
    return;
  }
  if (packet.data != "ANS " + flow->request) {
    m_violations->Report(
        Promise::kNoMixedAnswer,
        fmt::format("{} got \"{}\"", flow->request, packet.data));
    return;
  }
  ++m_counts.served;
  flow->request.clear();
  flow->sequence += static_cast<uint32_t>(flow->data.size());
  flow->ack_number += static_cast<uint32_t>(packet.data.size());
  Packet ack;
  ack.ack = true;
  ack.sequence = flow->sequence;
  ack.ack_number = flow->ack_number;
  Send(flow, ack);
  if (--flow->requests_left == 0 || m_is_stopping) {
    return End(flow, true, true);
  }
  After(flow, milliseconds(50 + m_random() % 300), [this, flow]() {
    ++m_counts.asked;
    Ask(flow);
  });
}

void Caller::Send(const FlowPointer& flow, Packet packet) {
  packet.source = flow->id.first;
  packet.destination = flow->id.second;
  packet.echo = packet.syn ? 0 : flow->echo;
  flow->last_daemon = m_hooks.route(flow->id);
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

void Caller::After(const FlowPointer& flow,
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

}  // namespace poplarsail::soak
