#ifndef ENTRY_ERA_TRACKER_H_
#define ENTRY_ERA_TRACKER_H_

#include <cstdint>
#include <optional>

namespace poplarsail::entry {

enum class EraVerdict : uint8_t {
  kUsable,
  // The store stated its era before and does not in this response, or not
  // legibly.
  kMissing,
  // The response was made before the store was restored from a copy, or the
  // store's era fell, which must not happen.
  kOutdated,
};

// Judges responses of the store by the era that they state. Responses may come
// late and on several connections, so one from before a restore may follow one
// from after it.
class EraTracker {
 public:
  // `era` is nullopt if the response states none.
  EraVerdict Check(std::optional<uint64_t> era) {
    if (!era) {
      return m_era == 0 ? EraVerdict::kUsable : EraVerdict::kMissing;
    }
    if (*era < m_era) {
      return EraVerdict::kOutdated;
    }
    m_era = *era;
    return EraVerdict::kUsable;
  }

  // The latest era; 0 if none was stated.
  uint64_t era() const { return m_era; }

 private:
  uint64_t m_era = 0;
};

}  // namespace poplarsail::entry

#endif  // ENTRY_ERA_TRACKER_H_
