#ifndef SCHEDULER_REPLAY_H_
#define SCHEDULER_REPLAY_H_

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <vector>

#include "scheduling/service_scheduler.h"

namespace poplarsail::scheduling {

using std::chrono::microseconds;

inline SteadyTime AtMs(double ms) {
  return SteadyTime() + std::chrono::hours(1) + microseconds(int64_t(ms * 1e3));
}

// Requests of one listener from one address.
struct Caller {
  ListenerTerms terms;
  uint32_t client_address = 1;
  double per_second = 0;
  double mean_work_ms = 40;
  double from_ms = 0;
  double to_ms = 0;
};

struct ReplayRequest {
  size_t caller = 0;
  double submitted_ms = 0;
  double work_ms = 0;
  uint64_t upstream_id = 0;
  // Latency as the client sees it; negative if there was no response.
  double latency_ms = -1;
  double refused_after_ms = -1;
  bool is_shed = false;
};

// Upstreams with 2 slots, a queue of 8 and sheds beyond, in virtual time.
class Replay {
 public:
  // Work has a tail of 7 times the mean at 3 %, or else is exponential.
  explicit Replay(size_t upstream_count,
                  bool has_tail = true,
                  uint64_t seed = 11)
      : m_scheduler("s", "a", seed),
        m_upstreams(upstream_count),
        m_has_tail(has_tail),
        m_random(seed) {
    pool.service = "s";
    pool.failure_domain = "a";
    for (size_t i = 0; i < upstream_count; ++i)
      pool.upstreams.push_back({i + 1, 2, AtMs(0), 1, true});
  }

  Pool pool;
  std::vector<ReplayRequest> requests;

  ServiceScheduler& scheduler() { return m_scheduler; }
  void SetSpeed(uint64_t id, double speed) {
    m_upstreams[id - 1].speed = speed;
  }
  void SetSilent(uint64_t id, bool is_silent) {
    m_upstreams[id - 1].is_silent = is_silent;
  }

  void At(double ms, std::function<void()> event) {
    m_events.emplace(ms, std::move(event));
  }

  void Run(const std::vector<Caller>& callers, double until_ms) {
    m_callers = callers;
    for (const Caller& caller : callers) {
      if (std::ranges::find(pool.listeners, caller.terms) ==
          pool.listeners.end())
        pool.listeners.push_back(caller.terms);
    }
    m_scheduler.UpdatePool(pool, AtMs(0));
    for (size_t i = 0; i < callers.size(); ++i)
      At(callers[i].from_ms, [this, i] { Arrive(i); });
    At(10, [this] { Tick(); });
    while (!m_events.empty() && m_events.begin()->first < until_ms) {
      auto node = m_events.extract(m_events.begin());
      m_now = node.key();
      node.mapped()();
    }
  }

  void UpdatePool() { Apply(m_scheduler.UpdatePool(pool, AtMs(m_now))); }
  double now() const { return m_now; }

 private:
  struct Upstream {
    double speed = 1;
    bool is_silent = false;
    int busy = 0;
    std::deque<uint32_t> waiting;
  };

  double Exponential(double mean) {
    return std::exponential_distribution<>(1 / mean)(m_random);
  }

  double Work(double mean) {
    if (!m_has_tail)
      return Exponential(mean);
    if (m_random() % 100 < 3)
      return 7 * mean;
    return mean * (1 - 0.21) / 0.97 *
           std::uniform_real_distribution<>(0.5, 1.5)(m_random);
  }

  static Ipv4Endpoint HostOf(uint32_t token) { return {token % 5 + 1, 5000}; }

  void Arrive(size_t index) {
    const Caller& caller = m_callers[index];
    if (m_now < caller.to_ms)
      At(m_now + Exponential(1'000 / caller.per_second),
         [this, index] { Arrive(index); });
    const uint32_t token = requests.size();
    requests.push_back({index, m_now, Work(caller.mean_work_ms)});
    PlacementRequest request;
    request.key = {HostOf(token), token};
    request.listener = caller.terms.listener;
    request.client_address = caller.client_address;
    request.first_syn = AtMs(m_now);
    Apply(m_scheduler.Submit(request, AtMs(m_now)));
  }

  void Tick() {
    At(m_now + 10, [this] { Tick(); });
    Apply(m_scheduler.Tick(AtMs(m_now)));
  }

  void Apply(const SchedulerActions& actions) {
    for (const SchedulerAction& action : actions) {
      const uint32_t token = action.request.token;
      ReplayRequest& request = requests[token];
      if (action.kind == SchedulerActionKind::kRefuse)
        request.refused_after_ms = m_now - request.submitted_ms;
      if (action.kind != SchedulerActionKind::kGrant)
        continue;
      request.upstream_id = action.upstream_id;
      At(m_now + 0.5, [this, token] { Reach(token); });
    }
  }

  void Reach(uint32_t token) {
    ReplayRequest& request = requests[token];
    Upstream& upstream = m_upstreams[request.upstream_id - 1];
    if (upstream.is_silent) {
      At(m_now + 200, [this, token] { Finish(token, Outcome::kFailed, 0); });
      return;
    }
    if (upstream.busy < 2) {
      Start(token, m_now);
    } else if (upstream.waiting.size() < 8) {
      upstream.waiting.push_back(token);
      m_reached[token] = m_now;
    } else {
      request.is_shed = true;
      Finish(token, Outcome::kResponded, 0.5);
    }
  }

  void Start(uint32_t token, double reached_ms) {
    Upstream& upstream = m_upstreams[requests[token].upstream_id - 1];
    ++upstream.busy;
    At(m_now + requests[token].work_ms / upstream.speed,
       [this, token, reached_ms] { Respond(token, reached_ms); });
  }

  void Respond(uint32_t token, double reached_ms) {
    ReplayRequest& request = requests[token];
    Upstream& upstream = m_upstreams[request.upstream_id - 1];
    request.latency_ms = m_now - request.submitted_ms;
    --upstream.busy;
    Finish(token, Outcome::kResponded, m_now - reached_ms);
    if (upstream.waiting.empty())
      return;
    const uint32_t next = upstream.waiting.front();
    upstream.waiting.pop_front();
    Start(next, m_reached[next]);
  }

  // The host delays completions by up to 5 ms.
  void Finish(uint32_t token, Outcome outcome, double response_ms) {
    At(m_now + 3, [this, token, outcome, response_ms] {
      const Completion completion{token, requests[token].upstream_id, outcome,
                                  microseconds(int64_t(response_ms * 1e3))};
      Apply(m_scheduler.Complete(HostOf(token), {completion}, AtMs(m_now)));
    });
  }

  ServiceScheduler m_scheduler;
  std::vector<Upstream> m_upstreams;
  bool m_has_tail;
  std::vector<Caller> m_callers;
  std::multimap<double, std::function<void()>> m_events;
  std::map<uint32_t, double> m_reached;
  double m_now = 0;
  std::mt19937_64 m_random;
};

}  // namespace poplarsail::scheduling

#endif  // SCHEDULER_REPLAY_H_
