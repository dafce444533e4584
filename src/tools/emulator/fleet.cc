#include "emulator/fleet.h"

#include <algorithm>
#include <string>
#include <utility>

namespace poplarsail::emulator {

namespace {

using namespace std::chrono_literals;

// A change reaches hosts as late as their watches make it: half of the pause
// between two watches, on average.
constexpr milliseconds kWatchDelay{150};
// A registration lapses this long after its upstream's last word.
constexpr milliseconds kRegistrationLife{1'500};
// Upstreams that start are cold for this long.
constexpr milliseconds kColdTime{3'000};
// Between the report that an upstream drains and its exit.
constexpr milliseconds kDrainTime{3'200};
// A check of a dark upstream: two connections of 45 ms.
constexpr milliseconds kSilentCheck{90};
// An address is used again after this time.
constexpr milliseconds kReuseDelay{400};
// Within a failure domain, one way.
constexpr SteadyTime::duration kLocalDelay = 500us;
constexpr milliseconds kTickInterval{250};
// A host that starts has read the store after this time.
constexpr milliseconds kStartTime{60};

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
    configuration.listeners.push_back({name, ListenerOf(i), {{name, 1}}});
  }
  m_belief.ApplyList<cluster_state::Configuration>(cluster_state::ObjectKind::kConfiguration,
                                            {{"main", 1, configuration}}, 1,
                                            m_events->now());
  m_belief.ApplyList<cluster_state::Evacuation>(cluster_state::ObjectKind::kEvacuations, {}, 1,
                                      m_events->now());
  m_belief.ApplyList<cluster_state::UpstreamRecord>(cluster_state::ObjectKind::kUpstreams, {}, 1,
                                             m_events->now());
  for (size_t service = 0; service < scenario.services.size(); ++service) {
    for (size_t i = 0; i < scenario.services[service].upstreams; ++i) {
      AddUpstream(service, i % scenario.failure_domains, SteadyTime());
    }
  }
  for (size_t i = 0; i < scenario.hosts; ++i) {
    AddHost(i);
  }
  m_events->After(kTickInterval, [this]() { Tick(); });
}

flows::Ipv4Endpoint Fleet::ListenerOf(size_t service) {
  return {0xc6120001 + static_cast<uint32_t>(service), 443};
}

std::string Fleet::DomainName(size_t index) const {
  return "domain-" + std::to_string(index);
}

void Fleet::AddUpstream(size_t service, size_t domain, SteadyTime cold_until) {
  cluster_state::UpstreamRecord record;
  // Ids as far apart as random ones, the same in each run.
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
  const size_t place = m_hosts.size();
  m_hosts.push_back(nullptr);
  HostModel::Links links;
  links.to_upstream = [this, domain](const flows::FlowPacket& packet,
                                     uint64_t upstream_id, uint32_t tag) {
    ToUpstream(domain, packet, upstream_id, tag);
  };
  links.reset_to_caller = [this](const flows::FlowPacket& packet) {
    m_events->After(m_scenario.caller_delay,
                    [this, key = packet.key]() { m_callers.reset(key); });
  };
  links.check = [this, domain](uint64_t upstream_id,
                               const std::function<void(bool)>& callback) {
    Check(domain, upstream_id, callback);
  };
  links.tell_others = [this, domain, place](uint64_t upstream_id) {
    for (size_t i = 0; i < m_hosts.size(); ++i) {
      if (i == place) {
        continue;
      }
      // In other failure domains a contact passes it on.
      const std::string& other = m_hosts[i]->failure_domain();
      const auto delay =
          DelayBetween(domain, other) + (other == domain ? 0ms : kLocalDelay);
      m_events->After(delay, [host = m_hosts[i].get(), upstream_id]() {
        host->TakeFinding(upstream_id);
      });
    }
  };
  m_hosts[place] = std::make_unique<HostModel>(
      m_events, domain, m_placement(domain, m_random()), std::move(links));
  m_hosts[place]->Update(m_belief);
}

void Fleet::PublishUpstream(const cluster_state::UpstreamRecord& record,
                            bool is_removed) {
  const bool is_start = m_events->now() == kStartOfTime;
  m_events->After(is_start ? milliseconds(0) : kWatchDelay,
                  [this, record, is_removed]() {
                    cluster_state::ClusterState::UpstreamEntry entry{
                        UpstreamName(record.id), ++m_revision, std::nullopt};
                    if (!is_removed) {
                      entry.value = record;
                    }
                    m_belief.Apply(entry, m_events->now());
                    UpdateHosts();
                  });
}

void Fleet::UpdateHosts() {
  for (const auto& host : m_hosts) {
    host->Update(m_belief);
  }
}

void Fleet::Tick() {
  m_belief.RemoveExpiredUpstreams(m_events->now());
  for (const auto& host : m_hosts) {
    host->Update(m_belief);
    host->Tick();
  }
  m_events->After(kTickInterval, [this]() { Tick(); });
}

HostModel* Fleet::HostFor(const flows::FlowKey& key, size_t failure_domain) {
  if (m_are_hosts_down) {
    return nullptr;
  }
  // Routers send all packets of a flow to one host of the caller's domain.
  std::vector<HostModel*> near;
  for (const auto& host : m_hosts) {
    if (host->failure_domain() == DomainName(failure_domain)) {
      near.push_back(host.get());
    }
  }
  return near.empty() ? m_hosts.front().get()
                      : near[flows::FlowKeyHash()(key) % near.size()];
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
  m_events->After(m_scenario.caller_delay, [this, packet, failure_domain]() {
    HostModel* host = HostFor(packet.key, failure_domain);
    if (host != nullptr) {
      host->Receive(packet);
    }
  });
}

void Fleet::ToUpstream(const std::string& from,
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
  m_events->After(delay, [this, upstream, packet, tag, delay]() {
    if (upstream->is_alive()) {
      Arrive(upstream, packet, tag, delay + m_scenario.caller_delay);
    }
  });
}

void Fleet::Arrive(UpstreamModel* upstream,
                   const flows::FlowPacket& packet,
                   uint32_t tag,
                   SteadyTime::duration way_back) {
  const flows::FlowKey& key = packet.key;
  if (packet.is_syn) {
    upstream->OpenFlow(key);
    m_events->After(way_back,
                    [this, key, tag]() { m_callers.opened(key, tag); });
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
    m_events->After(way_back, [this, key]() { m_callers.reset(key); });
    return;
  }
  if (!upstream->TakeData(key, packet.sequence)) {
    return;
  }
  upstream->Submit(m_work[key], [this, upstream, key, way_back](bool has_run) {
    const bool is_last = upstream->is_draining();
    m_events->After(way_back, [this, key, has_run, is_last]() {
      m_callers.answered(key, has_run, is_last);
    });
  });
}

void Fleet::Check(const std::string& from,
                  uint64_t upstream_id,
                  const std::function<void(bool)>& callback) {
  const auto found = m_upstreams.find(upstream_id);
  const bool is_alive =
      found != m_upstreams.end() &&
      (found->second->is_alive() || m_succeeded.contains(upstream_id));
  const auto duration =
      is_alive ? 2 * DelayBetween(from, found->second->record().failure_domain)
               : SteadyTime::duration(kSilentCheck);
  m_events->After(duration, [callback, is_alive]() { callback(is_alive); });
}

void Fleet::Begin(const Trouble& trouble) {
  switch (trouble.kind) {
    case TroubleKind::kBurst:
    case TroubleKind::kShift:
    case TroubleKind::kWaves:
      // Of the callers.
      return;
    case TroubleKind::kCrash:
      CrashFirst(trouble.count);
      return;
    case TroubleKind::kDomainCrash:
      CrashDomain(trouble.length);
      return;
    case TroubleKind::kSlow:
      Slow(trouble);
      return;
    case TroubleKind::kReuse:
      Reuse(trouble);
      return;
    case TroubleKind::kFlap:
      Flap(trouble);
      return;
    case TroubleKind::kRelease:
      ReplaceNext(trouble, FirstService());
      return;
    case TroubleKind::kRestartAll:
      RestartAll(trouble.length);
      return;
  }
}

std::vector<uint64_t> Fleet::FirstService() const {
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
  m_events->After(kRegistrationLife, [this, record = upstream->record()]() {
    PublishUpstream(record, true);
  });
}

void Fleet::CrashFirst(size_t count) {
  std::vector<uint64_t> ids = FirstService();
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
  m_events->After(length, [this, services]() {
    for (const size_t service : services) {
      AddUpstream(service, 0, m_events->now() + kColdTime);
    }
  });
}

void Fleet::Slow(const Trouble& trouble) {
  std::vector<uint64_t> ids = FirstService();
  ids.resize(std::min(ids.size(), trouble.count));
  for (const uint64_t id : ids) {
    m_upstreams.at(id)->set_slow_factor(trouble.strength);
    m_events->After(trouble.length,
                    [this, id]() { m_upstreams.at(id)->set_slow_factor(1); });
  }
}

void Fleet::Reuse(const Trouble& trouble) {
  std::vector<uint64_t> ids = FirstService();
  ids.resize(std::min(ids.size(), trouble.count));
  for (const uint64_t id : ids) {
    UpstreamModel* upstream = m_upstreams.at(id).get();
    upstream->Crash();
    m_crash_times[id] = m_events->now();
    m_events->After(kReuseDelay, [this, id]() { m_succeeded.insert(id); });
    m_events->After(trouble.length, [this, record = upstream->record()]() {
      PublishUpstream(record, true);
    });
  }
}

void Fleet::Flap(const Trouble& trouble) {
  std::vector<uint64_t> ids = FirstService();
  ids.resize(std::min(ids.size(), trouble.count));
  const auto phase = std::chrono::duration_cast<SteadyTime::duration>(
      std::chrono::duration<double>(trouble.strength));
  const SteadyTime end = m_events->now() + trouble.length;
  for (const uint64_t id : ids) {
    UpstreamModel* upstream = m_upstreams.at(id).get();
    for (SteadyTime down = m_events->now(); down < end; down += 2 * phase) {
      m_events->At(down, [upstream]() { upstream->Crash(); });
      m_events->At(down + phase, [upstream]() { upstream->Return(); });
    }
  }
}

void Fleet::ReplaceNext(const Trouble& trouble, std::vector<uint64_t> left) {
  const size_t count = std::min(left.size(), trouble.count);
  for (size_t i = 0; i < count; ++i) {
    UpstreamModel* upstream = m_upstreams.at(left[i]).get();
    cluster_state::UpstreamRecord record = upstream->record();
    record.phase = cluster_state::UpstreamPhase::kDraining;
    upstream->Drain();
    PublishUpstream(record, false);
    m_events->After(kDrainTime, [this, upstream, record]() {
      upstream->Crash();
      PublishUpstream(record, true);
      const auto domain = static_cast<size_t>(
          std::stoul(record.failure_domain.substr(DomainName(0).size() - 1)));
      AddUpstream(0, domain, m_events->now() + kColdTime);
    });
  }
  left.erase(left.begin(), left.begin() + static_cast<int64_t>(count));
  if (!left.empty()) {
    m_events->After(kDrainTime + trouble.length,
                    [this, trouble, left]() { ReplaceNext(trouble, left); });
  }
}

void Fleet::RestartAll(milliseconds length) {
  m_are_hosts_down = true;
  for (const auto& host : m_hosts) {
    host->Stop();
  }
  m_events->After(length, [this]() {
    for (auto& host : m_hosts) {
      m_stopped_hosts.push_back(std::move(host));
    }
    m_hosts.clear();
    for (size_t i = 0; i < m_scenario.hosts; ++i) {
      AddHost(i);
    }
  });
  m_events->After(length + kStartTime, [this]() { m_are_hosts_down = false; });
}

std::vector<uint64_t> Fleet::RunsOf(size_t service) const {
  std::vector<uint64_t> runs;
  for (const auto& [id, upstream] : m_upstreams) {
    if (upstream->record().service == m_scenario.services[service].name &&
        upstream->is_alive()) {
      runs.push_back(upstream->runs());
    }
  }
  return runs;
}

std::optional<SteadyTime> Fleet::CrashTime(uint64_t upstream_id) const {
  const auto found = m_crash_times.find(upstream_id);
  return found == m_crash_times.end() ? std::nullopt
                                      : std::optional(found->second);
}

}  // namespace poplarsail::emulator
