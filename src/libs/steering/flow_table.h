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

// Identifies an upstream within its service. Ids are never reused while the
// service exists; 0 stands for no upstream.
using UpstreamId = uint32_t;
inline constexpr UpstreamId kNoUpstream = 0;

// State of a flow, derived from the packets of its client.
enum class FlowPhase : uint8_t {
  // Only the first packet was seen.
  kOpening,
  kOpen,
  // The client closed the flow (TCP with FIN or RST).
  kClosing,
  // The protocol marks neither the start nor the end of a flow (UDP).
  kConnectionless,
};

// Returns how long a record is kept after a packet of a flow in this phase.
std::chrono::milliseconds LifetimeOf(FlowPhase phase);

struct FlowRecord {
  uint64_t hash = 0;
  UpstreamId upstream = kNoUpstream;
  FlowPhase phase = FlowPhase::kOpening;
  // Low bits of the tag of the entry host that holds the other copy.
  uint8_t backup_tag = 0;

  friend bool operator==(const FlowRecord&, const FlowRecord&) = default;
};

// Result of a lookup: the record and the time at which it expires.
struct FoundRecord {
  FlowRecord record;
  // Rounded up to 4 seconds.
  TimePoint deadline;

  friend bool operator==(const FoundRecord&, const FoundRecord&) = default;
};

enum class InsertResult : uint8_t { kInserted, kReplaced, kFull };

// A hash table of flow records with a fixed capacity. It is set-associative: a
// set fills one cache line, and a record may be stored in either of two sets.
// An entry takes 16 bytes. Expired records are ignored by lookups and cleared
// lazily, so there are no pauses.
class FlowTable {
 public:
  // Allocates enough sets for `capacity` records at a load factor at which it
  // is rare that both sets of a record are full.
  explicit FlowTable(size_t capacity);

  // Returns the record of `hash`, or nothing if there is none or it has
  // expired.
  std::optional<FoundRecord> Find(uint64_t hash, TimePoint now) const;

  // Inserts or replaces the record of `record.hash`. Returns kFull if both of
  // its sets are full: a live record is never evicted for another one.
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

  // Clears expired records in the next `sets` sets. Has to be called regularly:
  // entries store 16 bits of their deadline, which wrap around after 72 hours.
  void EraseExpired(size_t sets, TimePoint now);

  // Counts live records. Takes time linear in the size of the table.
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
  // Each of the two sets is chosen by one half of the hash's bits.
  size_t FirstSet(uint64_t hash) const {
    return (hash & 0xffffffff) * m_sets.size() >> 32;
  }
  size_t SecondSet(uint64_t hash) const {
    return (hash >> 32) * m_sets.size() >> 32;
  }
  const Entry* FindEntry(uint64_t hash) const;
  Entry* FindEntry(uint64_t hash);
  Entry* FindFreeEntry(Set& set, TimePoint now, size_t* free_count);

  std::vector<Set, HugePageAllocator<Set>> m_sets;
  size_t m_capacity = 0;
  size_t m_expiry_cursor = 0;
};

}  // namespace poplarsail::steering

#endif  // STEERING_FLOW_TABLE_H_
