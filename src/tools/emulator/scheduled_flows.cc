#include "emulator/scheduled_flows.h"

#include <utility>

namespace poplarsail::emulator {

namespace {

using namespace std::chrono_literals;
using scheduling::ClientActionKind;
using scheduling::Outcome;

// A copy of a SYN that was forwarded less than this ago may have crossed the
// response of the upstream.
constexpr milliseconds kSynTimeout{100};

// Time since the first SYN, by number of retransmissions.
milliseconds SynAge(uint32_t retransmit_count) {
  return retransmit_count == 0 ? 0ms : retransmit_count == 1 ? 200ms : 600ms;
}

}  // namespace

ScheduledFlows::ScheduledFlows(EventQueue* events,
                               SchedulingNetwork* network,
                               Identity identity,
                               Callbacks callbacks)
    : m_events(events),
      m_network(network),
      m_identity(std::move(identity)),
      m_callbacks(std::move(callbacks)),
      m_client({m_identity.endpoint, 0}) {
  network->Add(m_identity.endpoint, m_identity.failure_domain, this);
}

void ScheduledFlows::OnSyn(const flows::FlowPacket& packet) {
  const auto found = m_flows.find(packet.key);
  if (found == m_flows.end()) {
    Request(packet, {});
    return;
  }
  const Flow flow = found->second;
  const SteadyTime now = m_events->now();
  if (m_client.IsHeld(flow.token) || flow.is_established ||
      now < flow.syn_deadline) {
    return;
  }
  // The upstream has not responded to the SYN.
  m_client.OnCompleted({flow.token, flow.upstream_id, Outcome::kFailed, 0us},
                       now);
  m_keys.erase(flow.token);
  Request(packet, {flow.upstream_id});
}

void ScheduledFlows::Request(const flows::FlowPacket& packet,
                             const std::vector<uint64_t>& excluded) {
  const SteadyTime now = m_events->now();
  scheduling::PlacementRequest request;
  request.listener = packet.key.listener;
  request.client_address = packet.key.client.address;
  request.first_syn = now - SynAge(packet.retransmit_count);
  request.excluded_upstream_ids = excluded;
  const scheduling::ClientActions actions =
      m_client.Request(m_identity.service, std::move(request), now);
  const uint32_t token = actions.front().request.key.token;
  Flow& flow = m_flows[packet.key];
  flow = Flow{};
  flow.syn = packet;
  flow.token = token;
  m_keys[token] = packet.key;
  Execute(actions);
}

void ScheduledFlows::OnPacket(const flows::FlowPacket& packet) {
  const auto found = m_flows.find(packet.key);
  if (found == m_flows.end()) {
    return;
  }
  Flow& flow = found->second;
  flow.is_established = true;
  if (packet.data_bytes > 0 && !flow.is_completed) {
    flow.request_sent = m_events->now();
  }
  // Clients start with this acknowledgement number.
  const bool has_response = packet.ack_number > 1;
  const bool is_end = packet.is_fin || packet.is_rst;
  if (has_response || is_end) {
    Complete(&flow);
  }
  if (is_end) {
    m_keys.erase(flow.token);
    m_flows.erase(found);
  }
  ScheduleTick();
}

void ScheduledFlows::Complete(Flow* flow) {
  if (std::exchange(flow->is_completed, true)) {
    return;
  }
  const SteadyTime now = m_events->now();
  scheduling::Completion completion{flow->token, flow->upstream_id,
                                    Outcome::kAbandoned, 0us};
  if (flow->request_sent) {
    completion.outcome = Outcome::kResponded;
    completion.response_time =
        std::chrono::duration_cast<std::chrono::microseconds>(
            now - *flow->request_sent);
  }
  m_client.OnCompleted(completion, now);
}

void ScheduledFlows::Execute(const scheduling::ClientActions& actions) {
  for (const scheduling::ClientAction& action : actions) {
    ExecuteOne(action);
  }
  ScheduleTick();
}

ScheduledFlows::Flow* ScheduledFlows::FindFlow(uint32_t token) {
  const auto key = m_keys.find(token);
  return key == m_keys.end() ? nullptr : &m_flows.at(key->second);
}

void ScheduledFlows::ExecuteOne(const scheduling::ClientAction& action) {
  const scheduling::PlacementRequest& request = action.request;
  Flow* flow = FindFlow(request.key.token);
  if (flow == nullptr && action.kind == ClientActionKind::kPlace) {
    // The flow was established by an earlier copy of its SYN.
    m_client.OnCompleted(
        {request.key.token, action.upstream_id, Outcome::kAbandoned, 0us},
        m_events->now());
  }
  const bool needs_flow = action.kind == ClientActionKind::kPlace ||
                          action.kind == ClientActionKind::kPlaceLocally ||
                          action.kind == ClientActionKind::kReset;
  if (flow == nullptr && needs_flow) {
    return;
  }
  switch (action.kind) {
    case ClientActionKind::kSendRequest:
      Send(action.scheduler,
           scheduling::PlaceMessage{request.key.token,
                                    request.listener,
                                    request.client_address,
                                    std::chrono::duration_cast<milliseconds>(
                                        m_events->now() - request.first_syn),
                                    request.excluded_upstream_ids,
                                    {}});
      return;
    case ClientActionKind::kPlace:
      Place(flow, action.upstream_id);
      return;
    case ClientActionKind::kPlaceLocally:
      PlaceLocally(flow);
      return;
    case ClientActionKind::kReset:
      m_callbacks.reset(flow->syn);
      m_flows.erase(flow->syn.key);
      m_keys.erase(request.key.token);
      return;
    case ClientActionKind::kSendCompletions:
      Send(action.scheduler, scheduling::CompleteMessage{action.completions});
      return;
    case ClientActionKind::kSendSnapshot:
      Send(action.scheduler,
           scheduling::SnapshotMessage{0, 1, action.open_flows});
      return;
  }
}

void ScheduledFlows::Place(Flow* flow, uint64_t upstream_id) {
  const SteadyTime now = m_events->now();
  if (!m_callbacks.is_usable(upstream_id)) {
    m_client.OnCompleted({flow->token, upstream_id, Outcome::kFailed, 0us},
                         now);
    PlaceLocally(flow);
    return;
  }
  flow->upstream_id = upstream_id;
  flow->syn_deadline = now + kSynTimeout;
  m_client.OnPlaced(m_identity.service, flow->token, upstream_id, now);
  m_callbacks.forward(flow->syn, upstream_id);
}

void ScheduledFlows::PlaceLocally(Flow* flow) {
  flow->upstream_id = m_callbacks.place_locally(flow->syn);
  if (flow->upstream_id == 0) {
    m_keys.erase(flow->token);
    m_flows.erase(flow->syn.key);
    return;
  }
  const SteadyTime now = m_events->now();
  flow->syn_deadline = now + kSynTimeout;
  m_client.OnPlaced(m_identity.service, flow->token, flow->upstream_id, now);
}

void ScheduledFlows::OnMessage(const model::Ipv4Endpoint& from,
                               const scheduling::SchedulingMessage& message) {
  const SteadyTime now = m_events->now();
  const scheduling::MessageBody& body = message.body;
  if (const auto* grant = std::get_if<scheduling::GrantMessage>(&body)) {
    Execute(m_client.OnGrant(from, grant->token, grant->upstream_id, now));
    return;
  }
  if (const auto* queued = std::get_if<scheduling::QueuedMessage>(&body)) {
    Execute(m_client.OnQueued(from, queued->token, now));
    return;
  }
  const auto* refuse = std::get_if<scheduling::RefuseMessage>(&body);
  if (refuse != nullptr && !refuse->forwarded_for) {
    Execute(m_client.OnRefusal(from, refuse->token, refuse->reason,
                               refuse->other, now));
    return;
  }
  const auto* announcement = std::get_if<scheduling::Announcement>(&body);
  if (announcement != nullptr) {
    if (announcement->failure_domain == m_identity.failure_domain) {
      m_client.OnAnnouncement(*announcement, now);
    } else if (m_scheduler != nullptr) {
      m_scheduler->OnMessage(from, body);
    }
    return;
  }
  GetScheduler()->OnMessage(from, body);
}

void ScheduledFlows::OnForwardGranted(const std::string&,
                                      const scheduling::RequestKey& key) {
  GetScheduler()->OnForwardGranted(key);
}

SchedulerModel* ScheduledFlows::GetScheduler() {
  if (m_scheduler == nullptr) {
    m_scheduler = std::make_unique<SchedulerModel>(
        m_events, m_network, m_identity.endpoint, m_identity.service,
        m_identity.failure_domain, m_identity.seed);
    m_scheduler->Update(*m_cluster_state);
  }
  return m_scheduler.get();
}

void ScheduledFlows::Update(const cluster_state::ClusterState& cluster_state) {
  m_cluster_state = &cluster_state;
  if (m_scheduler != nullptr) {
    m_scheduler->Update(cluster_state);
  }
}

void ScheduledFlows::Send(const model::Ipv4Endpoint& to,
                          scheduling::MessageBody body) {
  m_network->Send(m_identity.endpoint, to,
                  {m_identity.service, std::move(body)});
}

void ScheduledFlows::ScheduleTick() {
  const auto deadline = m_client.NextDeadline();
  if (!deadline || (m_next_tick && *m_next_tick <= *deadline)) {
    return;
  }
  m_next_tick = deadline;
  m_events->ScheduleAt(*deadline, [this, due = *deadline]() {
    if (m_next_tick != due) {
      return;
    }
    m_next_tick.reset();
    Execute(m_client.Tick(m_events->now()));
  });
}

}  // namespace poplarsail::emulator
