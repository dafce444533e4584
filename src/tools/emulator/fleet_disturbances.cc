#include "emulator/fleet.h"

#include <algorithm>
#include <string>

namespace poplarsail::emulator {

namespace {

using namespace std::chrono_literals;

// A registration expires this long after the last message of its upstream.
constexpr milliseconds kRegistrationTtl{1'500};
// Time until the address of a terminated upstream is in use again.
constexpr milliseconds kAddressReuseDelay{400};
// Time that a starting host needs to read the store.
constexpr milliseconds kHostStartTime{60};

}  // namespace

void Fleet::StartDisturbance(const Disturbance& disturbance) {
  switch (disturbance.kind) {
    case DisturbanceKind::kBurst:
    case DisturbanceKind::kShift:
    case DisturbanceKind::kWaves:
    case DisturbanceKind::kDomainWaves:
    case DisturbanceKind::kDrift:
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
    case DisturbanceKind::kRollingRelease:
      StartRollingRelease(disturbance);
      return;
    case DisturbanceKind::kFastErrors:
      ReturnErrors(disturbance);
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
      AddUpstream(service, 0, m_events->now() + m_scenario.cold_time);
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

void Fleet::ReplaceUpstream(uint64_t id) {
  UpstreamModel* upstream = m_upstreams.at(id).get();
  cluster_state::UpstreamRecord record = upstream->record();
  record.phase = cluster_state::UpstreamPhase::kDraining;
  upstream->Drain();
  PublishUpstream(record, false);
  m_events->ScheduleAfter(m_scenario.drain_time, [this, upstream, record]() {
    upstream->Crash();
    PublishUpstream(record, true);
    AddUpstream(0, DomainIndex(record.failure_domain),
                m_events->now() + m_scenario.cold_time);
  });
}

void Fleet::ReplaceUpstreams(const Disturbance& disturbance,
                             std::vector<uint64_t> remaining) {
  const size_t count = std::min(remaining.size(), disturbance.count);
  for (size_t i = 0; i < count; ++i) {
    ReplaceUpstream(remaining[i]);
  }
  remaining.erase(remaining.begin(),
                  remaining.begin() + static_cast<int64_t>(count));
  if (!remaining.empty()) {
    m_events->ScheduleAfter(m_scenario.drain_time + disturbance.length,
                            [this, disturbance, remaining]() {
                              ReplaceUpstreams(disturbance, remaining);
                            });
  }
}

void Fleet::StartRollingRelease(const Disturbance& disturbance) {
  std::vector<uint64_t> ids = LiveUpstreamsOfFirstService();
  ids.resize(static_cast<size_t>(static_cast<double>(ids.size()) *
                                 disturbance.strength));
  for (size_t i = 0; i < ids.size(); ++i) {
    m_events->ScheduleAfter(
        disturbance.length * (i / std::max<size_t>(disturbance.count, 1)),
        [this, id = ids[i]]() { ReplaceUpstream(id); });
  }
}

void Fleet::ReturnErrors(const Disturbance& disturbance) {
  std::vector<uint64_t> ids = LiveUpstreamsOfFirstService();
  ids.resize(std::min(ids.size(), disturbance.count));
  for (const uint64_t id : ids) {
    m_upstreams.at(id)->set_returns_errors(true);
    m_events->ScheduleAfter(disturbance.length, [this, id]() {
      m_upstreams.at(id)->set_returns_errors(false);
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

}  // namespace poplarsail::emulator
