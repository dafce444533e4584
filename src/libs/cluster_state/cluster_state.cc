#include "cluster_state/cluster_state.h"

#include <algorithm>

namespace poplarsail::cluster_state {

void ClusterState::Apply(const ConfigurationEntry& entry, SteadyTime) {
  if (!m_configuration_set.Put(entry) || !entry.value) {
    return;
  }
  // Never go back to an older version, even if it has a newer revision.
  if (m_configuration && entry.value->version < m_configuration->version) {
    return;
  }
  m_configuration = entry.value;
  RecordNonUpstreamChange();
}

void ClusterState::Apply(const UpstreamEntry& entry, SteadyTime now) {
  if (!m_upstream_set.Put(entry)) {
    return;
  }
  if (!entry.value) {
    MarkUnregistered(entry.name, now);
    return;
  }
  m_removal_deadlines.erase(entry.name);
  RemoveUnregisteredAt(entry.value->endpoint);
  const auto [item, is_new] = m_upstreams.try_emplace(entry.name);
  if (!is_new && item->second.record.id != entry.value->id) {
    RecordUpstreamChange(entry.name, item->second.record.id);
  }
  item->second = {*entry.value, entry.revision, false};
  RecordUpstreamChange(entry.name, entry.value->id);
}

void ClusterState::Apply(const EvacuationEntry& entry, SteadyTime) {
  if (!m_evacuation_set.Put(entry)) {
    return;
  }
  m_evacuated_domains.clear();
  for (const auto& [name, known] : m_evacuation_set.entries()) {
    if (known.value) {
      m_evacuated_domains.insert(known.value->failure_domain);
    }
  }
  RecordNonUpstreamChange();
}

void ClusterState::MarkListed(ObjectKind kind, uint64_t revision) {
  uint64_t& listed = m_listed_revisions[static_cast<size_t>(kind)];
  listed = std::max(listed, revision);
  if (kind == ObjectKind::kUpstreams && listed > kTombstoneRetentionRevisions) {
    m_upstream_set.PurgeTombstones(listed - kTombstoneRetentionRevisions);
  }
}

bool ClusterState::IsComplete() const {
  return IsListed(ObjectKind::kConfiguration) &&
         IsListed(ObjectKind::kUpstreams) &&
         IsListed(ObjectKind::kEvacuations) && m_configuration.has_value();
}

void ClusterState::OnStoreRecovered(SteadyTime now) {
  for (auto& [name, deadline] : m_removal_deadlines) {
    deadline = std::max(deadline, now + kUnregisteredGracePeriod);
  }
}

void ClusterState::RemoveExpiredUpstreams(SteadyTime now) {
  for (auto item = m_removal_deadlines.begin();
       item != m_removal_deadlines.end();) {
    if (now < item->second) {
      ++item;
      continue;
    }
    const auto unregistered = m_upstreams.find(item->first);
    if (unregistered != m_upstreams.end()) {
      RecordUpstreamChange(unregistered->first, unregistered->second.record.id);
      m_upstreams.erase(unregistered);
    }
    item = m_removal_deadlines.erase(item);
  }
}

void ClusterState::RemoveUnregisteredAt(const model::Ipv4Endpoint& endpoint) {
  std::erase_if(m_removal_deadlines, [&](const auto& item) {
    const auto unregistered = m_upstreams.find(item.first);
    const bool is_address_reused =
        unregistered != m_upstreams.end() &&
        unregistered->second.record.endpoint == endpoint;
    if (is_address_reused) {
      RecordUpstreamChange(unregistered->first, unregistered->second.record.id);
      m_upstreams.erase(unregistered);
    }
    return is_address_reused;
  });
}

void ClusterState::MarkUnregistered(const std::string& name, SteadyTime now) {
  const auto found = m_upstreams.find(name);
  if (found == m_upstreams.end()) {
    return;
  }
  RecordUpstreamChange(name, found->second.record.id);
  found->second.is_unregistered = true;
  m_removal_deadlines.try_emplace(name, now + kUnregisteredGracePeriod);
}

void ClusterState::RecordUpstreamChange(const std::string& name,
                                        uint64_t upstream_id) {
  m_changes.push_back({++m_generation, name, upstream_id});
  if (m_changes.size() > kMaxChangeHistory) {
    m_discarded_generation = m_changes.front().generation;
    m_changes.pop_front();
  }
}

std::optional<std::vector<UpstreamChange>> ClusterState::UpstreamChangesSince(
    uint64_t generation) const {
  if (generation < m_discarded_generation) {
    return std::nullopt;
  }
  const auto first = std::partition_point(
      m_changes.begin(), m_changes.end(),
      [generation](const auto& c) { return c.generation <= generation; });
  return std::vector<UpstreamChange>(first, m_changes.end());
}

}  // namespace poplarsail::cluster_state
