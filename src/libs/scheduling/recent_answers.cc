#include "scheduling/recent_answers.h"

namespace poplarsail::scheduling {
namespace {

// Longer than the interval of snapshots.
constexpr milliseconds kRetention(1'000);

}  // namespace

void RecentAnswers::Record(const SchedulerAction& answer, SteadyTime now) {
  m_entries.insert_or_assign(answer.request, Entry{answer, now + kRetention});
}

std::optional<SchedulerAction> RecentAnswers::Find(
    const RequestKey& key) const {
  const auto entry = m_entries.find(key);
  if (entry == m_entries.end()) {
    return std::nullopt;
  }
  return entry->second.answer;
}

bool RecentAnswers::IsEnded(const RequestKey& key,
                            uint64_t upstream_id,
                            SteadyTime now) {
  const auto entry = m_entries.find(key);
  if (entry == m_entries.end() ||
      entry->second.answer.kind != SchedulerActionKind::kGrant ||
      entry->second.answer.upstream_id != upstream_id) {
    return false;
  }
  entry->second.valid_until = now + kRetention;
  return true;
}

void RecentAnswers::Purge(SteadyTime now) {
  std::erase_if(m_entries, [now](const auto& entry) {
    return entry.second.valid_until <= now;
  });
}

}  // namespace poplarsail::scheduling
