#ifndef SCHEDULING_RECENT_ANSWERS_H_
#define SCHEDULING_RECENT_ANSWERS_H_

#include <optional>
#include <unordered_map>

#include "scheduling/pool_state.h"
#include "scheduling/service_scheduler.h"

namespace poplarsail::scheduling {

// Final answers of the last second, for duplicates of their requests and for
// snapshots that were sent before a flow's completion but arrive after it.
class RecentAnswers {
 public:
  void Record(const SchedulerAction& answer, SteadyTime now);
  std::optional<SchedulerAction> Find(const RequestKey& key) const;
  // Whether the flow has ended at this upstream; remembers this for another
  // second.
  bool IsEnded(const RequestKey& key, uint64_t upstream_id, SteadyTime now);
  void Forget(const RequestKey& key) { m_entries.erase(key); }
  void Purge(SteadyTime now);

 private:
  struct Entry {
    SchedulerAction answer;
    SteadyTime valid_until;
  };

  std::unordered_map<RequestKey, Entry, RequestKeyHash> m_entries;
};

}  // namespace poplarsail::scheduling

#endif  // SCHEDULING_RECENT_ANSWERS_H_
