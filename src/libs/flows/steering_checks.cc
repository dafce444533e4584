// Overdue responses and checks of upstreams.
#include <algorithm>

#include "flows/steering.h"

namespace poplarsail::flows {

ResponseTimeoutDecision Steering::DecideOnTimeout(const FlowPacket& packet,
                                                  SteadyTime now) {
  FlowRecord* flow = m_flows.Find(packet.key);
  if (flow == nullptr || !flow->is_awaiting_response ||
      flow->is_established == packet.is_syn) {
    return {};
  }
  Upstream* upstream = m_routing_table.FindUpstream(flow->upstream_id);
  if (upstream == nullptr) {
    return {};
  }
  if (now < flow->response_deadline) {
    // A later request of the flow has a later deadline and an entry of its own.
    return packet.is_syn ? ProbeUpstream(*flow, upstream, now)
                         : ResponseTimeoutDecision{};
  }
  if (packet.is_syn) {
    return DecideOnSynTimeout(packet, flow, upstream, now);
  }
  // A scheduler learns the speeds of its upstreams by itself.
  if (!IsScheduled(upstream->record.service)) {
    m_overdue_monitor.RecordOverdue(upstream, now);
  }
  ResponseTimeoutDecision decision;
  const bool has_responded =
      upstream->liveness.last_response() > flow->awaiting_response_since;
  if (!has_responded && StartCheck(upstream, now)) {
    decision.check = upstream;
  }
  return decision;
}

ResponseTimeoutDecision Steering::ProbeUpstream(const FlowRecord& flow,
                                                Upstream* upstream,
                                                SteadyTime now) {
  ResponseTimeoutDecision decision;
  decision.next_deadline = flow.response_deadline;
  const bool has_responded =
      upstream->liveness.last_response() > flow.awaiting_response_since;
  if (!has_responded && now >= upstream->next_probe) {
    upstream->next_probe = now + kProbeInterval;
    decision.probe = upstream;
  }
  return decision;
}

ResponseTimeoutDecision Steering::DecideOnSynTimeout(const FlowPacket& syn,
                                                     FlowRecord* flow,
                                                     Upstream* upstream,
                                                     SteadyTime now) {
  ResponseTimeoutDecision decision;
  if (upstream->liveness.last_response() > flow->awaiting_response_since) {
    const Listener* listener = m_routing_table.FindListener(syn.key.listener);
    if (flow->is_syn_resent || listener == nullptr) {
      return decision;
    }
    upstream->liveness.RecordUnansweredSyn();
    if (Upstream* live = FindLiveUpstream(syn, *listener, *flow)) {
      decision.resend = ResendSyn(syn, flow, live, now);
    }
    return decision;
  }
  upstream->liveness.RecordSynTimeout(now);
  decision.check = StartCheck(upstream, now) ? upstream : nullptr;
  if (flow->previous_upstream_id == 0) {
    decision.resend = PlaceAgain(syn, flow, now);
  }
  return decision;
}

std::optional<Decision> Steering::PlaceAgain(const FlowPacket& syn,
                                             FlowRecord* flow,
                                             SteadyTime now) {
  const Listener* listener = m_routing_table.FindListener(syn.key.listener);
  if (listener == nullptr) {
    return std::nullopt;
  }
  const PlacementRequest request{listener,
                                 ChooseService(syn, *listener),
                                 {flow->upstream_id},
                                 now,
                                 !m_are_registrations_current};
  Upstream* other =
      request.service == nullptr ? nullptr : m_placement->Choose(request);
  if (other == nullptr) {
    return std::nullopt;
  }
  ReleasePlace(flow, scheduling::Outcome::kFailed);
  flow->previous_upstream_id = flow->upstream_id;
  flow->previous_sent = flow->awaiting_response_since;
  AttachFlow(flow, other);
  ReportPlacement(flow, *other);
  other->RecordPlacement(now);
  AwaitResponse(flow, other,
                m_response_timeouts.SynTimeout(other->record.failure_domain),
                now);
  return Decision{Action::kForward, Reason::kPlacedAgain, other,
                  MakeTag(syn.key.listener, other->tag_base)};
}

void Steering::RecordConnection(uint64_t upstream_id, SteadyTime now) {
  if (Upstream* upstream = m_routing_table.FindUpstream(upstream_id)) {
    upstream->liveness.RecordConnection(now);
  }
}

void Steering::AddOverdueRequests(const std::vector<OverdueCount>& counts,
                                  SteadyTime now) {
  for (const OverdueCount& count : counts) {
    if (Upstream* upstream = m_routing_table.FindUpstream(count.upstream_id)) {
      upstream->overdue_requests.Add(count.requests, now);
    }
  }
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
    ReleasePlace(flow, scheduling::Outcome::kFailed);
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

}  // namespace poplarsail::flows
