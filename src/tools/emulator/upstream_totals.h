#ifndef EMULATOR_UPSTREAM_TOTALS_H_
#define EMULATOR_UPSTREAM_TOTALS_H_

#include <chrono>
#include <cstdint>
#include <map>

namespace poplarsail::emulator {

// What the upstreams of a service have done so far.
struct UpstreamTotals {
  uint64_t arrivals = 0;
  uint64_t sheds = 0;
  // Completed work by the speed of the live upstreams.
  std::map<uint64_t, std::chrono::duration<double>> busy_time;
  // Work per time of the live upstreams.
  double capacity = 0;
};

}  // namespace poplarsail::emulator

#endif  // EMULATOR_UPSTREAM_TOTALS_H_
