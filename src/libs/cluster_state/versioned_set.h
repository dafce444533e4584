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
    Entry& known = m_entries[entry.name];
    const bool is_first = known.name.empty();
    if (!is_first && entry.revision <= known.revision) {
      return false;
    }
    const bool changed = known.value != entry.value;
    known = entry;
    return changed;
  }

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
