#ifndef EMULATOR_WORK_DISTRIBUTION_H_
#define EMULATOR_WORK_DISTRIBUTION_H_

#include <random>

#include "emulator/event_queue.h"

namespace poplarsail::emulator {

// How the work of single requests varies around its mean: log-normally, with a
// share of expensive ones. The default is constant work.
struct WorkDistribution {
  // Standard deviation of the logarithm of the work.
  double spread = 0;
  // The fraction `tail_share` of the requests costs `tail_factor` times the
  // mean.
  double tail_share = 0;
  double tail_factor = 1;

  friend bool operator==(const WorkDistribution&,
                         const WorkDistribution&) = default;
};

// Returns the work of one request. Takes no random numbers if the work is
// constant.
SteadyTime::duration DrawWork(const WorkDistribution& distribution,
                              milliseconds mean,
                              std::mt19937_64* random);

}  // namespace poplarsail::emulator

#endif  // EMULATOR_WORK_DISTRIBUTION_H_
