#include "cluster_state/cluster_state.h"

#include <algorithm>

namespace poplarsail::cluster_state {

void ClusterState::Apply(const ConfigurationEntry& entry, SteadyTime now) {
  ApplyChange(entry, now);
}

void ClusterState::Apply(const UpstreamEntry& entry, SteadyTime now) {
  if (!WasRemoved(ObjectKind::kUpstreams, entry)) {
    ApplyChange(entry, now);
  }
}

void ClusterState::Apply(const EvacuationEntry& entry, SteadyTime now) {
  if (!WasRemoved(ObjectKind::kEvacuations, entry)) {
    ApplyChange(entry, now);
  }
}

void ClusterState::ApplyChange(const ConfigurationEntry& entry, SteadyTime) {
  m_configuration_set.Put(entry);
  if (entry.value) {
    UseConfiguration(*entry.value);
  }
}

void ClusterState::UseConfiguration(const Configuration& configuration) {
  // Versions order configurations across restores of the store, where revisions
  // are given out again. Never go back to an older version.
  if (m_configuration && configuration.version <= m_configuration->version) {
    return;
  }
  m_configuration = configuration;
  RecordNonUpstreamChange();
}

void ClusterState::ApplyChange(const UpstreamEntry& entry, SteadyTime now) {
  // A new write of the same registration shows that its owner is alive.
  const bool ends_quarantine =
      m_quarantined.contains(entry.name) && m_upstream_set.IsNewer(entry);
  if (!m_upstream_set.Put(entry) && !ends_quarantine) {
    return;
  }
  if (!entry.value) {
    MarkUnregistered(entry.name, now);
    return;
  }
  m_unconfirmed_upstreams.erase(entry.name);
  m_quarantined.erase(entry.name);
  PutUpstream(entry, Source::kChange, now);
}

bool ClusterState::PutUpstream(const UpstreamEntry& entry,
                               Source source,
                               SteadyTime now) {
  if (!ClaimAddress(entry, source, now)) {
    return false;
  }
  m_removal_deadlines.erase(entry.name);
  m_departed.erase(entry.name);
  const auto [item, is_new] = m_upstreams.try_emplace(entry.name);
  if (!is_new && item->second.record.id != entry.value->id) {
    RecordUpstreamChange(entry.name, item->second.record.id);
  }
  if (!is_new && item->second.record.endpoint != entry.value->endpoint) {
    ReleaseAddress(entry.name, item->second.record.endpoint);
  }
  item->second = {*entry.value, entry.revision, false};
  RecordUpstreamChange(entry.name, entry.value->id);
  return true;
}

void ClusterState::ApplyChange(const EvacuationEntry& entry, SteadyTime) {
  // Any later word on an evacuation replaces what was in force before a
  // restore.
  m_unconfirmed_evacuations.erase(entry.name);
  if (m_evacuation_set.Put(entry)) {
    UpdateEvacuatedDomains();
  }
}

void ClusterState::UpdateEvacuatedDomains() {
  m_evacuated_domains.clear();
  for (const auto& [name, known] : m_evacuation_set.entries()) {
    if (known.value) {
      m_evacuated_domains.insert(known.value->failure_domain);
    }
  }
  RecordNonUpstreamChange();
}

void ClusterState::MarkListed(ObjectKind kind, const StoreVersion& version) {
  StoreVersion& listed = m_listed_versions[static_cast<size_t>(kind)];
  listed = std::max(listed, version);
  if (listed.revision <= kTombstoneRetentionRevisions) {
    return;
  }
  const uint64_t last = listed.revision - kTombstoneRetentionRevisions;
  switch (kind) {
    case ObjectKind::kConfiguration:
      return m_configuration_set.PurgeTombstones(last);
    case ObjectKind::kUpstreams:
      return m_upstream_set.PurgeTombstones(last);
    case ObjectKind::kEvacuations:
      return m_evacuation_set.PurgeTombstones(last);
  }
}

void ClusterState::AdoptEra(const std::vector<ConfigurationEntry>& entries,
                            SteadyTime) {
  m_configuration_set.Reset(entries);
  for (const ConfigurationEntry& entry : entries) {
    if (entry.value) {
      UseConfiguration(*entry.value);
    }
  }
}

void ClusterState::AdoptEra(const std::vector<EvacuationEntry>& entries,
                            SteadyTime now) {
  // An evacuation that the copy lacks may have been requested after the copy
  // was made. One that the copy lists may have been ended since; it is in force
  // until it is ended again, which costs capacity but breaks no promise.
  for (const std::string& domain : m_evacuated_domains) {
    m_unconfirmed_evacuations.try_emplace(domain, now + kEvacuationReturnTime);
  }
  for (const EvacuationEntry& entry : entries) {
    m_unconfirmed_evacuations.erase(entry.name);
  }
  m_evacuation_set.Reset(entries);
  UpdateEvacuatedDomains();
}

void ClusterState::AdoptEra(const std::vector<UpstreamEntry>& entries,
                            SteadyTime now) {
  m_upstream_set.Reset(entries);
  m_quarantined.clear();
  std::set<std::string> listed;
  for (const UpstreamEntry& entry : entries) {
    if (entry.value) {
      listed.insert(entry.name);
    }
  }
  for (const auto& [name, known] : m_upstreams) {
    if (!listed.contains(name) && !known.is_unregistered) {
      m_unconfirmed_upstreams[name] = now + kRegistrationReturnTime;
    }
  }
  for (const UpstreamEntry& entry : entries) {
    if (entry.value) {
      AdoptUpstream(entry, now);
    }
  }
}

void ClusterState::AdoptUpstream(UpstreamEntry entry, SteadyTime now) {
  if (HasDeparted(entry)) {
    m_quarantined[entry.name] = now + kDepartedQuarantine;
    return;
  }
  const auto known = m_upstreams.find(entry.name);
  const bool was_draining =
      known != m_upstreams.end() &&
      known->second.record.id == entry.value->id &&
      known->second.record.started_unix_ms == entry.value->started_unix_ms &&
      known->second.record.phase == UpstreamPhase::kDraining;
  if (was_draining) {
    entry.value->phase = UpstreamPhase::kDraining;
    m_upstream_set.Replace(entry);
  }
  m_unconfirmed_upstreams.erase(entry.name);
  if (!PutUpstream(entry, Source::kRestoredCopy, now)) {
    m_quarantined[entry.name] = now + kDepartedQuarantine;
  }
}

bool ClusterState::HasDeparted(const UpstreamEntry& entry) const {
  const auto departed = m_departed.find(entry.name);
  return departed != m_departed.end() &&
         departed->second.id == entry.value->id &&
         departed->second.started_unix_ms == entry.value->started_unix_ms;
}

bool ClusterState::KnowsChangesSince(ObjectKind kind,
                                     const StoreVersion& version) const {
  const StoreVersion& listed = listed_version(kind);
  const StoreVersion& start = m_history_starts[static_cast<size_t>(kind)];
  return version.era == listed.era && version >= start &&
         version.revision + kTombstoneRetentionRevisions > listed.revision;
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

void ClusterState::RemoveExpired(SteadyTime now) {
  std::erase_if(m_departed, [now](const auto& item) {
    return item.second.forget_at <= now;
  });
  if (std::erase_if(m_unconfirmed_evacuations, [now](const auto& item) {
        return item.second <= now;
      }) > 0) {
    RecordNonUpstreamChange();
  }
  std::vector<std::string> not_returned;
  for (const auto& [name, deadline] : m_unconfirmed_upstreams) {
    if (deadline <= now) {
      not_returned.push_back(name);
    }
  }
  for (const std::string& name : not_returned) {
    MarkUnregistered(name, now);
  }
  std::erase_if(m_quarantined, [this, now](const auto& item) {
    if (now < item.second) {
      return false;
    }
    const UpstreamEntry* entry = m_upstream_set.Find(item.first);
    if (entry != nullptr && entry->value) {
      PutUpstream(*entry, Source::kChange, now);
    }
    return true;
  });
  for (auto item = m_removal_deadlines.begin();
       item != m_removal_deadlines.end();) {
    if (now < item->second) {
      ++item;
      continue;
    }
    const auto unregistered = m_upstreams.find(item->first);
    if (unregistered != m_upstreams.end()) {
      RecordUpstreamChange(unregistered->first, unregistered->second.record.id);
      ReleaseAddress(unregistered->first, unregistered->second.record.endpoint);
      m_upstreams.erase(unregistered);
    }
    item = m_removal_deadlines.erase(item);
  }
}

bool ClusterState::ClaimAddress(const UpstreamEntry& entry,
                                Source source,
                                SteadyTime now) {
  std::string& user = m_address_users[entry.value->endpoint];
  const auto other =
      user == entry.name ? m_upstreams.end() : m_upstreams.find(user);
  const bool is_used = other != m_upstreams.end() &&
                       !other->second.is_unregistered &&
                       other->second.record.endpoint == entry.value->endpoint;
  if (is_used) {
    const int64_t other_start = other->second.record.started_unix_ms;
    const int64_t start = entry.value->started_unix_ms;
    const bool are_starts_stated = other_start > 0 && start > 0;
    // An upstream that the copy lacks registered after the copy was made, and
    // before any change that follows.
    const bool is_unconfirmed = m_unconfirmed_upstreams.contains(user);
    const bool is_later_user =
        are_starts_stated ? other_start > start
                          : is_unconfirmed && source == Source::kRestoredCopy;
    if (is_later_user) {
      return false;
    }
    const bool is_former_user =
        are_starts_stated ? other_start < start : is_unconfirmed;
    if (is_former_user) {
      MarkUnregistered(std::string(user), now);
    }
  }
  user = entry.name;
  RemoveUnregisteredAt(entry.value->endpoint);
  return true;
}

void ClusterState::ReleaseAddress(const std::string& name,
                                  const model::Ipv4Endpoint& endpoint) {
  const auto user = m_address_users.find(endpoint);
  if (user != m_address_users.end() && user->second == name) {
    m_address_users.erase(user);
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
  m_quarantined.erase(name);
  m_unconfirmed_upstreams.erase(name);
  const auto found = m_upstreams.find(name);
  if (found == m_upstreams.end()) {
    return;
  }
  RecordUpstreamChange(name, found->second.record.id);
  found->second.is_unregistered = true;
  m_departed[name] = {found->second.record.id,
                      found->second.record.started_unix_ms,
                      now + kDepartedRetention};
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
