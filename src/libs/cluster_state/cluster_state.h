// The configuration, the upstreams and the evacuated failure domains as known
// to a daemon, merged by revision from the store and from peers.
#ifndef CLUSTER_STATE_CLUSTER_STATE_H_
#define CLUSTER_STATE_CLUSTER_STATE_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster_state/records.h"
#include "cluster_state/versioned_set.h"

namespace poplarsail::cluster_state {

// How long an upstream is kept after its registration was removed.
// Registrations that were removed during a store outage are back within two
// seconds of its end, plus the delay of one watch.
inline constexpr milliseconds kUnregisteredGracePeriod{2'500};
// Upstream changes kept for incremental updates. A reader that is further
// behind has to read all upstreams.
inline constexpr size_t kMaxChangeHistory = 1'024;
// Tombstones are purged once they are this many revisions older than the last
// listed revision of upstreams.
inline constexpr uint64_t kTombstoneRetentionRevisions = 20'000;

struct KnownUpstream {
  UpstreamRecord record;
  uint64_t revision = 0;
  // The registration was removed. The upstream may have stopped, or it may only
  // have failed to reach the store; both also apply to a draining upstream.
  bool is_unregistered = false;

  friend bool operator==(const KnownUpstream&, const KnownUpstream&) = default;
};

// An upstream that was added, changed or removed.
struct UpstreamChange {
  // Generation of the cluster state after the change.
  uint64_t generation = 0;
  std::string name;
  uint64_t upstream_id = 0;

  friend bool operator==(const UpstreamChange&,
                         const UpstreamChange&) = default;
};

enum class ObjectKind : uint8_t { kConfiguration, kUpstreams, kEvacuations };
inline constexpr size_t kObjectKindCount = 3;

class ClusterState {
 public:
  using ConfigurationEntry = Versioned<Configuration>;
  using UpstreamEntry = Versioned<UpstreamRecord>;
  using EvacuationEntry = Versioned<Evacuation>;

  // Applies a single change. Changes may come from any source and in any order;
  // a revision that is not newer than the known one of the object is ignored.
  void Apply(const ConfigurationEntry& entry, SteadyTime now);
  void Apply(const UpstreamEntry& entry, SteadyTime now);
  void Apply(const EvacuationEntry& entry, SteadyTime now);

  // Applies a complete list as of `revision`. Known objects that are not in
  // the list count as removed.
  template <typename Record>
  void ApplyList(ObjectKind kind,
                 const std::vector<Versioned<Record>>& entries,
                 uint64_t revision,
                 SteadyTime now) {
    for (const std::string& name :
         versioned_set<Record>().FindMissingFrom(entries, revision)) {
      Apply(Versioned<Record>{name, revision, std::nullopt}, now);
    }
    for (const Versioned<Record>& entry : entries) {
      Apply(entry, now);
    }
    MarkListed(kind, revision);
  }

  // Records that every change of `kind` up to `revision` was applied.
  void MarkListed(ObjectKind kind, uint64_t revision);

  // Restarts the grace period of unregistered upstreams after a store outage,
  // since they may not have registered again yet.
  void OnStoreRecovered(SteadyTime now);

  // Removes unregistered upstreams whose grace period has ended.
  void RemoveExpiredUpstreams(SteadyTime now);

  // Whether a complete list of the kind was applied at least once.
  bool IsListed(ObjectKind kind) const {
    return m_listed_revisions[static_cast<size_t>(kind)] > 0;
  }
  // Whether everything that steering depends on was listed, and a configuration
  // is known.
  bool IsComplete() const;
  uint64_t listed_revision(ObjectKind kind) const {
    return m_listed_revisions[static_cast<size_t>(kind)];
  }

  const std::optional<Configuration>& configuration() const {
    return m_configuration;
  }
  const std::map<std::string, KnownUpstream>& upstreams() const {
    return m_upstreams;
  }
  // The newest known revisions of the objects of one kind, with tombstones.
  template <typename Record>
  const VersionedSet<Record>& versioned_set() const;
  bool IsEvacuated(const std::string& failure_domain) const {
    return m_evacuated_domains.contains(failure_domain);
  }

  // Increases with each change of the state.
  uint64_t generation() const { return m_generation; }
  // The generation of the newest change of the configuration or an evacuation.
  uint64_t non_upstream_generation() const { return m_non_upstream_generation; }
  // Returns the upstream changes after `generation`, oldest first, or nullopt
  // if some of them were already discarded.
  std::optional<std::vector<UpstreamChange>> UpstreamChangesSince(
      uint64_t generation) const;

 private:
  void MarkUnregistered(const std::string& name, SteadyTime now);
  void RecordUpstreamChange(const std::string& name, uint64_t upstream_id);
  void RecordNonUpstreamChange() { m_non_upstream_generation = ++m_generation; }
  // Removes unregistered upstreams at `endpoint`: an address that is in use
  // again proves that its previous user has stopped.
  void RemoveUnregisteredAt(const model::Ipv4Endpoint& endpoint);

  std::optional<Configuration> m_configuration;
  VersionedSet<Configuration> m_configuration_set;
  VersionedSet<UpstreamRecord> m_upstream_set;
  VersionedSet<Evacuation> m_evacuation_set;
  std::map<std::string, KnownUpstream> m_upstreams;
  std::map<std::string, SteadyTime> m_removal_deadlines;
  std::set<std::string> m_evacuated_domains;
  uint64_t m_listed_revisions[kObjectKindCount] = {};
  uint64_t m_generation = 0;
  uint64_t m_non_upstream_generation = 0;
  std::deque<UpstreamChange> m_changes;
  // Changes up to this generation were discarded.
  uint64_t m_discarded_generation = 0;
};

template <>
inline const VersionedSet<Configuration>& ClusterState::versioned_set() const {
  return m_configuration_set;
}
template <>
inline const VersionedSet<UpstreamRecord>& ClusterState::versioned_set() const {
  return m_upstream_set;
}
template <>
inline const VersionedSet<Evacuation>& ClusterState::versioned_set() const {
  return m_evacuation_set;
}

}  // namespace poplarsail::cluster_state

#endif  // CLUSTER_STATE_CLUSTER_STATE_H_
