#include "flows/steering.h"

#include <algorithm>
#include <array>
#include <utility>

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

void Steering::Update(const belief::Belief& belief, SteadyTime now) {
  m_is_complete = belief.IsComplete();
  m_directory.Update(belief, now);
  if (belief.configuration() &&
      belief.configuration()->flow_idle_timeout.count() > 0) {
    m_flow_idle = belief.configuration()->flow_idle_timeout;
  }
}

Decision Steering::Decide(const FlowPacket& packet, SteadyTime now) {
  if (!m_is_complete) {
    return {Action::kHold, Reason::kBeliefIncomplete};
  }
  const Listener* listener = m_directory.FindListener(packet.key.listener);
  if (listener == nullptr) {
    return {packet.is_reset ? Action::kDrop : Action::kReset,
            Reason::kNoListener};
  }
  if (packet.is_opening) {
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
                       packet.copy_number > 0;
  if (is_copy) {
    CountUnanswered(flow, now);
    request.avoided = {flow->upstream_id, flow->earlier_upstream_id};
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
  if (chosen->liveness.health(now) != Health::kGood) {
    chosen->liveness.StartProbe(now);
  }
  if (flow != nullptr) {
    if (!is_copy) {
      Release(*flow);
      *flow = FlowRecord{};
    }
    flow->earlier_upstream_id = is_copy ? flow->upstream_id : 0;
    Attach(flow, chosen);
    flow->last_packet = now;
    flow->waiting_since = now;
    flow->is_waiting = true;
    flow->is_counted = false;
    flow->sequence_end = packet.sequence + 1;
  }
  return {Action::kForward, is_copy ? Reason::kPlacedAgain : Reason::kPlaced,
          chosen, MakeTag(packet.key.listener, chosen->tag_base)};
}

Decision Steering::DecideTagged(const FlowPacket& packet, SteadyTime now) {
  const Ipv4Endpoint& listener = packet.key.listener;
  Upstream* upstream = m_directory.FindByTag(listener, packet.tag);
  if (upstream == nullptr) {
    return DecideUntagged(packet, now);
  }
  Observe(packet, upstream, now);
  if (IsPresumedDead(*upstream, now) && !packet.is_reset) {
    return {Action::kReset, Reason::kUpstreamDead, upstream};
  }
  return {Action::kForward, Reason::kTagged, upstream, packet.tag};
}

Decision Steering::DecideUntagged(const FlowPacket& packet, SteadyTime now) {
  if (packet.is_reset) {
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
  uint64_t point = FlowKeyHash()(packet.key) % listener.weight_sum;
  const Service* fallback = nullptr;
  const Service* chosen = nullptr;
  for (const belief::ServiceShare& share : listener.record.shares) {
    const Service* service = m_directory.FindService(share.service);
    const bool is_usable =
        service != nullptr && share.weight > 0 &&
        std::any_of(service->upstreams.begin(), service->upstreams.end(),
                    [](const Upstream* u) { return u->TakesNewFlows(); });
    if (is_usable) {
      fallback = service;
    }
    const bool is_share = point < share.weight;
    point -= std::min<uint64_t>(point, share.weight);
    if (chosen == nullptr && is_share && is_usable) {
      chosen = service;
    }
    if (is_share) {
      point = UINT64_MAX;
    }
  }
  return chosen != nullptr ? chosen : fallback;
}

void Steering::Observe(const FlowPacket& packet,
                       Upstream* upstream,
                       SteadyTime now) {
  FlowRecord* flow = m_flows.FindOrCreate(packet.key);
  if (flow == nullptr) {
    return;
  }
  const bool is_first = flow->upstream_id != upstream->record.id;
  if (is_first) {
    Release(*flow);
    *flow = FlowRecord{};
    Attach(flow, upstream);
  }
  flow->last_packet = now;
  const uint32_t end =
      packet.sequence + static_cast<uint32_t>(packet.data_bytes);
  const bool is_answer =
      is_first ? false
               : !flow->is_open || packet.acknowledged != flow->acknowledged;
  if (is_answer) {
    CountAnswered(upstream, now);
    flow->is_waiting = false;
  }
  const bool has_new_data =
      packet.data_bytes > 0 &&
      (!flow->is_open || static_cast<int32_t>(end - flow->sequence_end) > 0);
  if (has_new_data) {
    flow->sequence_end = end;
    flow->is_waiting = true;
    flow->is_counted = false;
    flow->waiting_since = now;
  } else if (packet.data_bytes > 0 && flow->is_waiting) {
    CountUnanswered(flow, now);
  }
  flow->is_open = true;
  flow->acknowledged = packet.acknowledged;
  if (packet.is_closing || packet.is_reset) {
    Release(*flow);
    m_flows.Erase(packet.key);
  }
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
  m_directory.DomainLiveness(upstream->record.failure_domain)
      .RecordUnanswered(flow->waiting_since, now);
}

void Steering::CountAnswered(Upstream* upstream, SteadyTime now) {
  upstream->liveness.RecordAnswer(now);
  m_directory.DomainLiveness(upstream->record.failure_domain).RecordAnswer(now);
}

bool Steering::IsPresumedDead(const Upstream& upstream, SteadyTime now) {
  const Health health = upstream.liveness.health(now);
  return health == Health::kPresumedDead ||
         (health == Health::kSuspect && upstream.is_lapsed);
}

void Steering::Release(const FlowRecord& flow) {
  Upstream* upstream = m_directory.FindUpstream(flow.upstream_id);
  if (upstream != nullptr && upstream->open_flows > 0) {
    --upstream->open_flows;
  }
}

void Steering::Attach(FlowRecord* flow, Upstream* upstream) {
  Release(*flow);
  flow->upstream_id = upstream->record.id;
  ++upstream->open_flows;
}

void Steering::Sweep(SteadyTime now) {
  m_flows.EraseIdle(now - m_flow_idle,
                    [this](const FlowRecord& flow) { Release(flow); });
}

}  // namespace poplarsail::flows
