#ifndef MODEL_TIME_POINT_H_
#define MODEL_TIME_POINT_H_

#include <chrono>
#include <cstdint>

namespace poplarsail::model {

// Wall-clock time in milliseconds since the Unix epoch. Used for deadlines that
// several hosts share, on the assumption that the clocks of the hosts differ by
// at most a few hundred milliseconds.
using TimePoint = std::chrono::sys_time<std::chrono::milliseconds>;
using Duration = std::chrono::milliseconds;

// Returns the time of the system clock. Libraries that do no I/O must not call
// this; they take the time as a parameter.
TimePoint Now();

constexpr TimePoint FromUnixMillis(int64_t millis) {
  return TimePoint(std::chrono::milliseconds(millis));
}

constexpr int64_t ToUnixMillis(TimePoint time) {
  return time.time_since_epoch().count();
}

}  // namespace poplarsail::model

#endif  // MODEL_TIME_POINT_H_
