#ifndef EMULATOR_EVENT_QUEUE_H_
#define EMULATOR_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "flows/flows.h"

namespace poplarsail::emulator {

using flows::milliseconds;
using flows::SteadyTime;

// Virtual time begins here: later than any "never" of the libraries.
inline constexpr SteadyTime kStartOfTime{std::chrono::seconds(1'000)};

// Runs actions in the order of their virtual times; equal times in the order in
// which they were added.
class EventQueue {
 public:
  using Action = std::function<void()>;

  SteadyTime now() const { return m_now; }

  void At(SteadyTime time, Action action) {
    m_events.push({std::max(time, m_now), m_next_number++, std::move(action)});
  }
  void After(SteadyTime::duration delay, Action action) {
    At(m_now + delay, std::move(action));
  }

  // Runs what is due until `end`.
  void RunUntil(SteadyTime end) {
    while (!m_events.empty() && m_events.top().time <= end) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.time;
      event.action();
    }
    m_now = end;
  }

 private:
  struct Event {
    SteadyTime time;
    uint64_t number;
    Action action;

    bool operator<(const Event& other) const {
      return std::pair(time, number) > std::pair(other.time, other.number);
    }
  };

  SteadyTime m_now = kStartOfTime;
  uint64_t m_next_number = 0;
  std::priority_queue<Event> m_events;
};

}  // namespace poplarsail::emulator

#endif  // EMULATOR_EVENT_QUEUE_H_
