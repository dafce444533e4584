#include "flows/routing_table.h"

#include <algorithm>
#include <array>
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
  // 0 stands for a packet without a tag; its neighbour is as rare.
  return tag == 0 ? 1 : tag;
}

double Upstream::LostFlows(SteadyTime now) const {
  const std::chrono::duration<double> since = now - lost_at;
  const std::chrono::duration<double> return_time = kReturnTime;
  return lost_flows * std::max(0.0, 1.0 - since / return_time);
}

void RoutingTable::Update(const cluster_state::ClusterState& cluster_state, SteadyTime now) {
  if (cluster_state.generation() == m_generation) {
    return;
  }
  const bool is_frame_new = cluster_state.frame_generation() > m_generation;
  const auto changes = cluster_state.UpstreamChangesSince(m_generation);
  m_generation = cluster_state.generation();
  std::erase_if(m_departed,
                [now](const auto& item) { return item.second <= now; });
  if (is_frame_new || !changes) {
    Rebuild(cluster_state, now);
    return;
  }
  for (const cluster_state::UpstreamChange& change : *changes) {
    Follow(cluster_state, change, now);
  }
  if (m_has_ambiguous_tags) {
    IndexUpstreams();
  }
}

void RoutingTable::Rebuild(const cluster_state::ClusterState& cluster_state, SteadyTime now) {
  if (cluster_state.configuration()) {
    UpdateListeners(*cluster_state.configuration());
  }
  UpdateUpstreams(cluster_state, now);
  IndexUpstreams();
}

void RoutingTable::UpdateListeners(const cluster_state::Configuration& configuration) {
  m_listeners.clear();
  m_services.clear();
  for (const cluster_state::ServiceRecord& record : configuration.services) {
    m_services[record.name].record = record;
  }
  for (const cluster_state::ListenerRecord& record : configuration.listeners) {
    Listener& listener = m_listeners[record.endpoint];
    listener.record = record;
    for (const cluster_state::ServiceShare& share : record.shares) {
      listener.weight_sum += share.weight;
      m_services[share.service].record.name = share.service;
    }
  }
}

void RoutingTable::UpdateUpstreams(const cluster_state::ClusterState& cluster_state, SteadyTime now) {
  std::unordered_map<uint64_t, std::unique_ptr<Upstream>> kept;
  for (const auto& [name, known] : cluster_state.upstreams()) {
    const auto found = m_upstreams.find(known.record.id);
    kept[known.record.id] = Refreshed(
        found == m_upstreams.end() ? nullptr : std::move(found->second), known,
        cluster_state);
  }
  for (const auto& [id, upstream] : m_upstreams) {
    if (!kept.contains(id)) {
      m_departed[TagBase(id)] = now + kDepartedMemory;
    }
  }
  m_upstreams = std::move(kept);
}

void RoutingTable::Follow(const cluster_state::ClusterState& cluster_state,
                       const cluster_state::UpstreamChange& change,
                       SteadyTime now) {
  const auto known = cluster_state.upstreams().find(change.name);
  const bool is_there = known != cluster_state.upstreams().end() &&
                        known->second.record.id == change.upstream_id;
  const auto found = m_upstreams.find(change.upstream_id);
  std::unique_ptr<Upstream> upstream;
  if (found != m_upstreams.end()) {
    upstream = std::move(found->second);
    Unindex(upstream.get());
    m_upstreams.erase(found);
  }
  if (is_there) {
    upstream = Refreshed(std::move(upstream), known->second, cluster_state);
    Index(upstream.get());
    m_upstreams[change.upstream_id] = std::move(upstream);
  } else if (upstream != nullptr) {
    m_departed[upstream->tag_base] = now + kDepartedMemory;
  }
}

std::unique_ptr<Upstream> RoutingTable::Refreshed(
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
  upstream->is_evacuated = cluster_state.IsEvacuated(known.record.failure_domain);
  upstream->tag_base = TagBase(known.record.id);
  return upstream;
}

void RoutingTable::IndexUpstreams() {
  m_by_tag.clear();
  m_has_ambiguous_tags = false;
  for (auto& [name, service] : m_services) {
    service.upstreams.clear();
  }
  for (const auto& [id, upstream] : m_upstreams) {
    Index(upstream.get());
  }
}

void RoutingTable::Index(Upstream* upstream) {
  m_departed.erase(upstream->tag_base);
  upstream->has_ambiguous_tag = false;
  Upstream*& holder = m_by_tag[upstream->tag_base];
  if (holder == nullptr) {
    holder = upstream;
  } else {
    m_has_ambiguous_tags = true;
    // All hosts let the lower id keep the tag.
    Upstream* other = upstream;
    if (other->record.id < holder->record.id) {
      std::swap(holder, other);
    }
    other->has_ambiguous_tag = true;
  }
  m_services[upstream->record.service].upstreams.push_back(upstream);
}

void RoutingTable::Unindex(Upstream* upstream) {
  const auto holder = m_by_tag.find(upstream->tag_base);
  if (holder != m_by_tag.end() && holder->second == upstream) {
    m_by_tag.erase(holder);
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

bool RoutingTable::IsDeparted(const Ipv4Endpoint& listener, uint32_t tag) const {
  return m_departed.contains(tag ^ ListenerMask(listener));
}

}  // namespace poplarsail::flows
