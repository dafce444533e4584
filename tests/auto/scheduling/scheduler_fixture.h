#ifndef TESTS_SCHEDULING_SCHEDULER_FIXTURE_H_
#define TESTS_SCHEDULING_SCHEDULER_FIXTURE_H_

#include <algorithm>
#include <map>
#include <set>
#include <vector>

#include "scheduling/service_scheduler.h"

namespace poplarsail::scheduling {

inline const Ipv4Endpoint kHost{1, 5000};
inline const Ipv4Endpoint kOtherHost{2, 5000};
inline const Ipv4Endpoint kOtherScheduler{3, 5000};
inline const Ipv4Endpoint kFirst{9, 81};
inline const Ipv4Endpoint kSecond{9, 82};
inline const Ipv4Endpoint kShort{9, 83};

inline SteadyTime At(int64_t ms) {
  return SteadyTime() + std::chrono::hours(1) + milliseconds(ms);
}

inline Pool MakePool(uint64_t upstream_count) {
  Pool pool{"s", "a", {}, {}, 0};
  pool.listeners = {{kFirst, 1, milliseconds(800), milliseconds(3'000)},
                    {kSecond, 2, milliseconds(800), milliseconds(3'000)},
                    {kShort, 1, milliseconds(10), milliseconds(0)}};
  for (uint64_t id = 1; id <= upstream_count; ++id)
    pool.upstreams.push_back({id, 2, At(-1'000), 1, true});
  return pool;
}

// A scheduler with a pool, and the actions of the last call.
struct Fixture {
  explicit Fixture(uint64_t upstream_count) : pool(MakePool(upstream_count)) {
    scheduler.UpdatePool(pool, At(0));
    LearnedMessage learned;
    learned.work = {{kFirst, 40, 40, 60, 1'000}, {kSecond, 40, 40, 60, 1'000}};
    scheduler.ImportLearned(learned, At(0));
  }

  SchedulerActions Submit(uint32_t token,
                          int64_t ms,
                          const Ipv4Endpoint& listener = kFirst,
                          std::vector<uint64_t> excluded = {}) {
    PlacementRequest request{{kHost, token}, listener, 7, At(ms), excluded};
    return scheduler.Submit(request, At(ms));
  }

  // Returns the upstream granted at once, or 0.
  uint64_t Granted(uint32_t token,
                   int64_t ms,
                   const Ipv4Endpoint& listener = kFirst,
                   std::vector<uint64_t> excluded = {}) {
    const auto actions = Submit(token, ms, listener, excluded);
    const uint64_t granted =
        actions.size() == 1 && actions[0].kind == SchedulerActionKind::kGrant
            ? actions[0].upstream_id
            : 0;
    upstreams_by_token[token] = granted;
    return granted;
  }

  SchedulerActions Complete(uint32_t token,
                            int64_t ms,
                            Outcome outcome = Outcome::kResponded) {
    const auto granted = upstreams_by_token.find(token);
    const bool is_known =
        granted != upstreams_by_token.end() && granted->second != 0;
    return scheduler.Complete(
        kHost,
        {{token, is_known ? granted->second : 1, outcome, milliseconds(50)}},
        At(ms));
  }

  // Announces free places of another domain.
  void Announce(uint32_t free_places, int64_t ms) {
    Announcement announcement;
    announcement.service = "s";
    announcement.failure_domain = "b";
    announcement.scheduler = kOtherScheduler;
    announcement.free_places = free_places;
    announcement.mean_work = milliseconds(20);
    scheduler.RecordAnnouncement(announcement, At(ms));
  }

  Pool pool;
  std::map<uint32_t, uint64_t> upstreams_by_token;
  ServiceScheduler scheduler{"s", "a", 1};
};

inline bool Has(const SchedulerActions& actions,
                SchedulerActionKind kind,
                uint32_t token) {
  return std::ranges::any_of(actions, [&](const SchedulerAction& action) {
    return action.kind == kind && action.request.token == token;
  });
}

using enum SchedulerActionKind;

}  // namespace poplarsail::scheduling

#endif  // TESTS_SCHEDULING_SCHEDULER_FIXTURE_H_
