#include "emulator/host_model.h"

#include <utility>

namespace poplarsail::emulator {

HostModel::HostModel(EventQueue* events,
                     std::string failure_domain,
                     std::unique_ptr<flows::Placement> placement,
                     Callbacks callbacks)
    : m_events(events),
      m_failure_domain(std::move(failure_domain)),
      m_steering(std::move(placement)),
      m_callbacks(std::move(callbacks)) {}

void HostModel::Update(const cluster_state::ClusterState& cluster_state) {
  m_steering.Update(cluster_state, m_events->now());
  if (m_flow_scheduling != nullptr) {
    m_flow_scheduling->Update(cluster_state);
  }
}

FlowScheduling::Callbacks HostModel::SchedulingCallbacks() {
  FlowScheduling::Callbacks callbacks;
  callbacks.forward = [this](const flows::FlowPacket& packet,
                             uint64_t upstream_id) {
    m_callbacks.forward_to_upstream(
        packet, upstream_id,
        flows::MakeTag(packet.key.listener, flows::TagBase(upstream_id)));
  };
  callbacks.reset = m_callbacks.reset_client;
  callbacks.place_locally = [this](const flows::FlowPacket& packet) {
    return Steer(packet);
  };
  callbacks.is_usable = [this](uint64_t upstream_id) {
    return Knows(upstream_id);
  };
  return callbacks;
}

bool HostModel::Knows(uint64_t upstream_id) {
  const flows::Upstream* upstream =
      m_steering.routing_table().FindUpstream(upstream_id);
  return upstream != nullptr && upstream->AcceptsNewFlows();
}

void HostModel::Receive(const flows::FlowPacket& packet) {
  if (m_flow_scheduling != nullptr && packet.is_syn) {
    m_flow_scheduling->OnSyn(packet);
    return;
  }
  if (m_flow_scheduling != nullptr) {
    m_flow_scheduling->OnPacket(packet);
  }
  Steer(packet);
}

uint64_t HostModel::Steer(const flows::FlowPacket& packet) {
  const SteadyTime now = m_events->now();
  const flows::Decision decision = m_steering.Decide(packet, now);
  Execute(packet, decision);
  if (decision.response_deadline) {
    m_pending_responses.Add(packet, {}, *decision.response_deadline);
    ScheduleTimeoutCheck();
  }
  return decision.upstream == nullptr ? 0 : decision.upstream->record.id;
}

void HostModel::Execute(const flows::FlowPacket& packet,
                        const flows::Decision& decision) {
  if (decision.action == flows::Action::kForward) {
    m_callbacks.forward_to_upstream(packet, decision.upstream->record.id,
                                    decision.tag);
  } else if (decision.action == flows::Action::kReset) {
    m_callbacks.reset_client(packet);
  }
}

void HostModel::ScheduleTimeoutCheck() {
  const auto check = m_pending_responses.NextCheck(m_next_timeout_check);
  if (!check) {
    return;
  }
  m_next_timeout_check = check;
  m_events->ScheduleAt(*check, [this, check]() {
    // A later schedule may have replaced this one by an earlier check.
    if (m_is_stopped || m_next_timeout_check != check) {
      return;
    }
    m_next_timeout_check.reset();
    CheckTimeouts();
    ScheduleTimeoutCheck();
  });
}

void HostModel::CheckTimeouts() {
  const SteadyTime now = m_events->now();
  while (const auto due = m_pending_responses.PopExpired(now)) {
    const flows::ResponseTimeoutDecision decision =
        m_steering.DecideOnTimeout(due->packet, now);
    if (decision.check != nullptr) {
      StartCheck(decision.check->record.id);
    }
    if (decision.resend) {
      Execute(due->packet, *decision.resend);
    }
  }
}

void HostModel::StartCheck(uint64_t upstream_id) {
  m_callbacks.check(upstream_id, [this, upstream_id](bool is_alive) {
    if (m_is_stopped) {
      return;
    }
    const flows::CheckResultDecision decision = m_steering.HandleCheckResult(
        upstream_id,
        is_alive ? flows::CheckOutcome::kConnected
                 : flows::CheckOutcome::kNoResponse,
        m_events->now());
    for (const flows::FlowPacket& packet : decision.flows_to_reset) {
      m_callbacks.reset_client(packet);
    }
    if (decision.should_notify_peers) {
      m_callbacks.notify_peers(upstream_id);
    }
  });
}

void HostModel::OnFailureReport(uint64_t upstream_id) {
  if (m_steering.HandleFailureReport(upstream_id, m_events->now()) != nullptr) {
    StartCheck(upstream_id);
  }
}

void HostModel::Tick() {
  const SteadyTime now = m_events->now();
  m_steering.EvictIdleFlows(now);
  m_steering.JudgeUpstreams(now);
  for (const flows::Upstream* upstream : m_steering.StartDueChecks(now)) {
    StartCheck(upstream->record.id);
  }
}

}  // namespace poplarsail::emulator
