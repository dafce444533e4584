#ifndef STEERING_FLOW_TABLE_H_
#define STEERING_FLOW_TABLE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "model/model.h"
#include "steering/huge_page_allocator.h"

namespace poplarsail::steering {

using model::TimePoint;

// Names an upstream within its service for as long as the service exists; a
// number is never given out twice. 0 names none.
using UpstreamId = uint32_t;
inline constexpr UpstreamId kNoUpstream = 0;

// How far a flow has come, from what its caller sent.
enum class FlowPhase : uint8_t {
  // Only its first packet was seen.
  kOpening,
  kOpen,
  // Its caller ended it (TCP with FIN or RST).
  kClosing,
  // Its protocol marks neither first nor last packets (UDP).
  kUnmarked,
};

// How long a record is kept after a packet of a flow in this phase.
std::chrono::milliseconds LifetimeOf(FlowPhase phase);

// What is kept of one flow.
struct FlowRecord {
  uint64_t hash = 0;
  UpstreamId upstream = kNoUpstream;
  FlowPhase phase = FlowPhase::kOpening;
  // Names the entry host that holds the second copy (its low bits).
  uint8_t backup_tag = 0;

  friend bool operator==(const FlowRecord&, const FlowRecord&) = default;
};

// A record that was found, and until when it is kept.
struct FoundRecord {
  FlowRecord record;
  // Rounded up to 4 seconds.
  TimePoint deadline;

  friend bool operator==(const FoundRecord&, const FoundRecord&) = default;
};

enum class InsertResult : uint8_t { kInserted, kReplaced, kFull };

// A bounded table of flow records in sets of one cache line; a record has two
// sets that it may stand in. 16 bytes a place; a record is dropped when its
// stored deadline has passed, lazily, so there are no pauses.
class FlowTable {
 public:
  // Holds `capacity` records at the fill that both sets allow.
  explicit FlowTable(size_t capacity);

  // Returns the record of `hash` that has not expired.
  std::optional<FoundRecord> Find(uint64_t hash, TimePoint now) const;

  // Writes or replaces the record of `record.hash`. A full pair of sets
  // refuses: no live record is ever evicted for another.
  InsertResult Insert(const FlowRecord& record,
                      TimePoint deadline,
                      TimePoint now);

  void Erase(uint64_t hash);

  // Calls `visit` for each live record.
  template <typename Visitor>
  void ForEach(TimePoint now, Visitor visit) const {
    for (const Set& set : m_sets) {
      for (const Entry& entry : set.entries) {
        if (!IsLive(entry, now)) {
          continue;
        }
        visit(ToRecord(entry));
      }
    }
  }

  // Clears expired records in the next `sets` sets. Call it regularly: places
  // keep 16 bits of their deadline, which would come round after 72 hours.
  void Sweep(size_t sets, TimePoint now);

  // Counts live records; takes time in proportion to the table.
  size_t CountLive(TimePoint now) const;
  size_t memory_bytes() const { return m_sets.size() * sizeof(Set); }
  size_t capacity() const { return m_capacity; }

 private:
  struct Entry {
    uint64_t hash = 0;
    UpstreamId upstream = kNoUpstream;
    // Ticks of 4 seconds since the epoch, modulo 2^16.
    uint16_t deadline_ticks = 0;
    uint8_t backup_tag = 0;
    FlowPhase phase = FlowPhase::kOpening;
  };
  static_assert(sizeof(Entry) == 16);
  static constexpr size_t kWays = 4;
  struct alignas(64) Set {
    std::array<Entry, kWays> entries;
  };

  static bool IsLive(const Entry& entry, TimePoint now);
  static FlowRecord ToRecord(const Entry& entry);
  // The two sets of a hash, each from half of its bits.
  size_t FirstSet(uint64_t hash) const {
    return (hash & 0xffffffff) * m_sets.size() >> 32;
  }
  size_t SecondSet(uint64_t hash) const {
    return (hash >> 32) * m_sets.size() >> 32;
  }
  const Entry* FindEntry(uint64_t hash) const;
  Entry* FindEntry(uint64_t hash);
  Entry* FindFree(Set& set, TimePoint now, size_t* free_count);

  std::vector<Set, HugePageAllocator<Set>> m_sets;
  size_t m_capacity = 0;
  size_t m_sweep_cursor = 0;
};

}  // namespace poplarsail::steering

#endif  // STEERING_FLOW_TABLE_H_
