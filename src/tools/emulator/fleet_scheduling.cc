#include "emulator/fleet.h"
#include "emulator/oracle_flows.h"
#include "emulator/scheduled_flows.h"

namespace poplarsail::emulator {

void Fleet::SetUpScheduling() {
  if (m_mode == SchedulingMode::kScheduled) {
    m_scheduling_network =
        std::make_unique<SchedulingNetwork>(m_events, m_scenario.domain_delay);
  } else if (m_mode == SchedulingMode::kOracle) {
    m_oracle = std::make_unique<Oracle>(
        m_events, [this]() { return OracleUpstreams(); },
        Oracle::Delays{DelayBetween(DomainName(0), DomainName(0)),
                       m_scenario.domain_delay, m_scenario.client_delay});
  }
}

std::unique_ptr<FlowScheduling> Fleet::MakeFlowScheduling(HostModel* host,
                                                          size_t host_index) {
  if (m_mode == SchedulingMode::kScheduled) {
    auto flows = std::make_unique<ScheduledFlows>(
        m_events, m_scheduling_network.get(),
        ScheduledFlows::Identity{
            {0x0a800001 + static_cast<uint32_t>(host_index), 7'946},
            host->failure_domain(),
            m_scenario.services.front().name,
            m_random()},
        host->SchedulingCallbacks());
    // All hosts exist by then.
    m_events->ScheduleAfter({},
                            [started = flows.get()]() { started->Start(); });
    return flows;
  }
  if (m_mode == SchedulingMode::kOracle) {
    return std::make_unique<OracleFlows>(
        m_oracle.get(),
        [this, domain = DomainIndex(host->failure_domain())](
            const flows::FlowKey& key) { return DescribeRequest(key, domain); },
        host->SchedulingCallbacks());
  }
  return nullptr;
}

size_t Fleet::DomainIndex(const std::string& name) const {
  return std::stoul(name.substr(DomainName(0).size() - 1));
}

Oracle::Request Fleet::DescribeRequest(const flows::FlowKey& key,
                                       size_t failure_domain) {
  const size_t kind = key.listener.address - ListenerEndpoint(0).address;
  Oracle::Request request;
  request.failure_domain = failure_domain;
  request.priority = m_scenario.kinds[kind].priority;
  request.work = m_work[key];
  request.deadline = m_events->now() - m_scenario.client_delay +
                     m_scenario.kinds[kind].latency_target;
  return request;
}

std::vector<OracleUpstream> Fleet::OracleUpstreams() const {
  std::vector<OracleUpstream> upstreams;
  for (const auto& [id, upstream] : m_upstreams) {
    const bool is_usable = upstream->is_alive() && !upstream->is_draining() &&
                           !upstream->returns_errors() &&
                           m_hosts.front()->Knows(id);
    upstreams.push_back({id, DomainIndex(upstream->record().failure_domain),
                         upstream->TimePerWork(), is_usable});
  }
  return upstreams;
}

}  // namespace poplarsail::emulator
