#include "flows/steering.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <utility>

namespace poplarsail::flows {

std::string_view ToString(Reason reason) {
  static constexpr std::array<std::string_view, kReasonCount> kNames = {
      "placed",      "placed-again",     "tagged",        "no-listener",
      "no-upstream", "upstream-gone",    "upstream-dead", "unknown-tag",
      "no-tag",      "belief-incomplete"};
  return kNames[static_cast<size_t>(reason)];
}

namespace {

// Whether new flows of the listener may go to the upstream's service.
bool SendsFlowsTo(const Listener& listener, const Upstream& upstream) {
  const auto& shares = listener.record.shares;
  return std::any_of(shares.begin(), shares.end(), [&](const auto& share) {
    return share.weight > 0 && share.service == upstream.record.service;
  });
}

}  // namespace

Steering::Steering(std::unique_ptr<Placement> placement)
    : m_placement(std::move(placement)), m_flows(kFlowTableCapacity) {}

void Steering::Update(const cluster_state::ClusterState& cluster_state,
                      SteadyTime now) {
  m_has_complete_state = cluster_state.IsComplete();
  m_routing_table.Update(cluster_state, now);
  if (cluster_state.configuration() &&
      cluster_state.configuration()->flow_idle_timeout.count() > 0) {
    m_flow_idle_timeout = cluster_state.configuration()->flow_idle_timeout;
  }
}

Decision Steering::Decide(const FlowPacket& packet, SteadyTime now) {
  if (!m_has_complete_state) {
    return {Action::kHold, Reason::kStateIncomplete};
  }
  const Listener* listener = m_routing_table.FindListener(packet.key.listener);
  if (listener == nullptr) {
    return {packet.is_rst ? Action::kDrop : Action::kReset,
            Reason::kNoListener};
  }
  if (packet.is_syn) {
    return DecideSyn(packet, *listener, now);
  }
  return packet.tag == 0 ? DecideUntagged(packet, now)
                         : DecideTagged(packet, now);
}

Decision Steering::DecideSyn(const FlowPacket& packet,
                             const Listener& listener,
                             SteadyTime now) {
  FlowRecord* flow = m_flows.FindOrCreate(packet.key);
  PlacementRequest request{&listener, ChooseService(packet, listener), {}, now};
  const bool is_retransmit = flow != nullptr && flow->is_awaiting_response &&
                             !flow->is_established &&
                             packet.retransmit_count > 0;
  if (is_retransmit) {
    RecordFlowTimeout(flow, now);
    request.excluded_upstream_ids = {flow->upstream_id,
                                     flow->previous_upstream_id};
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
  if (chosen == nullptr) {
    return {Action::kReset, Reason::kNoUpstream};
  }
  chosen->liveness.RecordAttempt(now);
  const milliseconds syn_timeout =
      m_response_timeouts.SynTimeout(chosen->record.failure_domain);
  if (flow != nullptr) {
    if (!is_retransmit) {
      DetachFlow(*flow);
      *flow = FlowRecord{};
    }
    flow->previous_upstream_id = is_retransmit ? flow->upstream_id : 0;
    flow->previous_sent = flow->awaiting_response_since;
    AttachFlow(flow, chosen);
    flow->last_packet = now;
    AwaitResponse(flow, chosen, syn_timeout, now);
    flow->sequence_end = packet.sequence + 1;
  }
  chosen->RecordPlacement(now);
  return {Action::kForward,
          is_retransmit ? Reason::kPlacedAgain : Reason::kPlaced, chosen,
          MakeTag(packet.key.listener, chosen->tag_base), now + syn_timeout};
}

Decision Steering::DecideTagged(const FlowPacket& packet, SteadyTime now) {
  const Ipv4Endpoint& listener = packet.key.listener;
  Upstream* upstream = m_routing_table.FindByTag(listener, packet.tag);
  if (upstream == nullptr) {
    return DecideUntagged(packet, now);
  }
  FlowRecord* flow = m_flows.FindOrCreate(packet.key);
  upstream = FindPinnedUpstream(packet, flow, upstream);
  const auto response_deadline =
      flow == nullptr ? std::nullopt : TrackPacket(packet, flow, upstream, now);
  if (IsPresumedDead(*upstream, now) && !packet.is_rst) {
    return {Action::kReset, Reason::kUpstreamDead, upstream};
  }
  return {Action::kForward, Reason::kTagged, upstream,
          MakeTag(listener, upstream->tag_base), response_deadline};
}

Upstream* Steering::FindPinnedUpstream(const FlowPacket& packet,
                                       const FlowRecord* flow,
                                       Upstream* tagged) {
  // Several upstreams may have responded to retransmissions of one SYN, the
  // last one seconds later if a host was frozen. The flow is established with
  // the upstream whose tag came back first, while a client repeats the tag that
  // it received last.
  if (flow == nullptr || !flow->is_established ||
      tagged->record.id == flow->upstream_id) {
    return tagged;
  }
  const auto distance =
      static_cast<int32_t>(packet.sequence - flow->sequence_end);
  const bool is_same_flow = std::abs(distance) <= kSequenceWindow;
  Upstream* pinned =
      is_same_flow ? m_routing_table.FindUpstream(flow->upstream_id) : nullptr;
  return pinned == nullptr ? tagged : pinned;
}

Decision Steering::DecideUntagged(const FlowPacket& packet, SteadyTime now) {
  if (packet.is_rst) {
    return {Action::kDrop, Reason::kNoTag};
  }
  if (packet.tag != 0 &&
      m_routing_table.IsRecentlyRemoved(packet.key.listener, packet.tag)) {
    return {Action::kReset, Reason::kUpstreamGone};
  }
  FlowRecord* flow = m_flows.FindOrCreate(packet.key);
  if (flow == nullptr) {
    return {Action::kDrop, Reason::kUnknownTag};
  }
  flow->last_packet = now;
  if (flow->upstream_id != 0 || !flow->is_awaiting_response) {
    // Includes flows that have ended.
    DetachFlow(*flow);
    *flow = FlowRecord{};
    flow->last_packet = now;
    flow->awaiting_response_since = now;
    flow->is_awaiting_response = true;
  }
  const bool is_grace_period_over =
      now - flow->awaiting_response_since >= kUnknownTagGracePeriod;
  return {is_grace_period_over ? Action::kReset : Action::kDrop,
          Reason::kUnknownTag};
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

std::optional<SteadyTime> Steering::TrackPacket(const FlowPacket& packet,
                                                FlowRecord* flow,
                                                Upstream* upstream,
                                                SteadyTime now) {
  if (flow->is_closed) {
    return std::nullopt;
  }
  const bool is_new_flow = flow->upstream_id != upstream->record.id;
  // The upstream that got the SYN first responded after all, late.
  const bool is_late_handshake =
      is_new_flow && !flow->is_established && flow->previous_upstream_id != 0 &&
      flow->previous_upstream_id == upstream->record.id;
  if (is_late_handshake) {
    m_response_timeouts.RecordHandshake(upstream->record.failure_domain,
                                        now - flow->previous_sent);
    upstream->liveness.RecordResponse(now);
  }
  if (is_new_flow) {
    DetachFlow(*flow);
    *flow = FlowRecord{};
    AttachFlow(flow, upstream);
  }
  flow->last_packet = now;
  const uint32_t end =
      packet.sequence + static_cast<uint32_t>(packet.data_bytes);
  // A client sends a packet without data only to acknowledge what it has just
  // received, or to end the flow of its own accord.
  const bool is_acknowledgement =
      packet.data_bytes == 0 && !packet.is_fin && !packet.is_rst;
  const bool is_response =
      !is_new_flow && (!flow->is_established || is_acknowledgement ||
                       packet.ack_number != flow->ack_number);
  if (is_response) {
    RecordFlowResponse(*flow, upstream, now);
    SetAwaitingResponse(flow, upstream, false);
  }
  const bool has_new_data =
      packet.data_bytes > 0 &&
      (!flow->is_established ||
       static_cast<int32_t>(end - flow->sequence_end) > 0);
  if (has_new_data) {
    flow->sequence_end = end;
    AwaitResponse(flow, upstream,
                  m_response_timeouts.RequestTimeout(upstream->record.service),
                  now);
  } else if (packet.data_bytes > 0 && flow->is_awaiting_response) {
    RecordFlowTimeout(flow, now);
  }
  flow->is_established = true;
  flow->ack_number = packet.ack_number;
  if (packet.is_fin || packet.is_rst) {
    DetachFlow(*flow);
    flow->is_awaiting_response = false;
    flow->is_closed = true;
    return std::nullopt;
  }
  return has_new_data ? std::optional(flow->response_deadline) : std::nullopt;
}

void Steering::AwaitResponse(FlowRecord* flow,
                             Upstream* upstream,
                             milliseconds timeout,
                             SteadyTime now) {
  SetAwaitingResponse(flow, upstream, true);
  flow->is_timeout_recorded = false;
  flow->awaiting_response_since = now;
  flow->response_deadline = now + timeout;
}

void Steering::RecordFlowTimeout(FlowRecord* flow, SteadyTime now) {
  Upstream* upstream = m_routing_table.FindUpstream(flow->upstream_id);
  if (upstream == nullptr || flow->is_timeout_recorded ||
      now - flow->awaiting_response_since <
          m_response_timeouts.FlowTimeout(upstream->record.service)) {
    return;
  }
  flow->is_timeout_recorded = true;
  upstream->liveness.RecordResponseTimeout(flow->awaiting_response_since, now);
}

void Steering::RecordFlowResponse(const FlowRecord& flow,
                                  Upstream* upstream,
                                  SteadyTime now) {
  upstream->liveness.RecordResponse(now);
  if (!flow.is_awaiting_response) {
    return;
  }
  const auto time = now - flow.awaiting_response_since;
  if (flow.is_established) {
    m_response_times.Add(time);
    m_response_timeouts.RecordResponse(upstream->record.service, time);
    const std::chrono::duration<double, std::milli> response = time;
    upstream->response_ms +=
        kResponseTimeWeight * (response.count() - upstream->response_ms);
  } else {
    m_handshake_times.Add(time);
    m_response_timeouts.RecordHandshake(upstream->record.failure_domain, time);
  }
  if (now <= flow.response_deadline) {
    m_last_timely_response = now;
  }
}

ResponseTimeoutDecision Steering::DecideOnTimeout(const FlowPacket& packet,
                                                  SteadyTime now) {
  FlowRecord* flow = m_flows.Find(packet.key);
  // A later packet of the flow has a later deadline and an entry of its own.
  if (flow == nullptr || !flow->is_awaiting_response ||
      flow->is_established == packet.is_syn || now < flow->response_deadline) {
    return {};
  }
  Upstream* upstream = m_routing_table.FindUpstream(flow->upstream_id);
  if (upstream == nullptr ||
      upstream->liveness.last_response() > flow->awaiting_response_since) {
    return {};
  }
  if (packet.is_syn) {
    upstream->liveness.RecordSynTimeout(now);
  }
  ResponseTimeoutDecision decision;
  decision.check = StartCheck(upstream, now) ? upstream : nullptr;
  const Listener* listener = m_routing_table.FindListener(packet.key.listener);
  const bool may_resend =
      packet.is_syn && listener != nullptr && flow->previous_upstream_id == 0;
  if (!may_resend) {
    return decision;
  }
  const PlacementRequest request{
      listener, ChooseService(packet, *listener), {flow->upstream_id}, now};
  Upstream* other =
      request.service == nullptr ? nullptr : m_placement->Choose(request);
  if (other == nullptr) {
    return decision;
  }
  flow->previous_upstream_id = flow->upstream_id;
  flow->previous_sent = flow->awaiting_response_since;
  AttachFlow(flow, other);
  other->RecordPlacement(now);
  AwaitResponse(flow, other,
                m_response_timeouts.SynTimeout(other->record.failure_domain),
                now);
  decision.resend = Decision{Action::kForward, Reason::kPlacedAgain, other,
                             MakeTag(packet.key.listener, other->tag_base)};
  return decision;
}

bool Steering::StartCheck(Upstream* upstream, SteadyTime now) {
  if (now < upstream->next_check) {
    return false;
  }
  upstream->next_check = now + kCheckInterval;
  upstream->check_started = now;
  upstream->is_check_peer_initiated = false;
  return true;
}

CheckResultDecision Steering::HandleCheckResult(uint64_t upstream_id,
                                                CheckOutcome outcome,
                                                SteadyTime now) {
  Upstream* upstream = m_routing_table.FindUpstream(upstream_id);
  if (upstream == nullptr) {
    return {};
  }
  if (outcome == CheckOutcome::kConnected) {
    upstream->liveness.RecordConnection(now);
    return {};
  }
  if (outcome == CheckOutcome::kRefused &&
      !DoesRefusalEndFlows(*upstream, now)) {
    CheckResultDecision refused;
    refused.should_notify_peers = !upstream->is_check_peer_initiated &&
                                  upstream->liveness.AllowsAttempt(now);
    upstream->liveness.RecordRefusal(now);
    upstream->next_check = now + kRefusedCheckInterval;
    return refused;
  }
  const bool has_responded_since =
      upstream->liveness.last_response() >= upstream->check_started;
  if (has_responded_since) {
    upstream->next_check = now;
    return {};
  }
  CheckResultDecision decision;
  decision.should_notify_peers =
      !upstream->is_check_peer_initiated &&
      upstream->liveness.health(now) != Health::kPresumedDead;
  upstream->liveness.RecordFailedCheck(now);
  m_flows.ForEach([&](const FlowKey& key, FlowRecord* flow) {
    if (flow->upstream_id != upstream_id || flow->is_closed) {
      return;
    }
    FlowPacket packet;
    packet.key = key;
    packet.ack_number = flow->ack_number;
    decision.flows_to_reset.push_back(packet);
    DetachFlow(*flow);
    *flow = FlowRecord{};
    flow->last_packet = now;
  });
  // A flapping upstream has no flows when it recovers. As the least loaded one
  // it would get all new flows, only to lose them again.
  const auto lost = static_cast<uint32_t>(decision.flows_to_reset.size());
  if (lost >= upstream->RemainingLostFlows(now)) {
    upstream->lost_flows = lost;
    upstream->lost_at = now;
  }
  return decision;
}

const Upstream* Steering::HandleFailureReport(uint64_t upstream_id,
                                              SteadyTime now) {
  Upstream* upstream = m_routing_table.FindUpstream(upstream_id);
  if (upstream == nullptr || !StartCheck(upstream, now)) {
    return nullptr;
  }
  upstream->is_check_peer_initiated = true;
  upstream->liveness.RecordPeerReport(now);
  return upstream->open_flows > 0 ? upstream : nullptr;
}

std::vector<const Upstream*> Steering::StartDueChecks(SteadyTime now) {
  std::vector<const Upstream*> due;
  for (const auto& [id, upstream] : m_routing_table.upstreams()) {
    const bool needs_check =
        upstream->open_flows > 0 &&
        (upstream->is_unregistered ||
         upstream->liveness.health(now) != Health::kHealthy ||
         (upstream->liveness.is_refusing() &&
          upstream->liveness.has_timeouts()));
    if (needs_check && StartCheck(upstream.get(), now)) {
      due.push_back(upstream.get());
    }
  }
  return due;
}

bool Steering::DoesRefusalEndFlows(const Upstream& upstream,
                                   SteadyTime now) const {
  const bool may_be_stopping =
      upstream.is_unregistered || !m_are_registrations_current ||
      upstream.record.phase == cluster_state::UpstreamPhase::kDraining;
  if (may_be_stopping) {
    // Its flows get responses or end by themselves, unless a client that got
    // neither sends again.
    return upstream.liveness.has_timeouts();
  }
  // At its limit of connections it would go on responding.
  const auto silence = now - upstream.liveness.last_response();
  return upstream.flows_awaiting_response > 0 &&
         silence >= m_response_timeouts.RequestTimeout(upstream.record.service);
}

bool Steering::IsPresumedDead(const Upstream& upstream, SteadyTime now) const {
  const Liveness& liveness = upstream.liveness;
  const Health health = liveness.health(now);
  if (health == Health::kSuspect) {
    return upstream.is_unregistered;
  }
  // Timeouts alone prove nothing while no other upstream responds in time
  // either: this host's own link or CPU may be overloaded.
  const bool is_confirmed = liveness.HasRecentFailedCheck(now) ||
                            m_last_timely_response >= liveness.first_timeout();
  return health == Health::kPresumedDead && is_confirmed;
}

const Upstream* Steering::FindReferenceUpstream(const Upstream& checked) const {
  const Upstream* reference = nullptr;
  for (const auto& [id, upstream] : m_routing_table.upstreams()) {
    const bool is_candidate = id != checked.record.id &&
                              !upstream->is_unregistered &&
                              upstream->liveness.last_response() > SteadyTime();
    const bool is_better =
        is_candidate &&
        (reference == nullptr || upstream->liveness.last_response() >
                                     reference->liveness.last_response());
    reference = is_better ? upstream.get() : reference;
  }
  return reference;
}

milliseconds Steering::ConnectTimeout(const Upstream& checked,
                                      const Upstream* reference) const {
  const milliseconds timeout =
      m_response_timeouts.ConnectTimeout(checked.record.failure_domain);
  return reference == nullptr
             ? timeout
             : std::max(timeout, m_response_timeouts.ConnectTimeout(
                                     reference->record.failure_domain));
}

void Steering::SetAwaitingResponse(FlowRecord* flow,
                                   Upstream* upstream,
                                   bool is_awaiting_response) {
  if (std::exchange(flow->is_awaiting_response, is_awaiting_response) ==
      is_awaiting_response) {
    return;
  }
  if (is_awaiting_response) {
    ++upstream->flows_awaiting_response;
  } else if (upstream->flows_awaiting_response > 0) {
    // The counters of a restarted upstream begin at 0.
    --upstream->flows_awaiting_response;
  }
}

void Steering::DetachFlow(const FlowRecord& flow) {
  Upstream* upstream =
      flow.is_closed ? nullptr : m_routing_table.FindUpstream(flow.upstream_id);
  if (upstream == nullptr) {
    return;
  }
  // The counters of a restarted upstream begin at 0.
  if (upstream->open_flows > 0) {
    --upstream->open_flows;
  }
  if (flow.is_awaiting_response && upstream->flows_awaiting_response > 0) {
    --upstream->flows_awaiting_response;
  }
}

void Steering::AttachFlow(FlowRecord* flow, Upstream* upstream) {
  DetachFlow(*flow);
  flow->upstream_id = upstream->record.id;
  ++upstream->open_flows;
  upstream->flows_awaiting_response += flow->is_awaiting_response ? 1 : 0;
}

void Steering::EvictIdleFlows(SteadyTime now) {
  m_flows.EvictIdle(now - m_flow_idle_timeout, now - kClosedFlowRetention,
                    [this](const FlowRecord& flow) { DetachFlow(flow); });
}

}  // namespace poplarsail::flows
