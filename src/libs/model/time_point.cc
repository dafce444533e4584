#include "model/time_point.h"

namespace poplarsail::model {

TimePoint Now() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

}  // namespace poplarsail::model
