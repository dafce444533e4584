#include "entry/service_pools.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace poplarsail::entry {

namespace {

using cluster_state::ClusterState;
using cluster_state::KnownUpstream;
using scheduling::Pool;

bool StatesTerms(const cluster_state::ListenerRecord& listener) {
  return listener.priority && listener.latency_target.count() > 0;
}

scheduling::PoolUpstream MakeUpstream(const KnownUpstream& upstream,
                                      bool is_evacuated) {
  const cluster_state::UpstreamRecord& record = upstream.record;
  const bool accepts_new_flows =
      record.phase == cluster_state::UpstreamPhase::kServing &&
      !upstream.is_unregistered && !is_evacuated;
  return {record.id, record.slots, record.cold_until, record.started_unix_ms,
          accepts_new_flows};
}

}  // namespace

ServicePools::ServicePools(std::string failure_domain)
    : m_failure_domain(std::move(failure_domain)) {}

void ServicePools::Update(const ClusterState& cluster_state) {
  m_pools.clear();
  if (!cluster_state.configuration()) {
    return;
  }
  std::unordered_set<std::string> unusable;
  for (const auto& listener : cluster_state.configuration()->listeners) {
    for (const cluster_state::ServiceShare& share : listener.shares) {
      if (share.weight == 0) {
        continue;
      }
      Pool& pool = m_pools[share.service];
      pool.service = share.service;
      pool.failure_domain = m_failure_domain;
      if (StatesTerms(listener)) {
        pool.listeners.push_back({listener.endpoint, *listener.priority,
                                  listener.latency_target, listener.timeout});
      } else {
        unusable.insert(share.service);
      }
    }
  }
  for (const auto& service : cluster_state.configuration()->services) {
    const auto pool = m_pools.find(service.name);
    if (pool != m_pools.end()) {
      pool->second.cold_flows_per_second = service.cold_flows_per_second;
    }
  }
  const bool is_evacuated = cluster_state.IsEvacuated(m_failure_domain);
  for (const auto& [name, upstream] : cluster_state.upstreams()) {
    const cluster_state::UpstreamRecord& record = upstream.record;
    const auto pool = m_pools.find(record.service);
    if (pool == m_pools.end()) {
      continue;
    }
    const bool is_serving =
        record.phase == cluster_state::UpstreamPhase::kServing;
    if (is_serving && record.slots == 0) {
      unusable.insert(record.service);
    }
    if (record.failure_domain == m_failure_domain && record.slots > 0) {
      pool->second.upstreams.push_back(MakeUpstream(upstream, is_evacuated));
    }
  }
  std::erase_if(m_pools, [&](const auto& item) {
    // Messages carry names of up to 255 bytes.
    return item.first.empty() || item.first.size() > 255 ||
           unusable.contains(item.first) ||
           std::ranges::none_of(item.second.upstreams,
                                &scheduling::PoolUpstream::accepts_new_flows);
  });
}

const Pool* ServicePools::Find(const std::string& service) const {
  const auto found = m_pools.find(service);
  return found == m_pools.end() ? nullptr : &found->second;
}

bool ServicePools::HasSingleRequests(
    const std::string& service,
    const scheduling::SingleRequestDetector& detector) const {
  const Pool* pool = Find(service);
  if (pool == nullptr) {
    return false;
  }
  bool is_decided = false;
  for (const scheduling::ListenerTerms& terms : pool->listeners) {
    if (detector.IsUndecided(terms.listener)) {
      continue;
    }
    if (!detector.CarriesSingleRequests(terms.listener)) {
      return false;
    }
    is_decided = true;
  }
  return is_decided;
}

}  // namespace poplarsail::entry
