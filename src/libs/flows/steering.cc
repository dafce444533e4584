#include "flows/steering.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <utility>

namespace poplarsail::flows {

std::string_view ToString(Reason reason) {
  static constexpr std::array<std::string_view, kReasonCount> kNames = {
      "placed",        "placed-again",      "tagged",           "no-listener",
      "no-upstream",   "upstream-gone",     "upstream-dead",    "unknown-tag",
      "no-tag",        "belief-incomplete", "scheduled",        "held",
      "no-room",       "state-not-current", "unknown-listener", "sent-again",
      "placed-by-peer"};
  return kNames[static_cast<size_t>(reason)];
}

Steering::Steering(std::unique_ptr<Placement> placement)
    : m_placement(std::move(placement)), m_flows(kFlowTableCapacity) {}

void Steering::Update(const cluster_state::ClusterState& cluster_state,
                      SteadyTime now) {
  m_has_complete_state = cluster_state.IsComplete();
  m_routing_table.Update(cluster_state, now);
  const auto& configuration = cluster_state.configuration();
  if (!configuration) {
    return;
  }
  if (configuration->flow_idle_timeout.count() > 0) {
    m_flow_idle_timeout = configuration->flow_idle_timeout;
  }
  if (std::exchange(m_configuration_version, configuration->version) !=
      configuration->version) {
    m_admission.RemoveUnknown(m_routing_table);
    m_losses.RemoveUnknown(m_routing_table);
  }
}

Decision Steering::Decide(const FlowPacket& packet, SteadyTime now) {
  if (!m_has_complete_state) {
    return {Action::kHold, Reason::kStateIncomplete};
  }
  const Listener* listener = m_routing_table.FindListener(packet.key.listener);
  if (listener == nullptr) {
    return DecideWithoutListener(packet, now);
  }
  if (packet.is_syn) {
    return DecideSyn(packet, *listener, now);
  }
  return packet.tag == 0 ? DecideUntagged(packet, now)
                         : DecideTagged(packet, now);
}

Decision Steering::DecideWithoutListener(const FlowPacket& packet,
                                         SteadyTime now) {
  if (packet.is_rst) {
    return {Action::kDrop, Reason::kNoListener};
  }
  if (!m_are_listeners_current) {
    return {Action::kHold, Reason::kStateNotCurrent};
  }
  const bool may_be_open =
      !packet.is_syn && packet.tag != 0 &&
      !m_routing_table.IsRecentlyRemoved(packet.key.listener);
  if (may_be_open) {
    FlowRecord* flow = m_flows.FindOrCreate(packet.key);
    const bool is_reset_due =
        flow != nullptr &&
        IsGracePeriodOver(flow, kUnknownListenerGracePeriod, now);
    if (!is_reset_due) {
      return {Action::kDrop, Reason::kUnknownListener};
    }
  }
  return {Action::kReset, Reason::kNoListener};
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
  const bool is_dead = upstream->liveness.health(now) == Health::kPresumedDead;
  if (is_dead && !packet.is_rst) {
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
  if (flow->is_held) {
    return {Action::kDrop, Reason::kHeld};
  }
  const bool is_reset_due =
      IsGracePeriodOver(flow, kUnknownTagGracePeriod, now) &&
      m_are_upstreams_current;
  return {is_reset_due ? Action::kReset : Action::kDrop, Reason::kUnknownTag};
}

bool Steering::IsGracePeriodOver(FlowRecord* flow,
                                 milliseconds period,
                                 SteadyTime now) {
  flow->last_packet = now;
  if (flow->upstream_id != 0 || !flow->is_awaiting_response) {
    // Includes flows that have ended.
    ReleasePlace(flow, scheduling::Outcome::kAbandoned);
    DetachFlow(*flow);
    *flow = FlowRecord{};
    flow->last_packet = now;
    flow->awaiting_response_since = now;
    flow->is_awaiting_response = true;
  }
  return now - flow->awaiting_response_since >= period;
}

std::optional<SteadyTime> Steering::TrackPacket(const FlowPacket& packet,
                                                FlowRecord* flow,
                                                Upstream* upstream,
                                                SteadyTime now) {
  if (flow->is_closed || flow->is_held) {
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
    const bool has_seen_start = is_late_handshake && flow->has_seen_start;
    ReleasePlace(flow, scheduling::Outcome::kAbandoned);
    DetachFlow(*flow);
    *flow = FlowRecord{};
    flow->has_seen_start = has_seen_start;
    AttachFlow(flow, upstream);
    if (is_late_handshake) {
      ReportPlacement(flow, *upstream);
    }
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
    RecordFlowResponse(packet.key, flow, upstream, now);
    SetAwaitingResponse(flow, upstream, false);
  }
  const bool has_new_data =
      packet.data_bytes > 0 &&
      (!flow->is_established ||
       static_cast<int32_t>(end - flow->sequence_end) > 0);
  RecordAnswer(packet, flow, upstream, now);
  if (has_new_data) {
    if (!flow->is_awaiting_response || flow->request_count == 0) {
      CountRequest(packet.key, flow);
      flow->is_answer_expected = true;
      flow->answer_start = packet.ack_number;
    }
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
    RecordEndOfFlow(packet.key, *flow);
    ReleasePlace(flow, scheduling::Outcome::kAbandoned);
    if (flow->has_seen_start && packet.is_fin && m_scheduler != nullptr) {
      m_scheduler->OnFlowEnded(packet.key.listener, flow->request_count);
    }
    DetachFlow(*flow);
    flow->is_awaiting_response = false;
    flow->is_closed = true;
    return std::nullopt;
  }
  return has_new_data ? std::optional(flow->response_deadline) : std::nullopt;
}

void Steering::RecordAnswer(const FlowPacket& packet,
                            FlowRecord* flow,
                            Upstream* upstream,
                            SteadyTime now) {
  const auto bytes =
      static_cast<int32_t>(packet.ack_number - flow->answer_start);
  if (!flow->is_answer_expected || bytes <= 0 || bytes > kSequenceWindow) {
    return;
  }
  flow->is_answer_expected = false;
  const load::AnswerSample answer{static_cast<uint32_t>(bytes),
                                  now - flow->awaiting_response_since};
  const bool is_refusal =
      m_admission.RecordAnswer(packet.key.listener, upstream, answer, now);
  if (is_refusal) {
    m_losses.Add(packet.key.listener, LossCause::kRefusedByUpstream);
  }
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

void Steering::RecordEndOfFlow(const FlowKey& key, const FlowRecord& flow) {
  const bool is_waiting = flow.is_established && flow.is_awaiting_response;
  if (is_waiting && !flow.is_closed) {
    m_losses.Add(key.listener, LossCause::kUnanswered);
  }
}

void Steering::RecordFlowResponse(const FlowKey& key,
                                  FlowRecord* flow,
                                  Upstream* upstream,
                                  SteadyTime now) {
  upstream->liveness.RecordResponse(now);
  if (!flow->is_awaiting_response) {
    return;
  }
  const auto time = now - flow->awaiting_response_since;
  if (flow->is_established) {
    ReleasePlace(flow, scheduling::Outcome::kResponded, time);
    m_response_times.Add(time);
    const Listener* listener = m_routing_table.FindListener(key.listener);
    const bool is_late = listener != nullptr &&
                         listener->record.latency_target.count() > 0 &&
                         time > listener->record.latency_target;
    if (is_late) {
      m_losses.Add(key.listener, LossCause::kLate);
    }
    m_response_timeouts.RecordResponse(upstream->record.service, time);
    const std::chrono::duration<double, std::milli> response = time;
    upstream->response_ms +=
        kResponseTimeWeight * (response.count() - upstream->response_ms);
  } else {
    upstream->liveness.RecordHandshake();
    m_handshake_times.Add(time);
    m_response_timeouts.RecordHandshake(upstream->record.failure_domain, time);
  }
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
  m_peer_placements.RemoveExpired(now);
  m_flows.EvictIdle(now - m_flow_idle_timeout, now - kClosedFlowRetention,
                    [this](const FlowKey& key, FlowRecord* flow) {
                      RecordEndOfFlow(key, *flow);
                      ReleasePlace(flow, scheduling::Outcome::kAbandoned);
                      DetachFlow(*flow);
                    });
}

}  // namespace poplarsail::flows
