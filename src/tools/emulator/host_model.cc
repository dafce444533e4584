#include "emulator/host_model.h"

#include <utility>

namespace poplarsail::emulator {

HostModel::HostModel(EventQueue* events,
                     std::string failure_domain,
                     std::unique_ptr<flows::Placement> placement,
                     Links links)
    : m_events(events),
      m_failure_domain(std::move(failure_domain)),
      m_steering(std::move(placement)),
      m_links(std::move(links)) {}

void HostModel::Update(const belief::Belief& belief) {
  m_steering.Update(belief, m_events->now());
}

void HostModel::Receive(const flows::FlowPacket& packet) {
  const SteadyTime now = m_events->now();
  const flows::Decision decision = m_steering.Decide(packet, now);
  Execute(packet, decision);
  if (decision.expects_answer) {
    m_expectations.Add(packet, {}, now);
    ScheduleExpectations();
  }
}

void HostModel::Execute(const flows::FlowPacket& packet,
                        const flows::Decision& decision) {
  if (decision.action == flows::Action::kForward) {
    m_links.to_upstream(packet, decision.upstream->record.id, decision.tag);
  } else if (decision.action == flows::Action::kReset) {
    m_links.reset_to_caller(packet);
  }
}

void HostModel::ScheduleExpectations() {
  const auto next = m_expectations.NextDeadline();
  if (m_is_expecting || !next) {
    return;
  }
  m_is_expecting = true;
  m_events->At(*next + flows::kExpectationInterval, [this]() {
    m_is_expecting = false;
    if (m_is_stopped) {
      return;
    }
    CheckExpectations();
    ScheduleExpectations();
  });
}

void HostModel::CheckExpectations() {
  const SteadyTime now = m_events->now();
  while (const auto due = m_expectations.TakeDue(now)) {
    const flows::OverdueDecision decision =
        m_steering.DecideOverdue(due->packet, now);
    if (decision.check != nullptr) {
      StartCheck(decision.check->record.id);
    }
    if (decision.resend) {
      Execute(due->packet, *decision.resend);
    }
  }
}

void HostModel::StartCheck(uint64_t upstream_id) {
  m_links.check(upstream_id, [this, upstream_id](bool is_alive) {
    if (m_is_stopped) {
      return;
    }
    const flows::CheckDecision decision =
        m_steering.RecordCheck(upstream_id, is_alive, m_events->now());
    for (const flows::FlowPacket& packet : decision.ended) {
      m_links.reset_to_caller(packet);
    }
    if (decision.is_news) {
      m_links.tell_others(upstream_id);
    }
  });
}

void HostModel::TakeFinding(uint64_t upstream_id) {
  if (m_steering.TakeHint(upstream_id, m_events->now()) != nullptr) {
    StartCheck(upstream_id);
  }
}

void HostModel::Tick() {
  const SteadyTime now = m_events->now();
  m_steering.Sweep(now);
  for (const flows::Upstream* upstream : m_steering.DueChecks(now)) {
    StartCheck(upstream->record.id);
  }
}

}  // namespace poplarsail::emulator
