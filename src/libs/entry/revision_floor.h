#ifndef ENTRY_REVISION_FLOOR_H_
#define ENTRY_REVISION_FLOOR_H_

#include <algorithm>
#include <cstdint>

namespace poplarsail::entry {

// The newest revision that a list of the latest data has returned. An older
// list is stale: upstreams in it may have left since.
class RevisionFloor {
 public:
  void Raise(uint64_t revision) { m_value = std::max(m_value, revision); }
  bool IsStale(uint64_t revision) const { return revision < m_value; }

 private:
  uint64_t m_value = 0;
};

}  // namespace poplarsail::entry

#endif  // ENTRY_REVISION_FLOOR_H_
