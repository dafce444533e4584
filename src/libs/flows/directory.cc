#include "flows/directory.h"

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

void Directory::Update(const belief::Belief& belief, SteadyTime now) {
  if (belief.generation() == m_generation) {
    return;
  }
  m_generation = belief.generation();
  if (belief.configuration()) {
    UpdateListeners(*belief.configuration());
  }
  UpdateUpstreams(belief, now);
  IndexUpstreams();
}

void Directory::UpdateListeners(const belief::Configuration& configuration) {
  for (const auto& [endpoint, listener] : m_listeners) {
    m_former_listeners[endpoint] = true;
  }
  m_listeners.clear();
  m_services.clear();
  for (const belief::ServiceRecord& record : configuration.services) {
    m_services[record.name].record = record;
  }
  for (const belief::ListenerRecord& record : configuration.listeners) {
    Listener& listener = m_listeners[record.endpoint];
    listener.record = record;
    for (const belief::ServiceShare& share : record.shares) {
      listener.weight_sum += share.weight;
      m_services[share.service].record.name = share.service;
    }
    m_former_listeners.erase(record.endpoint);
  }
}

void Directory::UpdateUpstreams(const belief::Belief& belief, SteadyTime now) {
  std::unordered_map<uint64_t, std::unique_ptr<Upstream>> kept;
  for (const auto& [name, known] : belief.upstreams()) {
    auto& upstream = kept[known.record.id];
    const auto found = m_upstreams.find(known.record.id);
    const bool is_same_process =
        found != m_upstreams.end() && found->second &&
        found->second->record.started_unix_ms == known.record.started_unix_ms;
    upstream = is_same_process ? std::move(found->second)
                               : std::make_unique<Upstream>();
    upstream->record = known.record;
    upstream->revision = known.revision;
    upstream->is_lapsed = known.is_lapsed;
    upstream->is_taken_out = belief.IsTakenOut(known.record.failure_domain);
    upstream->tag_base = TagBase(known.record.id);
  }
  std::erase_if(m_departed,
                [now](const auto& item) { return item.second <= now; });
  for (const auto& [id, upstream] : m_upstreams) {
    if (!kept.contains(id)) {
      m_departed[TagBase(id)] = now + kDepartedMemory;
    }
  }
  m_upstreams = std::move(kept);
}

void Directory::IndexUpstreams() {
  m_by_tag.clear();
  for (auto& [name, service] : m_services) {
    service.upstreams.clear();
  }
  for (const auto& [id, upstream] : m_upstreams) {
    m_departed.erase(upstream->tag_base);
    Upstream*& holder = m_by_tag[upstream->tag_base];
    // All hosts let the lower id keep the tag.
    const bool is_ambiguous = holder != nullptr;
    if (is_ambiguous && holder->record.id > id) {
      holder->has_ambiguous_tag = true;
      holder = nullptr;
    }
    upstream->has_ambiguous_tag = holder != nullptr;
    if (holder == nullptr) {
      holder = upstream.get();
    }
    m_services[upstream->record.service].upstreams.push_back(upstream.get());
  }
}

const Listener* Directory::FindListener(const Ipv4Endpoint& endpoint) const {
  const auto found = m_listeners.find(endpoint);
  return found == m_listeners.end() ? nullptr : &found->second;
}

const Service* Directory::FindService(const std::string& name) const {
  const auto found = m_services.find(name);
  return found == m_services.end() ? nullptr : &found->second;
}

Upstream* Directory::FindUpstream(uint64_t id) {
  const auto found = m_upstreams.find(id);
  return found == m_upstreams.end() ? nullptr : found->second.get();
}

Upstream* Directory::FindByTag(const Ipv4Endpoint& listener, uint32_t tag) {
  const auto found = m_by_tag.find(tag ^ ListenerMask(listener));
  return found == m_by_tag.end() ? nullptr : found->second;
}

bool Directory::IsDeparted(const Ipv4Endpoint& listener, uint32_t tag) const {
  return m_departed.contains(tag ^ ListenerMask(listener));
}

}  // namespace poplarsail::flows
