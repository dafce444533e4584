#include "emulator/fleet.h"

#include <algorithm>
#include <string>
#include <utility>

#include "emulator/scheduling_network.h"

namespace poplarsail::emulator {

namespace {

using namespace std::chrono_literals;

// Time in which an upstream with a fault answers with an error.
constexpr milliseconds kErrorTime{1};
// Delay until hosts receive a change: on average half of the interval between
// two watches.
constexpr milliseconds kWatchDelay{150};
// Duration of a health check of an unresponsive upstream: two connection
// attempts of 45 ms each.
constexpr milliseconds kFailedCheckTime{90};
// One-way delay within a failure domain.
constexpr SteadyTime::duration kLocalDelay = 500us;
constexpr milliseconds kTickInterval{250};

std::string UpstreamName(uint64_t id) {
  return "u" + std::to_string(id);
}

}  // namespace

Fleet::Fleet(EventQueue* events,
             const Scenario& scenario,
             PlacementFactory placement,
             uint64_t seed,
             SchedulingMode mode)
    : m_events(events),
      m_scenario(scenario),
      m_placement(std::move(placement)),
      m_random(seed),
      m_mode(mode) {
  SetUpScheduling();
  cluster_state::Configuration configuration;
  configuration.version = 1;
  configuration.flow_idle_timeout = 60s;
  for (const ServiceSize& service : scenario.services) {
    configuration.services.push_back({service.name, 0, "/health"});
  }
  configuration.listeners = MakeListeners();
  m_cluster_state.ApplyList<cluster_state::Configuration>(
      cluster_state::ObjectKind::kConfiguration, {{"main", 1, configuration}},
      {0, 1}, m_events->now());
  m_cluster_state.ApplyList<cluster_state::Evacuation>(
      cluster_state::ObjectKind::kEvacuations, {}, {0, 1}, m_events->now());
  m_cluster_state.ApplyList<cluster_state::UpstreamRecord>(
      cluster_state::ObjectKind::kUpstreams, {}, {0, 1}, m_events->now());
  for (size_t service = 0; service < scenario.services.size(); ++service) {
    for (size_t i = 0; i < scenario.services[service].upstreams; ++i) {
      AddUpstream(service, i % scenario.failure_domains, SteadyTime());
    }
  }
  for (size_t i = 0; i < scenario.hosts; ++i) {
    AddHost(i);
  }
  m_events->ScheduleAfter(kTickInterval, [this]() { Tick(); });
}

Fleet::~Fleet() = default;

flows::Ipv4Endpoint Fleet::ListenerEndpoint(size_t listener) {
  return {0xc6120001 + static_cast<uint32_t>(listener), 443};
}

std::vector<cluster_state::ListenerRecord> Fleet::MakeListeners() const {
  std::vector<cluster_state::ListenerRecord> listeners;
  if (!m_scenario.StatesTerms()) {
    for (size_t i = 0; i < m_scenario.services.size(); ++i) {
      const std::string& name = m_scenario.services[i].name;
      listeners.push_back({name, ListenerEndpoint(i), {{name, 1}}, {}, {}, {}});
    }
    return listeners;
  }
  for (size_t i = 0; i < m_scenario.kinds.size(); ++i) {
    const RequestKind& kind = m_scenario.kinds[i];
    listeners.push_back({kind.name,
                         ListenerEndpoint(i),
                         {{m_scenario.services[kind.service].name, 1}},
                         kind.priority,
                         kind.latency_target,
                         kind.timeout});
  }
  return listeners;
}

std::string Fleet::DomainName(size_t index) const {
  return "domain-" + std::to_string(index);
}

void Fleet::AddUpstream(size_t service, size_t domain, SteadyTime cold_until) {
  cluster_state::UpstreamRecord record;
  // Spread the ids like random ones, but reproducibly.
  record.id = m_next_id++ * 0x9e3779b97f4a7c15ULL;
  record.service = m_scenario.services[service].name;
  record.endpoint = {0x0a000000 + static_cast<uint32_t>(m_next_id), 8080};
  record.failure_domain = DomainName(domain);
  record.cold_until = cold_until;
  if (m_scenario.is_schedulable) {
    record.slots = kMaxConcurrentRequests;
  }
  const std::vector<double>& speeds = m_scenario.services[service].speeds;
  const double speed =
      speeds.empty() ? 1 : speeds[m_added_upstreams++ % speeds.size()];
  m_upstreams[record.id] = std::make_unique<UpstreamModel>(
      m_events, record, speed, m_scenario.cold_factor);
  PublishUpstream(record, false);
}

void Fleet::AddHost(size_t index) {
  const std::string domain = DomainName(index % m_scenario.failure_domains);
  const size_t host_index = m_hosts.size();
  m_hosts.push_back(nullptr);
  HostModel::Callbacks callbacks;
  callbacks.forward_to_upstream = [this, domain](
                                      const flows::FlowPacket& packet,
                                      uint64_t upstream_id, uint32_t tag) {
    ForwardToUpstream(domain, packet, upstream_id, tag);
  };
  callbacks.reset_client = [this](const flows::FlowPacket& packet) {
    m_events->ScheduleAfter(
        m_scenario.client_delay,
        [this, key = packet.key]() { m_client_callbacks.flow_reset(key); });
  };
  callbacks.check = [this, domain](uint64_t upstream_id,
                                   const std::function<void(bool)>& callback) {
    RunHealthCheck(domain, upstream_id, callback);
  };
  callbacks.notify_peers = [this, domain, host_index](uint64_t upstream_id) {
    for (size_t i = 0; i < m_hosts.size(); ++i) {
      if (i == host_index) {
        continue;
      }
      // In other failure domains the report is relayed by a contact host.
      const std::string& other = m_hosts[i]->failure_domain();
      const auto delay =
          DelayBetween(domain, other) + (other == domain ? 0ms : kLocalDelay);
      m_events->ScheduleAfter(delay, [host = m_hosts[i].get(), upstream_id]() {
        host->OnFailureReport(upstream_id);
      });
    }
  };
  m_hosts[host_index] = std::make_unique<HostModel>(
      m_events, domain, m_placement(domain, m_random()), std::move(callbacks));
  m_hosts[host_index]->set_flow_scheduling(
      MakeFlowScheduling(m_hosts[host_index].get(), host_index));
  m_hosts[host_index]->Update(m_cluster_state);
}

void Fleet::PublishUpstream(const cluster_state::UpstreamRecord& record,
                            bool is_removed) {
  const bool is_initial = m_events->now() == kSimulationStart;
  m_events->ScheduleAfter(
      is_initial ? milliseconds(0) : kWatchDelay, [this, record, is_removed]() {
        cluster_state::ClusterState::UpstreamEntry entry{
            UpstreamName(record.id), ++m_revision, std::nullopt};
        if (!is_removed) {
          entry.value = record;
        }
        m_cluster_state.Apply(entry, m_events->now());
        UpdateHosts();
      });
}

void Fleet::UpdateHosts() {
  for (const auto& host : m_hosts) {
    host->Update(m_cluster_state);
  }
}

void Fleet::Tick() {
  m_cluster_state.RemoveExpired(m_events->now());
  for (const auto& host : m_hosts) {
    host->Update(m_cluster_state);
    host->Tick();
  }
  m_events->ScheduleAfter(kTickInterval, [this]() { Tick(); });
}

HostModel* Fleet::SelectHost(const flows::FlowKey& key, size_t failure_domain) {
  if (m_are_hosts_down) {
    return nullptr;
  }
  // Routers send all packets of a flow to one host of the client's failure
  // domain. Host i is in domain i modulo the number of domains.
  const size_t domains = m_scenario.failure_domains;
  if (failure_domain >= m_hosts.size()) {
    return m_hosts.front().get();
  }
  const size_t local_hosts =
      (m_hosts.size() - failure_domain + domains - 1) / domains;
  return m_hosts[failure_domain +
                 domains * (flows::FlowKeyHash()(key) % local_hosts)]
      .get();
}

SteadyTime::duration Fleet::DelayBetween(const std::string& from,
                                         const std::string& to) const {
  return from == to ? kLocalDelay
                    : SteadyTime::duration(m_scenario.domain_delay);
}

void Fleet::Send(const flows::FlowPacket& packet,
                 size_t failure_domain,
                 SteadyTime::duration work) {
  if (packet.data_bytes > 0 || packet.is_syn) {
    m_work[packet.key] = work;
  }
  m_events->ScheduleAfter(
      m_scenario.client_delay, [this, packet, failure_domain]() {
        HostModel* host = SelectHost(packet.key, failure_domain);
        if (host != nullptr) {
          host->Receive(packet);
        }
      });
}

void Fleet::ForwardToUpstream(const std::string& from,
                              const flows::FlowPacket& packet,
                              uint64_t upstream_id,
                              uint32_t tag) {
  const auto crash = CrashTime(upstream_id);
  if (crash && packet.is_syn && m_on_flow_to_crashed) {
    m_on_flow_to_crashed(m_events->now() - *crash);
  }
  const auto found = m_upstreams.find(upstream_id);
  if (found == m_upstreams.end()) {
    return;
  }
  UpstreamModel* upstream = found->second.get();
  const auto delay = DelayBetween(from, upstream->record().failure_domain);
  m_events->ScheduleAfter(delay, [this, upstream, packet, tag, delay]() {
    if (upstream->is_alive()) {
      HandleAtUpstream(upstream, packet, tag, delay + m_scenario.client_delay);
    }
  });
}

void Fleet::HandleAtUpstream(UpstreamModel* upstream,
                             const flows::FlowPacket& packet,
                             uint32_t tag,
                             SteadyTime::duration return_delay) {
  const flows::FlowKey& key = packet.key;
  if (packet.is_syn) {
    upstream->OpenFlow(key);
    m_events->ScheduleAfter(return_delay, [this, key, tag]() {
      m_client_callbacks.flow_opened(key, tag);
    });
    return;
  }
  if (packet.is_fin || packet.is_rst) {
    upstream->CloseFlow(key);
    return;
  }
  if (packet.data_bytes == 0) {
    return;
  }
  if (!upstream->HasFlow(key)) {
    m_events->ScheduleAfter(
        return_delay, [this, key]() { m_client_callbacks.flow_reset(key); });
    return;
  }
  if (!upstream->AcceptData(key, packet.sequence)) {
    return;
  }
  ++m_arrivals;
  if (upstream->returns_errors()) {
    SendResponse(key, ResponseKind::kError, false, return_delay + kErrorTime);
    return;
  }
  upstream->Submit(m_work[key], [this, upstream, key,
                                 return_delay](bool was_processed) {
    m_sheds += was_processed ? 0 : 1;
    SendResponse(
        key, was_processed ? ResponseKind::kProcessed : ResponseKind::kRejected,
        upstream->is_draining(), return_delay);
  });
}

void Fleet::SendResponse(const flows::FlowKey& key,
                         ResponseKind kind,
                         bool closes_flow,
                         SteadyTime::duration delay) {
  m_events->ScheduleAfter(delay, [this, key, kind, closes_flow]() {
    m_client_callbacks.response_received(key, kind, closes_flow);
  });
}

void Fleet::RunHealthCheck(const std::string& from,
                           uint64_t upstream_id,
                           const std::function<void(bool)>& callback) {
  const auto found = m_upstreams.find(upstream_id);
  const bool is_alive =
      found != m_upstreams.end() &&
      (found->second->is_alive() || m_reused_address_ids.contains(upstream_id));
  const auto duration =
      is_alive ? 2 * DelayBetween(from, found->second->record().failure_domain)
               : SteadyTime::duration(kFailedCheckTime);
  m_events->ScheduleAfter(duration,
                          [callback, is_alive]() { callback(is_alive); });
}

std::vector<uint64_t> Fleet::CompletedRequests(size_t service) const {
  std::vector<uint64_t> completed_requests;
  for (const auto& [id, upstream] : m_upstreams) {
    if (upstream->record().service == m_scenario.services[service].name &&
        upstream->is_alive()) {
      completed_requests.push_back(upstream->completed_requests());
    }
  }
  return completed_requests;
}

UpstreamTotals Fleet::Totals(size_t service) const {
  UpstreamTotals totals{m_arrivals, m_sheds, {}, 0};
  for (const auto& [id, upstream] : m_upstreams) {
    if (upstream->record().service != m_scenario.services[service].name ||
        !upstream->is_alive()) {
      continue;
    }
    totals.busy_time[id] =
        std::chrono::duration<double>(upstream->completed_work()) /
        upstream->speed();
    totals.capacity += kMaxConcurrentRequests * upstream->speed();
  }
  return totals;
}

std::optional<SteadyTime> Fleet::CrashTime(uint64_t upstream_id) const {
  const auto found = m_crash_times.find(upstream_id);
  return found == m_crash_times.end() ? std::nullopt
                                      : std::optional(found->second);
}

}  // namespace poplarsail::emulator
