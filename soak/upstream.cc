#include "soak/upstream.h"

#include <boost/asio/steady_timer.hpp>
#include <sstream>

#include <fmt/format.h>

#include "model/model.h"

namespace poplarsail::soak {

namespace {

using boost::asio::ip::tcp;
using boost::asio::ip::udp;

constexpr std::chrono::milliseconds kWork{15};
constexpr size_t kIdBytes = 8;

// More than a queue of length 0 takes.
constexpr int kQueueFillers = 4;

}  // namespace

Upstream::Upstream(boost::asio::io_context* context,
                   UpstreamOptions options,
                   UpstreamHooks hooks,
                   ExecutionCounter* ledger,
                   Violations* violations)
    : m_context(context),
      m_options(std::move(options)),
      m_hooks(std::move(hooks)),
      m_ledger(ledger),
      m_violations(violations),
      m_socket(*context,
               udp::endpoint(model::ToEndpoint(m_options.endpoint).address,
                             m_options.endpoint.port)),
      m_acceptor(*context,
                 tcp::endpoint(model::ToEndpoint(m_options.endpoint).address,
                               m_options.endpoint.port)) {
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
  m_socket.close(ignored);
  m_acceptor.close(ignored);
}

void Upstream::Isolate() {
  m_is_cut_off = true;
  m_acceptor.cancel();
  m_acceptor.listen(0);
  for (int i = 0; i < kQueueFillers; ++i) {
    m_queue_fillers.emplace_back(*m_context);
    m_queue_fillers.back().async_connect(
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
        if (error == boost::asio::error::operation_aborted || !m_is_running) {
          return;
        }
        const bool is_taken =
            !error && !m_is_cut_off &&
            m_hooks.is_reachable_from(m_sender.address().to_string());
        if (is_taken) {
          Take({m_buffer.data(), size});
        }
        ReceiveNext();
      });
}

void Upstream::Take(std::span<const uint8_t> datagram) {
  if (datagram.size() < kIdBytes) {
    return;
  }
  uint64_t meant = 0;
  for (size_t i = 0; i < kIdBytes; ++i) {
    meant = meant << 8 | datagram[i];
  }
  const auto packet = Decode(datagram.subspan(kIdBytes));
  if (!packet || (meant != 0 && meant != m_options.id)) {
    return;
  }
  const FlowId id{packet->source, packet->destination};
  m_echoes[id] = packet->echo;
  if (packet->syn) {
    const bool is_new = !m_flows.contains(id);
    Flow& flow = m_flows[id];
    if (is_new) {
      flow.own_sequence = static_cast<uint32_t>(m_options.id) + 1;
      flow.next_sequence = packet->sequence + 1;
      m_hooks.on_new_flow(m_options, m_sender.address().to_string(),
                     packet->destination);
    }
    Packet answer;
    answer.syn = true;
    answer.ack = true;
    answer.sequence = flow.own_sequence;
    answer.ack_number = packet->sequence + 1;
    return Send(id, answer);
  }
  const auto found = m_flows.find(id);
  if (found == m_flows.end()) {
    if (!packet->rst) {
      Packet reset;
      reset.rst = true;
      reset.sequence = packet->ack_number;
      Send(id, reset);
    }
    return;
  }
  if (packet->fin || packet->rst) {
    m_flows.erase(found);
    return;
  }
  // Open at the upstream whose sequence the caller acknowledges.
  if (!found->second.is_open &&
      packet->ack_number == found->second.own_sequence + 1) {
    found->second.is_open = true;
  }
  if (!packet->data.empty() && found->second.is_open) {
    TakeData(id, &found->second, *packet);
  }
}

void Upstream::TakeData(const FlowId& id, Flow* flow, const Packet& packet) {
  if (packet.sequence != flow->next_sequence) {
    // Sent again: the answer, if there is one, was lost.
    if (!flow->answer.empty()) {
      SendAnswer(id, *flow);
    }
    return;
  }
  flow->next_sequence += static_cast<uint32_t>(packet.data.size());
  flow->answer_sequence = packet.ack_number;
  flow->answer.clear();
  std::istringstream words(packet.data);
  std::string verb;
  std::string request;
  std::string kind;
  std::string service;
  words >> verb >> request >> kind >> service;
  if (service != m_options.service) {
    m_violations->Report(Promise::kNoCrossedService,
                         fmt::format("{} for {} ran at {} of {}", request,
                                     service, name(), m_options.service));
  }
  if (plant_second_run) {
    m_ledger->RecordExecution(request);
  }
  if (plant_reset) {
    Packet reset;
    reset.rst = true;
    reset.sum = 0;
    Send(id, reset);
  }
  if (m_ledger->RecordExecution(request) > 1) {
    m_violations->Report(Promise::kRunOnce,
                         fmt::format("{} ran again at {}", request, name()));
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(*m_context, kWork);
  timer->async_wait(
      [this, timer, id, request](const boost::system::error_code&) {
        if (m_is_running) {
          Answer(id, request);
        }
      });
}

void Upstream::Answer(const FlowId& id, const std::string& request) {
  const auto found = m_flows.find(id);
  if (found == m_flows.end()) {
    return;
  }
  found->second.answer =
      fmt::format("ANS {}", plant_mixed ? "another" : request);
  SendAnswer(id, found->second);
}

void Upstream::SendAnswer(const FlowId& id, const Flow& flow) {
  Packet answer;
  answer.ack = true;
  answer.sequence = flow.answer_sequence;
  answer.data = flow.answer;
  Send(id, answer);
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
