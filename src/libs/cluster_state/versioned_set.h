#ifndef CLUSTER_STATE_VERSIONED_SET_H_
#define CLUSTER_STATE_VERSIONED_SET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace poplarsail::cluster_state {

// One object as of a revision of the store; no value means that it was removed.
template <typename Record>
struct Versioned {
  std::string name;
  uint64_t revision = 0;
  std::optional<Record> value;

  friend bool operator==(const Versioned&, const Versioned&) = default;
};

// The newest known revision of each object of a kind. Removed objects are kept
// as tombstones, so that an older source can't bring them back.
template <typename Record>
class VersionedSet {
 public:
  using Entry = Versioned<Record>;

  // Takes `entry` unless a newer revision is known. Returns whether the set
  // changed.
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

  // The names of objects that are not in `entries`, though a list as of
  // revision `at` would hold them.
  std::vector<std::string> MissingFrom(const std::vector<Entry>& entries,
                                       uint64_t at) const {
    std::map<std::string, bool> listed;
    for (const Entry& entry : entries) {
      listed[entry.name] = true;
    }
    std::vector<std::string> missing;
    for (const auto& [name, known] : m_entries) {
      if (known.value && known.revision <= at && !listed.contains(name)) {
        missing.push_back(name);
      }
    }
    return missing;
  }

  const Entry* Find(const std::string& name) const {
    const auto found = m_entries.find(name);
    return found == m_entries.end() ? nullptr : &found->second;
  }

  // Drops tombstones at or below `revision`.
  void ForgetRemoved(uint64_t revision) {
    std::erase_if(m_entries, [revision](const auto& item) {
      return !item.second.value && item.second.revision <= revision;
    });
  }

  const std::map<std::string, Entry>& entries() const { return m_entries; }

 private:
  std::map<std::string, Entry> m_entries;
};

}  // namespace poplarsail::belief

#endif  // CLUSTER_STATE_VERSIONED_SET_H_
