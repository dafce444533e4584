// Placement of new flows, by this host or by a scheduler.
#include <algorithm>
#include <array>
#include <utility>

#include "flows/steering.h"

namespace poplarsail::flows {

namespace {

// Ages of a client's first SYN and of its copies.
constexpr std::array<milliseconds, 3> kRetransmitAges = {
    milliseconds(0), milliseconds(200), milliseconds(600)};

// The client's last copy of a SYN goes to another upstream in any case.
constexpr uint32_t kLastCopy = 2;

// Whether new flows of the listener may go to the upstream's service.
bool SendsFlowsTo(const Listener& listener, const Upstream& upstream) {
  const auto& shares = listener.record.shares;
  return std::any_of(shares.begin(), shares.end(), [&](const auto& share) {
    return share.weight > 0 && share.service == upstream.record.service;
  });
}

}  // namespace

Decision Steering::DecideSyn(const FlowPacket& packet,
                             const Listener& listener,
                             SteadyTime now) {
  FlowRecord* flow = m_flows.FindOrCreate(packet.key);
  const bool is_retransmit =
      flow != nullptr && (flow->is_held || flow->is_awaiting_response) &&
      !flow->is_established && packet.retransmit_count > 0;
  // A flow that waited is often placed just before its client's copy arrives,
  // and the upstream's response is on its way.
  const bool is_just_placed = is_retransmit && flow->token != 0 &&
                              flow->previous_upstream_id == 0 &&
                              now < flow->response_deadline;
  if (is_retransmit && (flow->is_held || is_just_placed)) {
    return {Action::kDrop, Reason::kHeld};
  }
  PlacementRequest request{&listener,
                           ChooseService(packet, listener),
                           {},
                           now,
                           !m_are_registrations_current};
  if (is_retransmit) {
    RecordFlowTimeout(flow, now);
    if (Upstream* live = FindLiveUpstream(packet, listener, *flow)) {
      return ResendSyn(packet, flow, live, now);
    }
    request.excluded_upstream_ids = {flow->upstream_id,
                                     flow->previous_upstream_id};
  } else if (Upstream* placed = FindPeerPlacement(packet, listener, now)) {
    if (flow != nullptr) {
      StartRecord(flow);
    }
    return ForwardSyn(packet, flow, placed, Reason::kPlacedByPeer, now);
  } else if (flow != nullptr && request.service != nullptr &&
             IsScheduled(request.service->record.name)) {
    return RequestPlacement(packet, *request.service, flow, now);
  }
  Upstream* chosen =
      request.service == nullptr ? nullptr : m_placement->Choose(request);
  if (chosen == nullptr && is_retransmit) {
    // Every other upstream is excluded or may not take the flow: retry the one
    // that has not responded, unless the listener has left its service since.
    Upstream* previous = m_routing_table.FindUpstream(flow->upstream_id);
    if (previous != nullptr && SendsFlowsTo(listener, *previous)) {
      chosen = previous;
    }
  }
  if (chosen == nullptr && !m_are_upstreams_current) {
    return {Action::kHold, Reason::kStateNotCurrent};
  }
  if (chosen == nullptr) {
    return {Action::kReset, Reason::kNoUpstream};
  }
  // A copy may follow one that another host has already forwarded.
  const bool is_first = !is_retransmit && packet.retransmit_count == 0;
  if (is_first && !m_admission.Admits(listener, chosen->record.service)) {
    return RefuseFlow(flow, Reason::kNoRoom, now);
  }
  if (flow != nullptr) {
    const uint64_t previous_upstream_id = is_retransmit ? flow->upstream_id : 0;
    const SteadyTime previous_sent = flow->awaiting_response_since;
    if (is_retransmit) {
      ReleasePlace(flow, scheduling::Outcome::kFailed);
    } else {
      StartRecord(flow);
    }
    flow->previous_upstream_id = previous_upstream_id;
    flow->previous_sent = previous_sent;
  }
  return ForwardSyn(packet, flow, chosen,
                    is_retransmit ? Reason::kPlacedAgain : Reason::kPlaced,
                    now);
}

const Service* Steering::ChooseService(const FlowPacket& packet,
                                       const Listener& listener) const {
  if (listener.weight_sum == 0) {
    return nullptr;
  }
  // Retransmissions of a SYN have to choose the same share.
  const uint64_t point = FlowKeyHash()(packet.key) % listener.weight_sum;
  uint64_t share_end = 0;
  const Service* fallback = nullptr;
  for (const cluster_state::ServiceShare& share : listener.record.shares) {
    const uint64_t share_start = share_end;
    share_end += share.weight;
    const Service* service = m_routing_table.FindService(share.service);
    const bool is_usable =
        service != nullptr && share.weight > 0 &&
        std::any_of(service->upstreams.begin(), service->upstreams.end(),
                    [](const Upstream* u) { return u->AcceptsNewFlows(); });
    if (!is_usable) {
      continue;
    }
    if (point >= share_start && point < share_end) {
      return service;
    }
    fallback = service;
  }
  return fallback;
}

void Steering::StartRecord(FlowRecord* flow) {
  ReleasePlace(flow, scheduling::Outcome::kAbandoned);
  DetachFlow(*flow);
  *flow = FlowRecord{};
  flow->has_seen_start = true;
}

Decision Steering::ForwardSyn(const FlowPacket& packet,
                              FlowRecord* flow,
                              Upstream* upstream,
                              Reason reason,
                              SteadyTime now) {
  upstream->liveness.RecordAttempt(now);
  upstream->RecordPlacement(now);
  const milliseconds syn_timeout =
      m_response_timeouts.SynTimeout(upstream->record.failure_domain);
  if (flow != nullptr) {
    AttachFlow(flow, upstream);
    ReportPlacement(flow, *upstream);
    flow->last_packet = now;
    AwaitResponse(flow, upstream, syn_timeout, now);
    flow->sequence_end = packet.sequence + 1;
  }
  Decision decision{Action::kForward, reason, upstream,
                    MakeTag(packet.key.listener, upstream->tag_base)};
  decision.response_deadline = now + syn_timeout;
  decision.probe_time = now + syn_timeout / 2;
  return decision;
}

Upstream* Steering::FindLiveUpstream(const FlowPacket& syn,
                                     const Listener& listener,
                                     const FlowRecord& flow) {
  Upstream* upstream = m_routing_table.FindUpstream(flow.upstream_id);
  const bool may_answer =
      upstream != nullptr && syn.retransmit_count < kLastCopy &&
      SendsFlowsTo(listener, *upstream) && upstream->AcceptsNewFlows() &&
      upstream->liveness.last_response() > flow.awaiting_response_since &&
      upstream->liveness.answers_syns();
  return may_answer ? upstream : nullptr;
}

Upstream* Steering::FindPeerPlacement(const FlowPacket& syn,
                                      const Listener& listener,
                                      SteadyTime now) {
  if (syn.retransmit_count == 0 || syn.retransmit_count >= kLastCopy) {
    return nullptr;
  }
  const auto upstream_id = m_peer_placements.Find(syn.key, now);
  Upstream* upstream =
      upstream_id ? m_routing_table.FindUpstream(*upstream_id) : nullptr;
  const bool is_usable =
      upstream != nullptr && SendsFlowsTo(listener, *upstream) &&
      upstream->AcceptsNewFlows() && upstream->liveness.AllowsAttempt(now);
  return is_usable ? upstream : nullptr;
}

Decision Steering::ResendSyn(const FlowPacket& syn,
                             FlowRecord* flow,
                             Upstream* upstream,
                             SteadyTime now) {
  const milliseconds syn_timeout =
      m_response_timeouts.SynTimeout(upstream->record.failure_domain);
  flow->is_syn_resent = true;
  flow->last_packet = now;
  flow->response_deadline = now + syn_timeout;
  Decision decision{Action::kForward, Reason::kSentAgain, upstream,
                    MakeTag(syn.key.listener, upstream->tag_base)};
  decision.response_deadline = flow->response_deadline;
  return decision;
}

Decision Steering::RequestPlacement(const FlowPacket& packet,
                                    const Service& service,
                                    FlowRecord* flow,
                                    SteadyTime now) {
  StartRecord(flow);
  scheduling::PlacementRequest request;
  request.listener = packet.key.listener;
  request.client_address = packet.key.client.address;
  request.first_syn =
      now - kRetransmitAges[std::min<size_t>(packet.retransmit_count,
                                             kRetransmitAges.size() - 1)];
  flow->is_held = true;
  flow->last_packet = now;
  flow->token = m_scheduler->Request(service.record.name, std::move(request));
  Decision decision{Action::kAwaitPlacement, Reason::kScheduled};
  decision.token = flow->token;
  return decision;
}

FlowRecord* Steering::FindHeldFlow(const FlowPacket& syn, uint32_t token) {
  FlowRecord* flow = m_flows.Find(syn.key);
  const bool is_held = flow != nullptr && flow->is_held && flow->token == token;
  return is_held ? flow : nullptr;
}

Decision Steering::PlaceHeldFlow(const FlowPacket& syn,
                                 uint32_t token,
                                 uint64_t upstream_id,
                                 SteadyTime now) {
  FlowRecord* flow = FindHeldFlow(syn, token);
  const Listener* listener = m_routing_table.FindListener(syn.key.listener);
  Upstream* upstream = m_routing_table.FindUpstream(upstream_id);
  const bool is_usable = flow != nullptr && listener != nullptr &&
                         upstream != nullptr && upstream->AcceptsNewFlows() &&
                         SendsFlowsTo(*listener, *upstream) &&
                         upstream->liveness.AllowsAttempt(now);
  if (!is_usable) {
    return {Action::kDrop, Reason::kNoUpstream};
  }
  flow->is_held = false;
  return ForwardSyn(syn, flow, upstream, Reason::kScheduled, now);
}

Decision Steering::PlaceHeldFlowLocally(const FlowPacket& syn,
                                        uint32_t token,
                                        SteadyTime now) {
  FlowRecord* flow = FindHeldFlow(syn, token);
  if (flow == nullptr) {
    return {Action::kDrop, Reason::kHeld};
  }
  flow->is_held = false;
  flow->token = 0;
  const Listener* listener = m_routing_table.FindListener(syn.key.listener);
  PlacementRequest request{
      listener, nullptr, {}, now, !m_are_registrations_current};
  request.service =
      listener == nullptr ? nullptr : ChooseService(syn, *listener);
  Upstream* chosen =
      request.service == nullptr ? nullptr : m_placement->Choose(request);
  if (chosen == nullptr) {
    return {Action::kReset,
            listener == nullptr ? Reason::kNoListener : Reason::kNoUpstream};
  }
  return ForwardSyn(syn, flow, chosen, Reason::kPlaced, now);
}

Decision Steering::RefuseHeldFlow(const FlowPacket& syn,
                                  uint32_t token,
                                  Reason reason,
                                  SteadyTime now) {
  FlowRecord* flow = FindHeldFlow(syn, token);
  return flow == nullptr ? Decision{Action::kDrop, Reason::kHeld}
                         : RefuseFlow(flow, reason, now);
}

Decision Steering::RefuseFlow(FlowRecord* flow, Reason reason, SteadyTime now) {
  if (flow != nullptr) {
    StartRecord(flow);
    flow->is_closed = true;
    flow->last_packet = now;
  }
  return {Action::kReset, reason};
}

void Steering::ReleasePlace(FlowRecord* flow,
                            scheduling::Outcome outcome,
                            SteadyTime::duration response_time) {
  const uint32_t token = std::exchange(flow->token, 0);
  if (token == 0 || flow->is_held || m_scheduler == nullptr) {
    return;
  }
  m_scheduler->OnCompleted(
      {token, flow->upstream_id, outcome,
       std::chrono::duration_cast<std::chrono::microseconds>(response_time)});
}

void Steering::ReportPlacement(FlowRecord* flow, const Upstream& upstream) {
  if (flow->token == 0) {
    if (!IsScheduled(upstream.record.service)) {
      return;
    }
    flow->token = m_scheduler->NewToken();
  }
  m_scheduler->OnPlaced(upstream.record.service, flow->token,
                        upstream.record.id);
}

void Steering::CountRequest(const FlowKey& key, FlowRecord* flow) {
  ++flow->request_count;
  if (flow->request_count == 2 && m_scheduler != nullptr) {
    m_scheduler->OnFlowReused(key.listener);
  }
}

}  // namespace poplarsail::flows
