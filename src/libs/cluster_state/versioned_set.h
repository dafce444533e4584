#ifndef CLUSTER_STATE_VERSIONED_SET_H_
#define CLUSTER_STATE_VERSIONED_SET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace poplarsail::cluster_state {

// An object as of a revision of the store. An object without a value is a
// tombstone: it was removed.
template <typename Record>
struct Versioned {
  std::string name;
  uint64_t revision = 0;
  std::optional<Record> value;

  friend bool operator==(const Versioned&, const Versioned&) = default;
};

// The newest known revision of each object of a kind. Removed objects are kept
// as tombstones, so that a source with older data can't restore them.
template <typename Record>
class VersionedSet {
 public:
  using Entry = Versioned<Record>;

  // Stores `entry` unless the same or a newer revision is known. Returns
  // whether the value changed.
  bool Put(const Entry& entry) {
    if (!IsNewer(entry)) {
      return false;
    }
    Entry& known = m_entries[entry.name];
    const bool changed = known.value != entry.value;
    known = entry;
    return changed;
  }

  // Whether neither the same nor a newer revision of the object is known.
  bool IsNewer(const Entry& entry) const {
    const Entry* known = Find(entry.name);
    return known == nullptr || entry.revision > known->revision;
  }

  // Stores `entry` whatever revision is known.
  void Replace(const Entry& entry) { m_entries[entry.name] = entry; }

  // Returns the names of known objects that are missing from `entries`, a
  // complete list as of `revision`.
  std::vector<std::string> FindMissingFrom(const std::vector<Entry>& entries,
                                           uint64_t revision) const {
    std::map<std::string, bool> listed;
    for (const Entry& entry : entries) {
      listed[entry.name] = true;
    }
    std::vector<std::string> missing;
    for (const auto& [name, known] : m_entries) {
      if (known.value && known.revision <= revision && !listed.contains(name)) {
        missing.push_back(name);
      }
    }
    return missing;
  }

  const Entry* Find(const std::string& name) const {
    const auto found = m_entries.find(name);
    return found == m_entries.end() ? nullptr : &found->second;
  }

  // Replaces all entries, whose revisions belong to an earlier era of the
  // store.
  void Reset(const std::vector<Entry>& entries) {
    m_entries.clear();
    for (const Entry& entry : entries) {
      m_entries[entry.name] = entry;
    }
  }

  // Purges tombstones up to and including `revision`.
  void PurgeTombstones(uint64_t revision) {
    std::erase_if(m_entries, [revision](const auto& item) {
      return !item.second.value && item.second.revision <= revision;
    });
  }

  const std::map<std::string, Entry>& entries() const { return m_entries; }

 private:
  std::map<std::string, Entry> m_entries;
};

}  // namespace poplarsail::cluster_state

#endif  // CLUSTER_STATE_VERSIONED_SET_H_
