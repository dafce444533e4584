#ifndef EMULATOR_EVENT_QUEUE_H_
#define EMULATOR_EVENT_QUEUE_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include "flows/flows.h"

namespace poplarsail::emulator {

using flows::milliseconds;
using flows::SteadyTime;

// Virtual time starts well after the clock's epoch, because the libraries use
// the epoch as the time of events that never happened.
inline constexpr SteadyTime kSimulationStart{std::chrono::seconds(1'000)};

// Runs actions in the order of their virtual times. Actions scheduled for the
// same time run in the order in which they were added.
class EventQueue {
 public:
  using Action = std::function<void()>;

  SteadyTime now() const { return m_now; }

  void ScheduleAt(SteadyTime time, Action action) {
    m_events.push_back(
        {std::max(time, m_now), m_next_sequence_number++, std::move(action)});
    std::push_heap(m_events.begin(), m_events.end());
  }
  void ScheduleAfter(SteadyTime::duration delay, Action action) {
    ScheduleAt(m_now + delay, std::move(action));
  }

  // Runs all actions that are due until `end`, inclusive.
  void RunUntil(SteadyTime end) {
    while (!m_events.empty() && m_events.front().time <= end) {
      std::pop_heap(m_events.begin(), m_events.end());
      const Event event = std::move(m_events.back());
      m_events.pop_back();
      m_now = event.time;
      event.action();
    }
    m_now = end;
  }

 private:
  struct Event {
    SteadyTime time;
    uint64_t sequence_number;
    Action action;

    bool operator<(const Event& other) const {
      return std::pair(time, sequence_number) >
             std::pair(other.time, other.sequence_number);
    }
  };

  SteadyTime m_now = kSimulationStart;
  uint64_t m_next_sequence_number = 0;
  // A heap. Unlike std::priority_queue, it lets actions be moved out.
  std::vector<Event> m_events;
};

}  // namespace poplarsail::emulator

#endif  // EMULATOR_EVENT_QUEUE_H_
