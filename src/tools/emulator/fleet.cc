#include "emulator/fleet.h"

#include <algorithm>
#include <string>
#include <utility>

namespace poplarsail::emulator {

namespace {

using namespace std::chrono_literals;

// Delay until hosts receive a change: on average half of the interval between
// two watches.
constexpr milliseconds kWatchDelay{150};
// A registration expires this long after the last message of its upstream.
constexpr milliseconds kRegistrationTtl{1'500};
constexpr milliseconds kColdStartTime{3'000};
// Time between the announcement that an upstream drains and its exit.
constexpr milliseconds kDrainTime{3'200};
// Duration of a health check of an unresponsive upstream: two connection
// attempts of 45 ms each.
constexpr milliseconds kFailedCheckTime{90};
// Time until the address of a terminated upstream is in use again.
constexpr milliseconds kAddressReuseDelay{400};
// One-way delay within a failure domain.
constexpr SteadyTime::duration kLocalDelay = 500us;
constexpr milliseconds kTickInterval{250};
// Time that a starting host needs to read the store.
constexpr milliseconds kHostStartTime{60};

std::string UpstreamName(uint64_t id) {
  return "u" + std::to_string(id);
}

}  // namespace

Fleet::Fleet(EventQueue* events,
             const Scenario& scenario,
             PlacementFactory placement,
             uint64_t seed)
    : m_events(events),
      m_scenario(scenario),
      m_placement(std::move(placement)),
      m_random(seed) {
  cluster_state::Configuration configuration;
  configuration.version = 1;
  configuration.flow_idle_timeout = 60s;
  for (size_t i = 0; i < scenario.services.size(); ++i) {
    const std::string& name = scenario.services[i].name;
    configuration.services.push_back({name, 0, "/health"});
    configuration.listeners.push_back({name, ListenerEndpoint(i), {{name, 1}}});
  }
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

flows::Ipv4Endpoint Fleet::ListenerEndpoint(size_t service) {
  return {0xc6120001 + static_cast<uint32_t>(service), 443};
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
  m_upstreams[record.id] = std::make_unique<UpstreamModel>(m_events, record);
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
  // domain.
  std::vector<HostModel*> local_hosts;
  for (const auto& host : m_hosts) {
    if (host->failure_domain() == DomainName(failure_domain)) {
      local_hosts.push_back(host.get());
    }
  }
  return local_hosts.empty()
             ? m_hosts.front().get()
             : local_hosts[flows::FlowKeyHash()(key) % local_hosts.size()];
}

SteadyTime::duration Fleet::DelayBetween(const std::string& from,
                                         const std::string& to) const {
  return from == to ? kLocalDelay
                    : SteadyTime::duration(m_scenario.domain_delay);
}

void Fleet::Send(const flows::FlowPacket& packet,
                 size_t failure_domain,
                 milliseconds work) {
  if (packet.data_bytes > 0) {
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
  upstream->Submit(
      m_work[key], [this, upstream, key, return_delay](bool was_processed) {
        const bool closes_flow = upstream->is_draining();
        m_events->ScheduleAfter(return_delay, [this, key, was_processed,
                                               closes_flow]() {
          m_client_callbacks.response_received(key, was_processed, closes_flow);
        });
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

void Fleet::StartDisturbance(const Disturbance& disturbance) {
  switch (disturbance.kind) {
    case DisturbanceKind::kBurst:
    case DisturbanceKind::kShift:
    case DisturbanceKind::kWaves:
      // Load disturbances are applied by Clients.
      return;
    case DisturbanceKind::kCrash:
      CrashUpstreams(disturbance.count);
      return;
    case DisturbanceKind::kDomainCrash:
      CrashDomain(disturbance.length);
      return;
    case DisturbanceKind::kSlow:
      SlowDownUpstreams(disturbance);
      return;
    case DisturbanceKind::kAddressReuse:
      ReuseAddresses(disturbance);
      return;
    case DisturbanceKind::kFlap:
      FlapUpstreams(disturbance);
      return;
    case DisturbanceKind::kRelease:
      ReplaceUpstreams(disturbance, LiveUpstreamsOfFirstService());
      return;
    case DisturbanceKind::kRestartAll:
      RestartHosts(disturbance.length);
      return;
  }
}

std::vector<uint64_t> Fleet::LiveUpstreamsOfFirstService() const {
  std::vector<uint64_t> ids;
  for (const auto& [id, upstream] : m_upstreams) {
    const bool is_first =
        upstream->record().service == m_scenario.services.front().name;
    if (is_first && upstream->is_alive()) {
      ids.push_back(id);
    }
  }
  return ids;
}

void Fleet::Crash(uint64_t upstream_id) {
  UpstreamModel* upstream = m_upstreams.at(upstream_id).get();
  upstream->Crash();
  m_crash_times[upstream_id] = m_events->now();
  m_events->ScheduleAfter(
      kRegistrationTtl,
      [this, record = upstream->record()]() { PublishUpstream(record, true); });
}

void Fleet::CrashUpstreams(size_t count) {
  std::vector<uint64_t> ids = LiveUpstreamsOfFirstService();
  ids.resize(std::min(ids.size(), count));
  for (const uint64_t id : ids) {
    Crash(id);
  }
}

void Fleet::CrashDomain(milliseconds length) {
  std::vector<size_t> services;
  for (const auto& [id, upstream] : m_upstreams) {
    const cluster_state::UpstreamRecord& record = upstream->record();
    if (record.failure_domain != DomainName(0) || !upstream->is_alive()) {
      continue;
    }
    Crash(id);
    const auto service = std::find_if(
        m_scenario.services.begin(), m_scenario.services.end(),
        [&record](const ServiceSize& s) { return s.name == record.service; });
    services.push_back(
        static_cast<size_t>(service - m_scenario.services.begin()));
  }
  m_events->ScheduleAfter(length, [this, services]() {
    for (const size_t service : services) {
      AddUpstream(service, 0, m_events->now() + kColdStartTime);
    }
  });
}

void Fleet::SlowDownUpstreams(const Disturbance& disturbance) {
  std::vector<uint64_t> ids = LiveUpstreamsOfFirstService();
  ids.resize(std::min(ids.size(), disturbance.count));
  for (const uint64_t id : ids) {
    m_upstreams.at(id)->set_slow_factor(disturbance.strength);
    m_events->ScheduleAfter(disturbance.length, [this, id]() {
      m_upstreams.at(id)->set_slow_factor(1);
    });
  }
}

void Fleet::ReuseAddresses(const Disturbance& disturbance) {
  std::vector<uint64_t> ids = LiveUpstreamsOfFirstService();
  ids.resize(std::min(ids.size(), disturbance.count));
  for (const uint64_t id : ids) {
    UpstreamModel* upstream = m_upstreams.at(id).get();
    upstream->Crash();
    m_crash_times[id] = m_events->now();
    m_events->ScheduleAfter(kAddressReuseDelay,
                            [this, id]() { m_reused_address_ids.insert(id); });
    m_events->ScheduleAfter(disturbance.length,
                            [this, record = upstream->record()]() {
                              PublishUpstream(record, true);
                            });
  }
}

void Fleet::FlapUpstreams(const Disturbance& disturbance) {
  std::vector<uint64_t> ids = LiveUpstreamsOfFirstService();
  ids.resize(std::min(ids.size(), disturbance.count));
  const auto phase = std::chrono::duration_cast<SteadyTime::duration>(
      std::chrono::duration<double>(disturbance.strength));
  const SteadyTime end = m_events->now() + disturbance.length;
  for (const uint64_t id : ids) {
    UpstreamModel* upstream = m_upstreams.at(id).get();
    for (SteadyTime down = m_events->now(); down < end; down += 2 * phase) {
      m_events->ScheduleAt(down, [upstream]() { upstream->Crash(); });
      m_events->ScheduleAt(down + phase, [upstream]() { upstream->Restart(); });
    }
  }
}

void Fleet::ReplaceUpstreams(const Disturbance& disturbance,
                             std::vector<uint64_t> remaining) {
  const size_t count = std::min(remaining.size(), disturbance.count);
  for (size_t i = 0; i < count; ++i) {
    UpstreamModel* upstream = m_upstreams.at(remaining[i]).get();
    cluster_state::UpstreamRecord record = upstream->record();
    record.phase = cluster_state::UpstreamPhase::kDraining;
    upstream->Drain();
    PublishUpstream(record, false);
    m_events->ScheduleAfter(kDrainTime, [this, upstream, record]() {
      upstream->Crash();
      PublishUpstream(record, true);
      const auto domain = static_cast<size_t>(
          std::stoul(record.failure_domain.substr(DomainName(0).size() - 1)));
      AddUpstream(0, domain, m_events->now() + kColdStartTime);
    });
  }
  remaining.erase(remaining.begin(),
                  remaining.begin() + static_cast<int64_t>(count));
  if (!remaining.empty()) {
    m_events->ScheduleAfter(kDrainTime + disturbance.length,
                            [this, disturbance, remaining]() {
                              ReplaceUpstreams(disturbance, remaining);
                            });
  }
}

void Fleet::RestartHosts(milliseconds length) {
  m_are_hosts_down = true;
  for (const auto& host : m_hosts) {
    host->Stop();
  }
  m_events->ScheduleAfter(length, [this]() {
    for (auto& host : m_hosts) {
      m_stopped_hosts.push_back(std::move(host));
    }
    m_hosts.clear();
    for (size_t i = 0; i < m_scenario.hosts; ++i) {
      AddHost(i);
    }
  });
  m_events->ScheduleAfter(length + kHostStartTime,
                          [this]() { m_are_hosts_down = false; });
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

std::optional<SteadyTime> Fleet::CrashTime(uint64_t upstream_id) const {
  const auto found = m_crash_times.find(upstream_id);
  return found == m_crash_times.end() ? std::nullopt
                                      : std::optional(found->second);
}

}  // namespace poplarsail::emulator
