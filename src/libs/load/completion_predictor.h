#ifndef LOAD_COMPLETION_PREDICTOR_H_
#define LOAD_COMPLETION_PREDICTOR_H_

#include <cstdint>
#include <vector>

namespace poplarsail::load {

// What an upstream has to do.
struct UpstreamLoad {
  uint32_t slots = 1;
  double speed = 1;
  // Time until each outstanding request is expected to complete, if it had a
  // slot from its start; in the order in which the requests were placed.
  std::vector<double> remaining_ms;
};

// Returns the time until a new request of `work_ms` completes: it waits for a
// free slot behind the outstanding ones. Does not allocate.
double PredictCompletionMs(const UpstreamLoad& load, double work_ms);

}  // namespace poplarsail::load

#endif  // LOAD_COMPLETION_PREDICTOR_H_
