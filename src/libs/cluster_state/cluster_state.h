// The configuration, the upstreams and the evacuated failure domains as known
// to a daemon, merged by revision from the store and from peers.
#ifndef CLUSTER_STATE_CLUSTER_STATE_H_
#define CLUSTER_STATE_CLUSTER_STATE_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
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
// listed revision of their kind.
inline constexpr uint64_t kTombstoneRetentionRevisions = 20'000;

// After a restore of the store, how long an upstream that the copy lacks counts
// as registered: live upstreams register again within two seconds, plus the
// delay of one watch.
inline constexpr milliseconds kRegistrationReturnTime{2'500};
// After a restore, how long an upstream that had left stays out of use although
// the copy lists it: by then the store has removed it again, unless it is
// alive.
inline constexpr milliseconds kDepartedQuarantine{8'000};
// How long departed upstreams are remembered; a copy is some seconds old.
inline constexpr milliseconds kDepartedRetention{120'000};
// After a restore, how long an evacuation that the copy lacks stays in force
// unless an operator writes it again.
inline constexpr milliseconds kEvacuationReturnTime{15'000};

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
  // a revision that is not newer than the known one of the object is ignored,
  // and so is an unknown object that was removed by the last list.
  void Apply(const ConfigurationEntry& entry, SteadyTime now);
  void Apply(const UpstreamEntry& entry, SteadyTime now);
  void Apply(const EvacuationEntry& entry, SteadyTime now);

  // Puts the configuration in force unless it is older than the present one.
  void UseConfiguration(const Configuration& configuration);

  // Applies a complete list as of `version`. Known objects that are not in the
  // list count as removed. The first list of a later era replaces all revisions
  // of the kind; what it lacks stays in force until it should be back. A list
  // of an earlier era is ignored.
  template <typename Record>
  void ApplyList(ObjectKind kind,
                 const std::vector<Versioned<Record>>& entries,
                 const StoreVersion& version,
                 SteadyTime now) {
    const StoreVersion& listed = listed_version(kind);
    if (version.era < listed.era) {
      return;
    }
    if (version.era > listed.era && IsListed(kind)) {
      AdoptEra(entries, now);
    } else {
      for (const std::string& name :
           versioned_set<Record>().FindMissingFrom(entries, version.revision)) {
        ApplyChange(Versioned<Record>{name, version.revision, std::nullopt},
                    now);
      }
      // Objects that an older list adds were removed in between.
      const bool adds_objects = version >= listed;
      for (const Versioned<Record>& entry : entries) {
        if (adds_objects || versioned_set<Record>().Find(entry.name)) {
          ApplyChange(entry, now);
        }
      }
    }
    if (version >= listed) {
      m_history_starts[static_cast<size_t>(kind)] = version;
    }
    MarkListed(kind, version);
  }

  // Records that every change of `kind` up to `version` was applied.
  void MarkListed(ObjectKind kind, const StoreVersion& version);

  // Restarts the grace period of unregistered upstreams after a store outage,
  // since they may not have registered again yet.
  void OnStoreRecovered(SteadyTime now);

  // Removes unregistered upstreams whose grace period has ended, and ends what
  // is provisional after a restore of the store.
  void RemoveExpired(SteadyTime now);

  // Whether a complete list of the kind was applied at least once.
  bool IsListed(ObjectKind kind) const {
    return listed_version(kind).revision > 0;
  }
  // Whether everything that steering depends on was listed, and a configuration
  // is known.
  bool IsComplete() const;
  const StoreVersion& listed_version(ObjectKind kind) const {
    return m_listed_versions[static_cast<size_t>(kind)];
  }

  // Whether every change of the kind after `version` is known, with removals. A
  // list does not show what was added and removed before it.
  bool KnowsChangesSince(ObjectKind kind, const StoreVersion& version) const;

  const std::optional<Configuration>& configuration() const {
    return m_configuration;
  }
  const std::map<std::string, KnownUpstream>& upstreams() const {
    return m_upstreams;
  }
  // Number of addresses that an upstream is known to use or to have used.
  size_t address_count() const { return m_address_users.size(); }
  // The newest known revisions of the objects of one kind, with tombstones.
  template <typename Record>
  const VersionedSet<Record>& versioned_set() const;
  bool IsEvacuated(const std::string& failure_domain) const {
    return m_evacuated_domains.contains(failure_domain) ||
           m_unconfirmed_evacuations.contains(failure_domain);
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
  // An upstream whose registration was removed.
  struct DepartedUpstream {
    uint64_t id = 0;
    int64_t started_unix_ms = 0;
    SteadyTime forget_at;
  };

  // Where a registration comes from: the first list after a restore shows data
  // that is older than what is known.
  enum class Source : uint8_t { kChange, kRestoredCopy };

  // Whether the object is unknown although the last list is newer.
  template <typename Record>
  bool WasRemoved(ObjectKind kind, const Versioned<Record>& entry) const {
    return entry.revision <= listed_version(kind).revision &&
           versioned_set<Record>().Find(entry.name) == nullptr;
  }
  void ApplyChange(const ConfigurationEntry& entry, SteadyTime now);
  void ApplyChange(const UpstreamEntry& entry, SteadyTime now);
  void ApplyChange(const EvacuationEntry& entry, SteadyTime now);

  // Apply the first list of a later era.
  void AdoptEra(const std::vector<ConfigurationEntry>& entries, SteadyTime now);
  void AdoptEra(const std::vector<UpstreamEntry>& entries, SteadyTime now);
  void AdoptEra(const std::vector<EvacuationEntry>& entries, SteadyTime now);
  // Adopts one registration of the copy. It is quarantined if the upstream has
  // left since.
  void AdoptUpstream(UpstreamEntry entry, SteadyTime now);
  bool HasDeparted(const UpstreamEntry& entry) const;
  void UpdateEvacuatedDomains();
  // Returns false if the upstream is not used because its address belongs to
  // another one.
  bool PutUpstream(const UpstreamEntry& entry, Source source, SteadyTime now);
  void MarkUnregistered(const std::string& name, SteadyTime now);
  void RecordUpstreamChange(const std::string& name, uint64_t upstream_id);
  void RecordNonUpstreamChange() { m_non_upstream_generation = ++m_generation; }
  // Makes the upstream the user of its address: a user of it that started
  // earlier has stopped. Returns false if the user started later, so that this
  // upstream has stopped itself.
  bool ClaimAddress(const UpstreamEntry& entry, Source source, SteadyTime now);
  // Forgets that the upstream uses the address, unless another one claimed it.
  void ReleaseAddress(const std::string& name,
                      const model::Ipv4Endpoint& endpoint);
  // Removes unregistered upstreams at `endpoint`: an address that is in use
  // again proves that its previous user has stopped.
  void RemoveUnregisteredAt(const model::Ipv4Endpoint& endpoint);

  std::optional<Configuration> m_configuration;
  VersionedSet<Configuration> m_configuration_set;
  VersionedSet<UpstreamRecord> m_upstream_set;
  VersionedSet<Evacuation> m_evacuation_set;
  std::map<std::string, KnownUpstream> m_upstreams;
  std::map<std::string, SteadyTime> m_removal_deadlines;
  // The upstream that claimed each address last.
  std::unordered_map<model::Ipv4Endpoint, std::string> m_address_users;
  std::map<std::string, DepartedUpstream> m_departed;
  // Upstreams that the restored copy lacks, with the time by which they should
  // have registered again.
  std::map<std::string, SteadyTime> m_unconfirmed_upstreams;
  // Outdated registrations of the restored copy, with the time from which they
  // count.
  std::map<std::string, SteadyTime> m_quarantined;
  std::set<std::string> m_evacuated_domains;
  std::map<std::string, SteadyTime> m_unconfirmed_evacuations;
  StoreVersion m_listed_versions[kObjectKindCount] = {};
  // The versions of the last complete lists.
  StoreVersion m_history_starts[kObjectKindCount] = {};
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
