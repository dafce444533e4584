#ifndef MODEL_TIME_POINT_H_
#define MODEL_TIME_POINT_H_

#include <chrono>
#include <cstdint>

namespace poplarsail::model {

// Wall-clock time in milliseconds since the Unix epoch. Deadlines that several
// hosts share are of this type; hosts are assumed to keep their clocks within
// a few hundred milliseconds of each other.
using TimePoint = std::chrono::sys_time<std::chrono::milliseconds>;
using Duration = std::chrono::milliseconds;

// Reads the system clock. Only duties call this; pure libraries are given time.
TimePoint Now();

constexpr TimePoint FromUnixMillis(int64_t millis) {
  return TimePoint(std::chrono::milliseconds(millis));
}

constexpr int64_t ToUnixMillis(TimePoint time) {
  return time.time_since_epoch().count();
}

}  // namespace poplarsail::model

#endif  // MODEL_TIME_POINT_H_
