#ifndef ENTRY_LOCAL_SCHEDULER_STATE_H_
#define ENTRY_LOCAL_SCHEDULER_STATE_H_

#include "entry/local_schedulers.h"

namespace poplarsail::entry {

// A scheduler sends messages of its own accord for this long after a request.
inline constexpr scheduling::milliseconds kActivePeriod{5'000};
inline constexpr scheduling::milliseconds kLogInterval{1'000};
// Requests are held for at most 1.3 s.
inline constexpr scheduling::milliseconds kMaxWait{1'400};

struct ForwardedRequest {
  scheduling::RequestKey key;
  scheduling::SteadyTime expiry;
};

inline scheduling::SteadyTime ExpiryOf(const ForwardedRequest& forward) {
  return forward.expiry;
}
inline scheduling::SteadyTime ExpiryOf(scheduling::SteadyTime expiry) {
  return expiry;
}

struct LocalSchedulers::Running {
  Running(const std::string& service_name,
          const std::string& failure_domain,
          uint64_t seed)
      : service(service_name), scheduler(service_name, failure_domain, seed) {}

  // Whether an answer may become due at any time.
  bool HasPending() const { return !forwards.empty() || !waiting.empty(); }
  // Hosts whose requests wait and that may soon take this scheduler for dead.
  std::vector<model::Ipv4Endpoint> SilentlyWaitingHosts(
      scheduling::SteadyTime now) const;
  void LogRefusals(scheduling::SteadyTime now);

  std::string service;
  scheduling::ServiceScheduler scheduler;
  scheduling::SteadyTime last_request;
  scheduling::SteadyTime last_own_request;
  scheduling::SteadyTime last_tick;
  // When the scheduler last brought its predictions up to date.
  scheduling::SteadyTime last_refresh;
  scheduling::SteadyTime next_announcement;
  scheduling::SteadyTime next_learned;
  scheduling::SteadyTime next_log;
  // When each host that has asked was last sent a message.
  std::map<model::Ipv4Endpoint, scheduling::SteadyTime> last_sent;
  // Requests whose hosts were told that they wait, until then at most.
  std::map<scheduling::RequestKey, scheduling::SteadyTime> waiting;
  // By the scheduler that has to answer, and token.
  std::map<std::pair<model::Ipv4Endpoint, uint32_t>, ForwardedRequest> forwards;
  scheduling::SchedulerFigures logged_figures;
};

}  // namespace poplarsail::entry

#endif  // ENTRY_LOCAL_SCHEDULER_STATE_H_
