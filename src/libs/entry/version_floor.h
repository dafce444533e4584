#ifndef ENTRY_VERSION_FLOOR_H_
#define ENTRY_VERSION_FLOOR_H_

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

#include "cluster_state/records.h"

namespace poplarsail::entry {

// The newest version that a list of the latest data has returned. An older list
// is stale: upstreams in it may have left since.
class VersionFloor {
 public:
  void Raise(const cluster_state::StoreVersion& version) {
    m_version = std::max(m_version, version);
    for (const auto& on_known : std::exchange(m_on_known, {})) {
      on_known();
    }
  }
  // Calls `on_known` once, when the first such list arrives.
  void NotifyWhenKnown(std::function<void()> on_known) {
    m_on_known.push_back(std::move(on_known));
  }
  // Whether such a list has arrived.
  bool IsKnown() const { return m_version.revision > 0; }
  bool IsStale(const cluster_state::StoreVersion& version) const {
    return version < m_version;
  }

 private:
  cluster_state::StoreVersion m_version;
  std::vector<std::function<void()>> m_on_known;
};

}  // namespace poplarsail::entry

#endif  // ENTRY_VERSION_FLOOR_H_
