#include "flows/steering.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <utility>

#include "flows/pending_responses.h"

namespace poplarsail::flows {

std::string_view ToString(Reason reason) {
  static constexpr std::array<std::string_view, kReasonCount> kNames = {
      "placed",      "placed-again",     "tagged",        "no-listener",
      "no-upstream", "upstream-gone",    "upstream-dead", "unknown-tag",
      "no-tag",      "belief-incomplete"};
  return kNames[static_cast<size_t>(reason)];
}

Steering::Steering(std::unique_ptr<Placement> placement)
    : m_placement(std::move(placement)), m_flows(kFlowTableCapacity) {}

void Steering::Update(const cluster_state::ClusterState& cluster_state, SteadyTime now) {
  m_is_complete = cluster_state.IsComplete();
  m_directory.Update(cluster_state, now);
  if (cluster_state.configuration() &&
      cluster_state.configuration()->flow_idle_timeout.count() > 0) {
    m_flow_idle = cluster_state.configuration()->flow_idle_timeout;
  }
}

Decision Steering::Decide(const FlowPacket& packet, SteadyTime now) {
  if (!m_is_complete) {
    return {Action::kHold, Reason::kStateIncomplete};
  }
  const Listener* listener = m_directory.FindListener(packet.key.listener);
  if (listener == nullptr) {
    return {packet.is_rst ? Action::kDrop : Action::kReset,
            Reason::kNoListener};
  }
  if (packet.is_syn) {
    return DecideOpening(packet, *listener, now);
  }
  return packet.tag == 0 ? DecideUntagged(packet, now)
                         : DecideTagged(packet, now);
}

Decision Steering::DecideOpening(const FlowPacket& packet,
                                 const Listener& listener,
                                 SteadyTime now) {
  FlowRecord* flow = m_flows.FindOrCreate(packet.key);
  PlacementRequest request{&listener, ChooseService(packet, listener), {}, now};
  const bool is_copy = flow != nullptr && flow->is_waiting && !flow->is_open &&
                       packet.retransmit_count > 0;
  if (is_copy) {
    CountUnanswered(flow, now);
    request.excluded_upstream_ids = {flow->upstream_id, flow->earlier_upstream_id};
  }
  Upstream* chosen =
      request.service == nullptr ? nullptr : m_placement->Choose(request);
  if (chosen == nullptr && is_copy) {
    // The only ones left are those that did not answer yet.
    chosen = m_directory.FindUpstream(flow->upstream_id);
  }
  if (chosen == nullptr) {
    return {Action::kReset, Reason::kNoUpstream};
  }
  chosen->liveness.NoteAttempt(now);
  if (flow != nullptr) {
    if (!is_copy) {
      Release(*flow);
      *flow = FlowRecord{};
    }
    flow->earlier_upstream_id = is_copy ? flow->upstream_id : 0;
    Attach(flow, chosen);
    flow->last_packet = now;
    flow->waiting_since = now;
    SetWaiting(flow, chosen, true);
    flow->is_counted = false;
    flow->sequence_end = packet.sequence + 1;
  }
  return {Action::kForward, is_copy ? Reason::kPlacedAgain : Reason::kPlaced,
          chosen, MakeTag(packet.key.listener, chosen->tag_base), true};
}

Decision Steering::DecideTagged(const FlowPacket& packet, SteadyTime now) {
  const Ipv4Endpoint& listener = packet.key.listener;
  Upstream* upstream = m_directory.FindByTag(listener, packet.tag);
  if (upstream == nullptr) {
    return DecideUntagged(packet, now);
  }
  FlowRecord* flow = m_flows.FindOrCreate(packet.key);
  upstream = PinnedUpstream(packet, flow, upstream);
  const bool expects_response =
      flow != nullptr && Observe(packet, flow, upstream, now);
  if (IsPresumedDead(*upstream, now) && !packet.is_rst) {
    return {Action::kReset, Reason::kUpstreamDead, upstream};
  }
  return {Action::kForward, Reason::kTagged, upstream,
          MakeTag(listener, upstream->tag_base), expects_response};
}

Upstream* Steering::PinnedUpstream(const FlowPacket& packet,
                                   const FlowRecord* flow,
                                   Upstream* tagged) {
  // Several upstreams may have answered copies of one opening packet, the last
  // of them seconds later from a host that was frozen. The flow is open at the
  // one whose tag came back first; a caller repeats the tag that came last.
  if (flow == nullptr || !flow->is_open ||
      tagged->record.id == flow->upstream_id) {
    return tagged;
  }
  const auto distance =
      static_cast<int32_t>(packet.sequence - flow->sequence_end);
  const bool is_same_flow = std::abs(distance) <= kSequenceWindow;
  Upstream* pinned =
      is_same_flow ? m_directory.FindUpstream(flow->upstream_id) : nullptr;
  return pinned == nullptr ? tagged : pinned;
}

Decision Steering::DecideUntagged(const FlowPacket& packet, SteadyTime now) {
  if (packet.is_rst) {
    return {Action::kDrop, Reason::kNoTag};
  }
  if (packet.tag != 0 &&
      m_directory.IsDeparted(packet.key.listener, packet.tag)) {
    return {Action::kReset, Reason::kUpstreamGone};
  }
  FlowRecord* flow = m_flows.FindOrCreate(packet.key);
  if (flow == nullptr) {
    return {Action::kDrop, Reason::kUnknownTag};
  }
  flow->last_packet = now;
  if (flow->upstream_id != 0 || !flow->is_waiting) {
    Release(*flow);
    *flow = FlowRecord{};
    flow->last_packet = now;
    flow->waiting_since = now;
    flow->is_waiting = true;
  }
  const bool is_settled = now - flow->waiting_since >= kUnknownTagGrace;
  return {is_settled ? Action::kReset : Action::kDrop, Reason::kUnknownTag};
}

const Service* Steering::ChooseService(const FlowPacket& packet,
                                       const Listener& listener) const {
  if (listener.weight_sum == 0) {
    return nullptr;
  }
  // All copies of an opening packet fall to the same share.
  const uint64_t point = FlowKeyHash()(packet.key) % listener.weight_sum;
  uint64_t share_end = 0;
  const Service* fallback = nullptr;
  for (const cluster_state::ServiceShare& share : listener.record.shares) {
    const uint64_t share_start = share_end;
    share_end += share.weight;
    const Service* service = m_directory.FindService(share.service);
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

bool Steering::Observe(const FlowPacket& packet,
                       FlowRecord* flow,
                       Upstream* upstream,
                       SteadyTime now) {
  const bool is_first = flow->upstream_id != upstream->record.id;
  if (is_first) {
    Release(*flow);
    *flow = FlowRecord{};
    Attach(flow, upstream);
  }
  flow->last_packet = now;
  const uint32_t end =
      packet.sequence + static_cast<uint32_t>(packet.data_bytes);
  // A caller sends without data only to acknowledge what it just received, or
  // to end the flow of its own accord.
  const bool is_acknowledgement =
      packet.data_bytes == 0 && !packet.is_fin && !packet.is_rst;
  const bool is_answer =
      !is_first && (!flow->is_open || is_acknowledgement ||
                    packet.ack_number != flow->ack_number);
  if (is_answer) {
    CountAnswered(*flow, upstream, now);
    SetWaiting(flow, upstream, false);
  }
  const bool has_new_data =
      packet.data_bytes > 0 &&
      (!flow->is_open || static_cast<int32_t>(end - flow->sequence_end) > 0);
  if (has_new_data) {
    flow->sequence_end = end;
    SetWaiting(flow, upstream, true);
    flow->is_counted = false;
    flow->waiting_since = now;
  } else if (packet.data_bytes > 0 && flow->is_waiting) {
    CountUnanswered(flow, now);
  }
  flow->is_open = true;
  flow->ack_number = packet.ack_number;
  if (packet.is_fin || packet.is_rst) {
    Release(*flow);
    m_flows.Erase(packet.key);
    return false;
  }
  return has_new_data;
}

void Steering::CountUnanswered(FlowRecord* flow, SteadyTime now) {
  if (flow->is_counted || now - flow->waiting_since < kUnansweredAfter) {
    return;
  }
  Upstream* upstream = m_directory.FindUpstream(flow->upstream_id);
  if (upstream == nullptr) {
    return;
  }
  flow->is_counted = true;
  upstream->liveness.RecordUnanswered(flow->waiting_since, now);
}

void Steering::CountAnswered(const FlowRecord& flow,
                             Upstream* upstream,
                             SteadyTime now) {
  if (flow.is_waiting) {
    (flow.is_open ? m_response_times : m_opening_times)
        .Add(now - flow.waiting_since);
  }
  if (flow.is_waiting && flow.is_open) {
    const std::chrono::duration<double, std::milli> response =
        now - flow.waiting_since;
    upstream->response_ms +=
        kResponseWeight * (response.count() - upstream->response_ms);
  }
  if (flow.is_waiting && now - flow.waiting_since <= kRequestAnswerTime) {
    m_last_prompt_answer = now;
  }
  upstream->liveness.RecordAnswer(now);
}

ResponseTimeoutDecision Steering::DecideOnTimeout(const FlowPacket& packet,
                                        SteadyTime now) {
  FlowRecord* flow = m_flows.Find(packet.key);
  if (flow == nullptr || !flow->is_waiting ||
      flow->is_open == packet.is_syn) {
    return {};
  }
  Upstream* upstream = m_directory.FindUpstream(flow->upstream_id);
  if (upstream == nullptr ||
      upstream->liveness.last_answer() > flow->waiting_since) {
    return {};
  }
  if (packet.is_syn) {
    upstream->liveness.RecordSilentOpening(now);
  }
  ResponseTimeoutDecision decision;
  decision.check = StartCheck(upstream, now) ? upstream : nullptr;
  const Listener* listener = m_directory.FindListener(packet.key.listener);
  const bool may_resend = packet.is_syn && listener != nullptr &&
                          flow->earlier_upstream_id == 0;
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
  flow->earlier_upstream_id = flow->upstream_id;
  Attach(flow, other);
  flow->waiting_since = now;
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
  upstream->is_check_hinted = false;
  return true;
}

CheckResultDecision Steering::HandleCheckResult(uint64_t upstream_id,
                                    bool is_alive,
                                    SteadyTime now) {
  Upstream* upstream = m_directory.FindUpstream(upstream_id);
  if (upstream == nullptr) {
    return {};
  }
  if (is_alive) {
    upstream->liveness.RecordConnection(now);
    return {};
  }
  const bool is_refuted =
      upstream->liveness.last_answer() >= upstream->check_started;
  if (is_refuted) {
    upstream->next_check = now;
    return {};
  }
  CheckResultDecision decision;
  decision.should_notify_peers = !upstream->is_check_hinted &&
                     upstream->liveness.health(now) != Health::kPresumedDead;
  upstream->liveness.RecordFailedCheck(now);
  m_flows.ForEach([&](const FlowKey& key, FlowRecord* flow) {
    if (flow->upstream_id != upstream_id) {
      return;
    }
    FlowPacket packet;
    packet.key = key;
    packet.ack_number = flow->ack_number;
    decision.flows_to_reset.push_back(packet);
    Release(*flow);
    *flow = FlowRecord{};
    flow->last_packet = now;
  });
  // Load pattern: an upstream that fails by turns has no flows when it returns;
  // as the least loaded one it would get all new ones, and lose them.
  const auto lost = static_cast<uint32_t>(decision.flows_to_reset.size());
  if (lost >= upstream->LostFlows(now)) {
    upstream->lost_flows = lost;
    upstream->lost_at = now;
  }
  return decision;
}

const Upstream* Steering::HandleFailureReport(uint64_t upstream_id, SteadyTime now) {
  Upstream* upstream = m_directory.FindUpstream(upstream_id);
  if (upstream == nullptr || !StartCheck(upstream, now)) {
    return nullptr;
  }
  upstream->is_check_hinted = true;
  upstream->liveness.RecordHint(now);
  return upstream;
}

std::vector<const Upstream*> Steering::StartDueChecks(SteadyTime now) {
  std::vector<const Upstream*> due;
  for (const auto& [id, upstream] : m_directory.upstreams()) {
    const bool is_doubted =
        upstream->is_unregistered || upstream->liveness.health(now) != Health::kHealthy;
    if (is_doubted && StartCheck(upstream.get(), now)) {
      due.push_back(upstream.get());
    }
  }
  return due;
}

bool Steering::IsPresumedDead(const Upstream& upstream, SteadyTime now) const {
  const Liveness& liveness = upstream.liveness;
  const Health health = liveness.health(now);
  if (health == Health::kSuspect) {
    return upstream.is_unregistered;
  }
  // Silence alone proves nothing while no other upstream answers in time
  // either: then this host's own link or processor may be overrun.
  const bool is_proved = liveness.HasFailedCheck(now) ||
                         m_last_prompt_answer >= liveness.first_unanswered();
  return health == Health::kPresumedDead && is_proved;
}

const Upstream* Steering::FindReferenceUpstream(const Upstream& checked) const {
  const Upstream* control = nullptr;
  for (const auto& [id, upstream] : m_directory.upstreams()) {
    const bool is_candidate = id != checked.record.id && !upstream->is_unregistered &&
                              upstream->liveness.last_answer() > SteadyTime();
    const bool is_better =
        is_candidate &&
        (control == nullptr ||
         upstream->liveness.last_answer() > control->liveness.last_answer());
    control = is_better ? upstream.get() : control;
  }
  return control;
}

void Steering::SetWaiting(FlowRecord* flow,
                          Upstream* upstream,
                          bool is_waiting) {
  if (std::exchange(flow->is_waiting, is_waiting) == is_waiting) {
    return;
  }
  if (is_waiting) {
    ++upstream->flows_awaiting_response;
  } else if (upstream->flows_awaiting_response > 0) {
    // An upstream that started again counts anew.
    --upstream->flows_awaiting_response;
  }
}

void Steering::Release(const FlowRecord& flow) {
  Upstream* upstream = m_directory.FindUpstream(flow.upstream_id);
  if (upstream == nullptr) {
    return;
  }
  // An upstream that started again counts anew.
  if (upstream->open_flows > 0) {
    --upstream->open_flows;
  }
  if (flow.is_waiting && upstream->flows_awaiting_response > 0) {
    --upstream->flows_awaiting_response;
  }
}

void Steering::Attach(FlowRecord* flow, Upstream* upstream) {
  Release(*flow);
  flow->upstream_id = upstream->record.id;
  ++upstream->open_flows;
  upstream->flows_awaiting_response += flow->is_waiting ? 1 : 0;
}

void Steering::EvictIdleFlows(SteadyTime now) {
  m_flows.EraseIdle(now - m_flow_idle,
                    [this](const FlowRecord& flow) { Release(flow); });
}

}  // namespace poplarsail::flows
