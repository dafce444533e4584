#include "flows/routing_table.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <utility>

#include <xxhash.h>

namespace poplarsail::flows {

namespace {

uint32_t ListenerMask(const Ipv4Endpoint& listener) {
  const std::array<uint32_t, 2> words = {listener.address, listener.port};
  return static_cast<uint32_t>(XXH3_64bits(words.data(), sizeof(words)));
}

}  // namespace

uint32_t TagBase(uint64_t upstream_id) {
  return static_cast<uint32_t>(XXH3_64bits(&upstream_id, sizeof(upstream_id)));
}

uint32_t MakeTag(const Ipv4Endpoint& listener, uint32_t tag_base) {
  const uint32_t tag = tag_base ^ ListenerMask(listener);
  // Tag 0 marks a packet without a tag. Its replacement 1 is no more likely to
  // be the tag of another upstream than any other value.
  return tag == 0 ? 1 : tag;
}

double Upstream::RemainingLostFlows(SteadyTime now) const {
  const std::chrono::duration<double> since = now - lost_at;
  const std::chrono::duration<double> recovery_time = kRecoveryTime;
  return lost_flows * std::max(0.0, 1.0 - since / recovery_time);
}

double Upstream::RecentPlacements(SteadyTime now) const {
  const std::chrono::duration<double> since = now - placements_at;
  const std::chrono::duration<double> decay_time = kPlacementDecayTime;
  return recent_placements * std::exp(-since / decay_time);
}

void RoutingTable::Update(const cluster_state::ClusterState& cluster_state,
                          SteadyTime now) {
  if (cluster_state.generation() == m_generation) {
    return;
  }
  const bool has_non_upstream_change =
      cluster_state.non_upstream_generation() > m_generation;
  const auto changes = cluster_state.UpstreamChangesSince(m_generation);
  m_generation = cluster_state.generation();
  const auto is_expired = [now](const auto& item) {
    return item.second <= now;
  };
  std::erase_if(m_recently_removed, is_expired);
  std::erase_if(m_recently_removed_listeners, is_expired);
  if (has_non_upstream_change || !changes) {
    Rebuild(cluster_state, now);
    return;
  }
  for (const cluster_state::UpstreamChange& change : *changes) {
    ApplyUpstreamChange(cluster_state, change, now);
  }
  if (m_has_ambiguous_tags) {
    RebuildIndex();
  }
}

void RoutingTable::Rebuild(const cluster_state::ClusterState& cluster_state,
                           SteadyTime now) {
  if (cluster_state.configuration()) {
    UpdateListeners(*cluster_state.configuration(), now);
  }
  const bool is_first = m_upstreams.empty();
  UpdateUpstreams(cluster_state, now);
  RebuildIndex();
  for (const auto& [id, upstream] : m_upstreams) {
    upstream->has_start_load |= is_first;
    SetStartLoad(upstream.get(), now);
  }
}

void RoutingTable::SetStartLoad(Upstream* upstream, SteadyTime now) {
  if (std::exchange(upstream->has_start_load, true)) {
    return;
  }
  double sum = 0;
  size_t count = 0;
  for (const Upstream* other : m_services[upstream->record.service].upstreams) {
    const bool is_peer =
        other != upstream &&
        other->record.failure_domain == upstream->record.failure_domain;
    if (!is_peer) {
      continue;
    }
    sum += other->RecentPlacements(now) + other->open_flows;
    ++count;
  }
  upstream->recent_placements =
      count == 0 ? 0 : sum / static_cast<double>(count);
  upstream->placements_at = now;
}

void RoutingTable::UpdateListeners(
    const cluster_state::Configuration& configuration,
    SteadyTime now) {
  for (const auto& [endpoint, listener] : m_listeners) {
    m_recently_removed_listeners[endpoint] = now + kRemovedListenerRetention;
  }
  m_listeners.clear();
  m_services.clear();
  for (const cluster_state::ServiceRecord& record : configuration.services) {
    m_services[record.name].record = record;
  }
  for (const cluster_state::ListenerRecord& record : configuration.listeners) {
    m_recently_removed_listeners.erase(record.endpoint);
    Listener& listener = m_listeners[record.endpoint];
    listener.record = record;
    for (const cluster_state::ServiceShare& share : record.shares) {
      listener.weight_sum += share.weight;
      m_services[share.service].record.name = share.service;
    }
  }
  RankListeners();
}

void RoutingTable::RankListeners() {
  // Without a stated priority the requests are the least urgent.
  const auto priority = [](const Listener& listener) {
    return listener.record.priority.value_or(
        std::numeric_limits<uint32_t>::max());
  };
  std::unordered_map<std::string, uint32_t> lowest;
  for (const auto& [endpoint, listener] : m_listeners) {
    for (const cluster_state::ServiceShare& share : listener.record.shares) {
      uint32_t& value = lowest[share.service];
      value = std::max(value, priority(listener));
    }
  }
  for (auto& [endpoint, listener] : m_listeners) {
    for (const cluster_state::ServiceShare& share : listener.record.shares) {
      listener.has_lowest_priority &=
          priority(listener) >= lowest[share.service];
    }
  }
}

void RoutingTable::UpdateUpstreams(
    const cluster_state::ClusterState& cluster_state,
    SteadyTime now) {
  std::unordered_map<uint64_t, std::unique_ptr<Upstream>> kept;
  for (const auto& [name, known] : cluster_state.upstreams()) {
    const auto found = m_upstreams.find(known.record.id);
    kept[known.record.id] = RefreshUpstream(
        found == m_upstreams.end() ? nullptr : std::move(found->second), known,
        cluster_state);
  }
  for (const auto& [id, upstream] : m_upstreams) {
    if (!kept.contains(id)) {
      m_recently_removed[TagBase(id)] = now + kRemovedUpstreamRetention;
    }
  }
  m_upstreams = std::move(kept);
}

void RoutingTable::ApplyUpstreamChange(
    const cluster_state::ClusterState& cluster_state,
    const cluster_state::UpstreamChange& change,
    SteadyTime now) {
  const auto known = cluster_state.upstreams().find(change.name);
  const bool is_present = known != cluster_state.upstreams().end() &&
                          known->second.record.id == change.upstream_id;
  const auto found = m_upstreams.find(change.upstream_id);
  std::unique_ptr<Upstream> upstream;
  if (found != m_upstreams.end()) {
    upstream = std::move(found->second);
    RemoveFromIndex(upstream.get());
    m_upstreams.erase(found);
  }
  if (is_present) {
    upstream =
        RefreshUpstream(std::move(upstream), known->second, cluster_state);
    AddToIndex(upstream.get());
    SetStartLoad(upstream.get(), now);
    m_upstreams[change.upstream_id] = std::move(upstream);
  } else if (upstream != nullptr) {
    m_recently_removed[upstream->tag_base] = now + kRemovedUpstreamRetention;
  }
}

std::unique_ptr<Upstream> RoutingTable::RefreshUpstream(
    std::unique_ptr<Upstream> upstream,
    const cluster_state::KnownUpstream& known,
    const cluster_state::ClusterState& cluster_state) const {
  const bool is_same_process =
      upstream != nullptr &&
      upstream->record.started_unix_ms == known.record.started_unix_ms;
  if (!is_same_process) {
    upstream = std::make_unique<Upstream>();
  }
  upstream->record = known.record;
  upstream->revision = known.revision;
  upstream->is_unregistered = known.is_unregistered;
  upstream->is_evacuated =
      cluster_state.IsEvacuated(known.record.failure_domain);
  upstream->tag_base = TagBase(known.record.id);
  return upstream;
}

void RoutingTable::RebuildIndex() {
  m_by_tag.clear();
  m_has_ambiguous_tags = false;
  for (auto& [name, service] : m_services) {
    service.upstreams.clear();
  }
  for (const auto& [id, upstream] : m_upstreams) {
    AddToIndex(upstream.get());
  }
}

void RoutingTable::AddToIndex(Upstream* upstream) {
  m_recently_removed.erase(upstream->tag_base);
  upstream->has_ambiguous_tag = false;
  Upstream*& tag_owner = m_by_tag[upstream->tag_base];
  if (tag_owner == nullptr) {
    tag_owner = upstream;
  } else {
    m_has_ambiguous_tags = true;
    // The lower id owns the tag, so that all hosts agree.
    Upstream* other = upstream;
    if (other->record.id < tag_owner->record.id) {
      std::swap(tag_owner, other);
    }
    other->has_ambiguous_tag = true;
  }
  m_services[upstream->record.service].upstreams.push_back(upstream);
}

void RoutingTable::RemoveFromIndex(Upstream* upstream) {
  const auto tag_owner = m_by_tag.find(upstream->tag_base);
  if (tag_owner != m_by_tag.end() && tag_owner->second == upstream) {
    m_by_tag.erase(tag_owner);
  }
  std::erase(m_services[upstream->record.service].upstreams, upstream);
}

const Listener* RoutingTable::FindListener(const Ipv4Endpoint& endpoint) const {
  const auto found = m_listeners.find(endpoint);
  return found == m_listeners.end() ? nullptr : &found->second;
}

const Service* RoutingTable::FindService(const std::string& name) const {
  const auto found = m_services.find(name);
  return found == m_services.end() ? nullptr : &found->second;
}

Upstream* RoutingTable::FindUpstream(uint64_t id) {
  const auto found = m_upstreams.find(id);
  return found == m_upstreams.end() ? nullptr : found->second.get();
}

Upstream* RoutingTable::FindByTag(const Ipv4Endpoint& listener, uint32_t tag) {
  const auto found = m_by_tag.find(tag ^ ListenerMask(listener));
  return found == m_by_tag.end() ? nullptr : found->second;
}

bool RoutingTable::IsRecentlyRemoved(const Ipv4Endpoint& listener,
                                     uint32_t tag) const {
  return m_recently_removed.contains(tag ^ ListenerMask(listener));
}

}  // namespace poplarsail::flows
