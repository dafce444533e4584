#include "soak/upstream.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <sstream>

#include <fmt/format.h>

#include "model/model.h"

namespace poplarsail::soak {

namespace {

using boost::asio::ip::tcp;
using boost::asio::ip::udp;

constexpr std::chrono::milliseconds kServiceTime{15};
constexpr size_t kIdBytes = 8;

// An upstream repeats what is not acknowledged, as the platform specifies.
constexpr std::chrono::milliseconds kFirstHandshakePause{200};
constexpr std::chrono::milliseconds kMaxHandshakePause{1'600};
constexpr int kMaxHandshakeRepeats = 8;

// More connections than a listen backlog of 0 holds.
constexpr int kBacklogFillers = 4;

}  // namespace

Upstream::Upstream(boost::asio::io_context* context,
                   UpstreamOptions options,
                   UpstreamHooks hooks,
                   ExecutionCounter* executions,
                   Violations* violations)
    : m_context(context),
      m_options(std::move(options)),
      m_hooks(std::move(hooks)),
      m_executions(executions),
      m_violations(violations),
      m_socket(*context,
               udp::endpoint(model::ToEndpoint(m_options.endpoint).address,
                             m_options.endpoint.port)),
      m_acceptor(*context,
                 tcp::endpoint(model::ToEndpoint(m_options.endpoint).address,
                               m_options.endpoint.port)),
      m_random(m_options.id) {
  ReceiveNext();
  AcceptNext();
}

std::string Upstream::name() const {
  return fmt::format("i-{:010x}", m_options.id);
}

void Upstream::Crash() {
  m_is_running = false;
  m_flows.clear();
  boost::system::error_code ignored;
  m_acceptor.close(ignored);
}

void Upstream::ReleaseAddress() {
  boost::system::error_code ignored;
  m_socket.close(ignored);
}

void Upstream::Isolate() {
  m_is_isolated = true;
  m_acceptor.cancel();
  m_acceptor.listen(0);
  for (int i = 0; i < kBacklogFillers; ++i) {
    m_backlog_fillers.emplace_back(*m_context);
    m_backlog_fillers.back().async_connect(
        m_acceptor.local_endpoint(), [](const boost::system::error_code&) {});
  }
}

bool Upstream::HasOpenFlow(const FlowId& flow) const {
  const auto found = m_flows.find(flow);
  return m_is_running && found != m_flows.end() && found->second.is_open;
}

void Upstream::AcceptNext() {
  m_acceptor.async_accept(
      [this](const boost::system::error_code& error, tcp::socket) {
        if (!error) {
          AcceptNext();
        }
      });
}

void Upstream::ReceiveNext() {
  m_socket.async_receive_from(
      boost::asio::buffer(m_buffer), m_sender,
      [this](const boost::system::error_code& error, size_t size) {
        if (error == boost::asio::error::operation_aborted) {
          return;
        }
        const bool is_received =
            !error && !m_is_isolated &&
            m_hooks.is_reachable_from(m_sender.address().to_string());
        if (is_received) {
          HandlePacket({m_buffer.data(), size});
        }
        ReceiveNext();
      });
}

void Upstream::HandlePacket(std::span<const uint8_t> datagram) {
  if (datagram.size() < kIdBytes) {
    return;
  }
  uint64_t target_id = 0;
  for (size_t i = 0; i < kIdBytes; ++i) {
    target_id = target_id << 8 | datagram[i];
  }
  const auto packet = Decode(datagram.subspan(kIdBytes));
  if (!packet || (target_id != 0 && target_id != m_options.id)) {
    return;
  }
  const FlowId id{packet->source, packet->destination};
  m_echoes[id] = packet->echo;
  if (packet->syn && m_is_running) {
    return HandleSyn(id, *packet);
  }
  const auto found = m_flows.find(id);
  if (found == m_flows.end()) {
    return SendReset(id, *packet);
  }
  if (packet->fin || packet->rst) {
    m_flows.erase(found);
    return;
  }
  // The handshake completes at the upstream whose sequence number the client
  // acknowledges.
  if (!found->second.is_open &&
      packet->ack_number != found->second.local_sequence + 1) {
    // The client's flow is open at another upstream.
    return SendReset(id, *packet);
  }
  found->second.is_open = true;
  if (!packet->data.empty() && found->second.is_open) {
    HandleData(id, &found->second, *packet);
  }
}

void Upstream::HandleSyn(const FlowId& id, const Packet& syn) {
  const bool is_new = !m_flows.contains(id);
  Flow& flow = m_flows[id];
  if (is_new) {
    flow.local_sequence = static_cast<uint32_t>(m_options.id) + 1;
    flow.expected_sequence = syn.sequence + 1;
    m_hooks.on_new_flow(m_options, m_sender.address().to_string(),
                        syn.destination);
    RepeatHandshake(id, kFirstHandshakePause);
  }
  SendHandshake(id, flow);
}

void Upstream::SendHandshake(const FlowId& id, const Flow& flow) {
  if (std::uniform_real_distribution<>(0, 1)(m_random) <
      m_options.handshake_loss) {
    return;
  }
  Packet response;
  response.syn = true;
  response.ack = true;
  response.sequence = flow.local_sequence;
  response.ack_number = flow.expected_sequence;
  Send(id, response);
}

void Upstream::RepeatHandshake(const FlowId& id,
                               std::chrono::milliseconds pause) {
  auto timer = std::make_shared<boost::asio::steady_timer>(*m_context, pause);
  timer->async_wait([this, timer, id, pause](const boost::system::error_code&) {
    const auto found = m_flows.find(id);
    if (!m_is_running || found == m_flows.end() || found->second.is_open) {
      return;
    }
    if (++found->second.handshake_repeats > kMaxHandshakeRepeats) {
      m_flows.erase(found);
      return;
    }
    SendHandshake(id, found->second);
    RepeatHandshake(id, std::min(2 * pause, kMaxHandshakePause));
  });
}

void Upstream::SendReset(const FlowId& id, const Packet& packet) {
  if (packet.rst) {
    return;
  }
  Packet reset;
  reset.rst = true;
  reset.sequence = packet.ack_number;
  Send(id, reset);
}

void Upstream::HandleData(const FlowId& id, Flow* flow, const Packet& packet) {
  if (packet.sequence != flow->expected_sequence) {
    // A retransmission: the response, if there is one, was lost.
    if (!flow->response.empty()) {
      SendResponse(id, *flow);
    }
    return;
  }
  flow->expected_sequence += static_cast<uint32_t>(packet.data.size());
  flow->response_sequence = packet.ack_number;
  flow->response.clear();
  std::istringstream words(packet.data);
  std::string method;
  std::string request_id;
  std::string kind;
  std::string service;
  words >> method >> request_id >> kind >> service;
  if (service != m_options.service) {
    m_violations->Report(
        Invariant::kServiceIsolation,
        fmt::format("request {} for service {} ran at {} of service {}",
                    request_id, service, name(), m_options.service));
  }
  if (injects_second_execution) {
    m_executions->RecordExecution(request_id);
  }
  if (injects_reset) {
    Packet reset;
    reset.rst = true;
    reset.checksum = 0;
    Send(id, reset);
  }
  if (m_executions->RecordExecution(request_id) > 1) {
    m_violations->Report(
        Invariant::kAtMostOnce,
        fmt::format("request {} ran again at {}", request_id, name()));
  }
  auto timer =
      std::make_shared<boost::asio::steady_timer>(*m_context, kServiceTime);
  timer->async_wait(
      [this, timer, id, request_id](const boost::system::error_code&) {
        if (m_is_running) {
          Respond(id, request_id);
        }
      });
}

void Upstream::Respond(const FlowId& id, const std::string& request_id) {
  const auto found = m_flows.find(id);
  if (found == m_flows.end()) {
    return;
  }
  found->second.response =
      fmt::format("ANS {}", injects_wrong_response ? "another" : request_id);
  SendResponse(id, found->second);
}

void Upstream::SendResponse(const FlowId& id, const Flow& flow) {
  Packet response;
  response.ack = true;
  response.sequence = flow.response_sequence;
  response.data = flow.response;
  Send(id, response);
}

void Upstream::Send(const FlowId& id, Packet packet) {
  packet.source = id.second;
  packet.destination = id.first;
  packet.echo = m_echoes[id];
  const std::vector<uint8_t> bytes = Encode(packet);
  boost::system::error_code ignored;
  m_socket.send_to(boost::asio::buffer(bytes),
                   udp::endpoint(boost::asio::ip::address_v4(id.first.address),
                                 m_options.client_port),
                   0, ignored);
}

}  // namespace poplarsail::soak
