#ifndef EMULATOR_ORACLE_H_
#define EMULATOR_ORACLE_H_

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "emulator/upstream_model.h"

namespace poplarsail::emulator {

// An upstream as it is, without the delay of observations.
struct OracleUpstream {
  uint64_t id = 0;
  size_t failure_domain = 0;
  double time_per_work = 1;
  bool is_usable = false;
};

// Places flows like an ideal scheduler: it knows the work of each request and
// the state of all upstreams without delay. The highest priority is served
// first, each request where it completes earliest, and a request that can't
// meet its latency target is refused.
class Oracle {
 public:
  // Called with the upstream, or with nullopt if the request is refused.
  using Decide = std::function<void(std::optional<uint64_t>)>;
  using Duration = SteadyTime::duration;

  struct Request {
    // Of the host that asks.
    size_t failure_domain = 0;
    uint32_t priority = 0;
    Duration work{0};
    SteadyTime deadline;
    Decide decide;
  };

  // One-way delays.
  struct Delays {
    Duration local{0};
    Duration between_domains{0};
    Duration client{0};
  };

  Oracle(EventQueue* events,
         std::function<std::vector<OracleUpstream>()> upstreams,
         const Delays& delays)
      : m_events(events), m_upstreams(std::move(upstreams)), m_delays(delays) {}

  void Submit(Request request);

 private:
  using Slots = std::array<SteadyTime, kMaxConcurrentRequests>;
  using Queue = std::map<std::pair<uint32_t, uint64_t>, Request>;
  struct Candidate {
    uint64_t id = 0;
    double time_per_work = 1;
    size_t failure_domain = 0;
    // When each slot is free, the earliest one first.
    Slots free_at;
  };
  struct Choice {
    Candidate* candidate = nullptr;
    SteadyTime start;
    SteadyTime end;
    SteadyTime response;
  };

  std::vector<Candidate> UsableUpstreams() const;
  Duration DelayTo(const Request& request, const Candidate& candidate) const;
  // Time from the decision until the request reaches the upstream.
  Duration LeadTime(Duration delay) const {
    return 3 * delay + 2 * m_delays.client;
  }
  Choice EarliestCompletion(const Request& request,
                            std::vector<Candidate>* candidates) const;
  // Decides on the waiting requests for which a slot is free, or free when
  // their data arrives.
  void Grant();
  void RefuseHopeless();
  void ScheduleRefusals();
  void ScheduleGrant(const std::vector<Candidate>& candidates);
  Queue::iterator Decided(Queue::iterator item, std::optional<uint64_t> id);

  EventQueue* m_events;
  std::function<std::vector<OracleUpstream>()> m_upstreams;
  Delays m_delays;
  Queue m_queue;
  uint64_t m_next_number = 0;
  std::map<uint64_t, Slots> m_slots;
  SteadyTime m_next_grant;
  bool m_are_refusals_scheduled = false;
};

}  // namespace poplarsail::emulator

#endif  // EMULATOR_ORACLE_H_
