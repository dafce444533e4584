#ifndef ENTRY_STATE_CURRENCY_H_
#define ENTRY_STATE_CURRENCY_H_

#include <array>

#include "cluster_state/cluster_state.h"
#include "entry/version_floor.h"

namespace poplarsail::entry {

// Tells which kinds of objects are known as of the start of this host or later.
// A list may return data that is seconds old. Until changes or another list
// have caught up with the latest data, an object that it lacks may exist.
class StateCurrency {
 public:
  // Returns whether the kind has become current.
  bool Update(cluster_state::ObjectKind kind,
              const VersionFloor& floor,
              const cluster_state::ClusterState& cluster_state) {
    bool& is_current = m_is_current[static_cast<size_t>(kind)];
    if (is_current || !floor.IsKnown() ||
        floor.IsStale(cluster_state.listed_version(kind))) {
      return false;
    }
    is_current = true;
    return true;
  }

  bool IsCurrent(cluster_state::ObjectKind kind) const {
    return m_is_current[static_cast<size_t>(kind)];
  }

 private:
  std::array<bool, cluster_state::kObjectKindCount> m_is_current{};
};

}  // namespace poplarsail::entry

#endif  // ENTRY_STATE_CURRENCY_H_
