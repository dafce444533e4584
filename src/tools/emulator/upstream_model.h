#ifndef EMULATOR_UPSTREAM_MODEL_H_
#define EMULATOR_UPSTREAM_MODEL_H_

#include <deque>
#include <functional>
#include <map>
#include <string>

#include "emulator/event_queue.h"

namespace poplarsail::emulator {

// Requests that an upstream processes concurrently, and that it queues.
inline constexpr size_t kMaxConcurrentRequests = 2;
inline constexpr size_t kMaxQueuedRequests = 8;

// An upstream that processes a limited number of requests concurrently, queues
// a few more and rejects the rest. It may be slow, cold or draining.
class UpstreamModel {
 public:
  // Called with whether the request was processed or, else, rejected.
  using Done = std::function<void(bool was_processed)>;

  // A cold upstream is slower by `cold_factor`.
  UpstreamModel(EventQueue* events,
                cluster_state::UpstreamRecord record,
                double speed = 1,
                double cold_factor = 1)
      : m_events(events),
        m_record(std::move(record)),
        m_speed(speed),
        m_cold_factor(cold_factor) {}

  const cluster_state::UpstreamRecord& record() const { return m_record; }
  bool is_alive() const { return m_is_alive; }
  uint64_t completed_requests() const { return m_completed_requests; }
  double speed() const { return m_speed; }
  // Time that a slot needs now for one unit of work.
  double TimePerWork() const;
  // Work of all completed requests.
  SteadyTime::duration completed_work() const { return m_completed_work; }

  // Stops without notice. Requests that are being processed are lost.
  void Crash();
  // Restarts under the same id, without any flows or requests.
  void Restart() {
    m_is_alive = true;
    m_active_requests = 0;
    ++m_incarnation;
  }
  // Closes each flow after its next response.
  void Drain() { m_is_draining = true; }
  bool is_draining() const { return m_is_draining; }
  void set_slow_factor(double factor) { m_slow_factor = factor; }
  // Whether requests are answered with errors instead of being processed.
  bool returns_errors() const { return m_returns_errors; }
  void set_returns_errors(bool returns_errors) {
    m_returns_errors = returns_errors;
  }

  void OpenFlow(const flows::FlowKey& key) { m_flows.try_emplace(key, 0); }
  bool HasFlow(const flows::FlowKey& key) const {
    return m_flows.contains(key);
  }
  // Returns whether the data is new to the flow and not a retransmission, so
  // that it starts a request.
  bool AcceptData(const flows::FlowKey& key, uint32_t sequence);
  void CloseFlow(const flows::FlowKey& key) { m_flows.erase(key); }

  void Submit(SteadyTime::duration work, Done done);

 private:
  struct Request {
    SteadyTime::duration work;
    Done done;
  };
  void Process(Request request);

  EventQueue* m_events;
  cluster_state::UpstreamRecord m_record;
  double m_speed = 1;
  double m_cold_factor = 1;
  bool m_is_alive = true;
  bool m_is_draining = false;
  bool m_returns_errors = false;
  double m_slow_factor = 1;
  size_t m_active_requests = 0;
  // Incremented by restarts, to discard requests of earlier incarnations.
  uint64_t m_incarnation = 0;
  uint64_t m_completed_requests = 0;
  SteadyTime::duration m_completed_work{0};
  std::deque<Request> m_queue;
  // The last sequence number of each open flow.
  std::map<flows::FlowKey, uint32_t> m_flows;
};

}  // namespace poplarsail::emulator

#endif  // EMULATOR_UPSTREAM_MODEL_H_
