#include "steering/flow_table.h"

#include <utility>

#include "steering/steering_constants.h"

namespace poplarsail::steering {

namespace {

constexpr int64_t kTickMillis = 4'000;
// At this load factor it is still rare that both sets of a record are full.
constexpr size_t kMaxLoadPercent = 60;

// Rounds up, so that no record expires before its deadline.
uint16_t ToTicks(TimePoint time) {
  const int64_t millis = model::ToUnixMillis(time);
  return static_cast<uint16_t>((millis + kTickMillis - 1) / kTickMillis);
}

}  // namespace

std::chrono::milliseconds LifetimeOf(FlowPhase phase) {
  switch (phase) {
    case FlowPhase::kOpening:
      return kHalfOpenTimeout;
    case FlowPhase::kOpen:
      return kIdleTimeout;
    case FlowPhase::kClosing:
      return kClosingTimeout;
    case FlowPhase::kConnectionless:
      return kConnectionlessTimeout;
  }
  return kIdleTimeout;
}

FlowTable::FlowTable(size_t capacity) : m_capacity(capacity) {
  const size_t entry_count = capacity * 100 / kMaxLoadPercent + kWays;
  m_sets.resize(entry_count / kWays);
}

bool FlowTable::IsLive(const Entry& entry, TimePoint now) {
  if (entry.upstream == kNoUpstream) {
    return false;
  }
  const auto remaining_ticks =
      static_cast<int16_t>(entry.deadline_ticks - ToTicks(now));
  return remaining_ticks >= 0;
}

FlowRecord FlowTable::ToRecord(const Entry& entry) {
  return {entry.hash, entry.upstream, entry.phase, entry.backup_tag};
}

const FlowTable::Entry* FlowTable::FindEntry(uint64_t hash) const {
  const std::array<const Set*, 2> sets = {&m_sets[FirstSet(hash)],
                                          &m_sets[SecondSet(hash)]};
  // Neither set is likely to be cached: prefetches the second one while the
  // first one is read.
  __builtin_prefetch(sets[1]);
  for (const Set* set : sets) {
    for (const Entry& entry : set->entries) {
      if (entry.hash == hash && entry.upstream != kNoUpstream) {
        return &entry;
      }
    }
  }
  return nullptr;
}

FlowTable::Entry* FlowTable::FindEntry(uint64_t hash) {
  return const_cast<Entry*>(std::as_const(*this).FindEntry(hash));
}

std::optional<FoundRecord> FlowTable::Find(uint64_t hash, TimePoint now) const {
  const Entry* entry = FindEntry(hash);
  if (entry == nullptr || !IsLive(*entry, now)) {
    return std::nullopt;
  }
  const auto remaining_ticks =
      static_cast<int16_t>(entry->deadline_ticks - ToTicks(now));
  return FoundRecord{
      ToRecord(*entry),
      now + std::chrono::milliseconds(remaining_ticks * kTickMillis)};
}

FlowTable::Entry* FlowTable::FindFreeEntry(Set& set,
                                           TimePoint now,
                                           size_t* free_count) {
  Entry* free_entry = nullptr;
  for (Entry& entry : set.entries) {
    if (IsLive(entry, now)) {
      continue;
    }
    free_entry = &entry;
    ++*free_count;
  }
  return free_entry;
}

InsertResult FlowTable::Insert(const FlowRecord& record,
                               TimePoint deadline,
                               TimePoint now) {
  const Entry value{record.hash, record.upstream, ToTicks(deadline),
                    record.backup_tag, record.phase};
  if (Entry* existing = FindEntry(record.hash)) {
    *existing = value;
    return InsertResult::kReplaced;
  }
  size_t first_free = 0;
  size_t second_free = 0;
  Entry* first = FindFreeEntry(m_sets[FirstSet(record.hash)], now, &first_free);
  Entry* second =
      FindFreeEntry(m_sets[SecondSet(record.hash)], now, &second_free);
  Entry* target = first_free >= second_free ? first : second;
  if (target == nullptr) {
    return InsertResult::kFull;
  }
  *target = value;
  return InsertResult::kInserted;
}

void FlowTable::Erase(uint64_t hash) {
  if (Entry* entry = FindEntry(hash)) {
    *entry = Entry{};
  }
}

void FlowTable::EraseExpired(size_t sets, TimePoint now) {
  for (size_t i = 0; i < sets; ++i) {
    m_expiry_cursor = (m_expiry_cursor + 1) % m_sets.size();
    for (Entry& entry : m_sets[m_expiry_cursor].entries) {
      if (!IsLive(entry, now)) {
        entry = Entry{};
      }
    }
  }
}

size_t FlowTable::CountLive(TimePoint now) const {
  size_t count = 0;
  ForEach(now, [&count](const FlowRecord&) { ++count; });
  return count;
}

}  // namespace poplarsail::steering
