#ifndef EMULATOR_UPSTREAM_MODEL_H_
#define EMULATOR_UPSTREAM_MODEL_H_

#include <deque>
#include <functional>
#include <map>
#include <string>

#include "emulator/event_queue.h"

namespace poplarsail::emulator {

// Requests that an upstream works on at once, and that wait for that.
inline constexpr size_t kSlots = 2;
inline constexpr size_t kQueueLength = 8;
// A cold upstream takes this many times longer.
inline constexpr double kColdFactor = 3.0;

// Works on requests: slots, a short queue, phases in which it is slow.
class UpstreamModel {
 public:
  // Called with whether the request was run, else it was turned away.
  using Done = std::function<void(bool has_run)>;

  UpstreamModel(EventQueue* events, cluster_state::UpstreamRecord record)
      : m_events(events), m_record(std::move(record)) {}

  const cluster_state::UpstreamRecord& record() const { return m_record; }
  bool is_alive() const { return m_is_alive; }
  // Requests that were run.
  uint64_t runs() const { return m_runs; }

  // Stops without a word; what it works on is lost.
  void Crash();
  // Is back, under the same id, with nothing of before.
  void Return() {
    m_is_alive = true;
    m_busy = 0;
    ++m_start;
  }
  // Closes each flow after its next answer.
  void Drain() { m_is_draining = true; }
  bool is_draining() const { return m_is_draining; }
  void set_slow_factor(double factor) { m_slow_factor = factor; }

  void OpenFlow(const flows::FlowKey& key) { m_flows.try_emplace(key, 0); }
  bool HasFlow(const flows::FlowKey& key) const {
    return m_flows.contains(key);
  }
  // Returns whether the data is new to the flow, so that it begins a request.
  bool TakeData(const flows::FlowKey& key, uint32_t sequence);
  void CloseFlow(const flows::FlowKey& key) { m_flows.erase(key); }

  void Submit(milliseconds work, Done done);

 private:
  struct Request {
    milliseconds work;
    Done done;
  };
  void Begin(Request request);

  EventQueue* m_events;
  cluster_state::UpstreamRecord m_record;
  bool m_is_alive = true;
  bool m_is_draining = false;
  double m_slow_factor = 1;
  size_t m_busy = 0;
  // Counts returns: work of before is lost.
  uint64_t m_start = 0;
  uint64_t m_runs = 0;
  std::deque<Request> m_waiting;
  // The last sequence of each open flow.
  std::map<flows::FlowKey, uint32_t> m_flows;
};

}  // namespace poplarsail::emulator

#endif  // EMULATOR_UPSTREAM_MODEL_H_
