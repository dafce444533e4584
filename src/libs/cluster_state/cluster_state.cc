#include "cluster_state/cluster_state.h"

#include <algorithm>

namespace poplarsail::cluster_state {

void ClusterState::Apply(const ConfigurationEntry& entry, SteadyTime) {
  if (!m_configuration_set.Put(entry) || !entry.value) {
    return;
  }
  // A configuration never goes back, whatever its source claims.
  if (m_configuration && entry.value->version < m_configuration->version) {
    return;
  }
  m_configuration = entry.value;
  NoteFrameChange();
}

void ClusterState::Apply(const UpstreamEntry& entry, SteadyTime now) {
  if (!m_upstream_set.Put(entry)) {
    return;
  }
  if (!entry.value) {
    Lapse(entry.name, now);
    return;
  }
  m_lapse_deadlines.erase(entry.name);
  DropLapsedAt(entry.value->endpoint);
  const auto [item, is_new] = m_upstreams.try_emplace(entry.name);
  if (!is_new && item->second.record.id != entry.value->id) {
    NoteChange(entry.name, item->second.record.id);
  }
  item->second = {*entry.value, entry.revision, false};
  NoteChange(entry.name, entry.value->id);
}

void ClusterState::Apply(const EvacuationEntry& entry, SteadyTime) {
  if (!m_take_out_set.Put(entry)) {
    return;
  }
  m_taken_out.clear();
  for (const auto& [name, known] : m_take_out_set.entries()) {
    if (known.value) {
      m_taken_out.insert(known.value->failure_domain);
    }
  }
  NoteFrameChange();
}

void ClusterState::MarkListed(ObjectKind kind, uint64_t revision) {
  uint64_t& listed = m_listed_revisions[static_cast<size_t>(kind)];
  listed = std::max(listed, revision);
  if (kind == ObjectKind::kUpstreams && listed > kTombstoneRetentionRevisions) {
    m_upstream_set.ForgetRemoved(listed - kTombstoneRetentionRevisions);
  }
}

bool ClusterState::IsComplete() const {
  return IsListed(ObjectKind::kConfiguration) && IsListed(ObjectKind::kUpstreams) &&
         IsListed(ObjectKind::kEvacuations) && m_configuration.has_value();
}

void ClusterState::OnStoreRecovered(SteadyTime now) {
  for (auto& [name, deadline] : m_lapse_deadlines) {
    deadline = std::max(deadline, now + kLapseGrace);
  }
}

void ClusterState::RemoveExpiredUpstreams(SteadyTime now) {
  for (auto item = m_lapse_deadlines.begin();
       item != m_lapse_deadlines.end();) {
    if (now < item->second) {
      ++item;
      continue;
    }
    const auto lapsed = m_upstreams.find(item->first);
    if (lapsed != m_upstreams.end()) {
      NoteChange(lapsed->first, lapsed->second.record.id);
      m_upstreams.erase(lapsed);
    }
    item = m_lapse_deadlines.erase(item);
  }
}

void ClusterState::DropLapsedAt(const model::Ipv4Endpoint& endpoint) {
  std::erase_if(m_lapse_deadlines, [&](const auto& item) {
    const auto lapsed = m_upstreams.find(item.first);
    const bool is_succeeded = lapsed != m_upstreams.end() &&
                              lapsed->second.record.endpoint == endpoint;
    if (is_succeeded) {
      NoteChange(lapsed->first, lapsed->second.record.id);
      m_upstreams.erase(lapsed);
    }
    return is_succeeded;
  });
}

void ClusterState::Lapse(const std::string& name, SteadyTime now) {
  const auto found = m_upstreams.find(name);
  if (found == m_upstreams.end()) {
    return;
  }
  NoteChange(name, found->second.record.id);
  found->second.is_unregistered = true;
  m_lapse_deadlines.try_emplace(name, now + kLapseGrace);
}

void ClusterState::NoteChange(const std::string& name, uint64_t upstream_id) {
  m_changes.push_back({++m_generation, name, upstream_id});
  if (m_changes.size() > kRememberedChanges) {
    m_forgotten_generation = m_changes.front().generation;
    m_changes.pop_front();
  }
}

std::optional<std::vector<UpstreamChange>> ClusterState::UpstreamChangesSince(
    uint64_t generation) const {
  if (generation < m_forgotten_generation) {
    return std::nullopt;
  }
  const auto first = std::partition_point(
      m_changes.begin(), m_changes.end(),
      [generation](const auto& c) { return c.generation <= generation; });
  return std::vector<UpstreamChange>(first, m_changes.end());
}

}  // namespace poplarsail::belief
