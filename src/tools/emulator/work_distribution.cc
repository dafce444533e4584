#include "emulator/work_distribution.h"

#include <cmath>

namespace poplarsail::emulator {

SteadyTime::duration DrawWork(const WorkDistribution& distribution,
                              milliseconds mean,
                              std::mt19937_64* random) {
  double factor = 1;
  const bool is_tail =
      distribution.tail_share > 0 &&
      std::generate_canonical<double, 53>(*random) < distribution.tail_share;
  if (is_tail) {
    factor = distribution.tail_factor;
  } else if (distribution.spread > 0) {
    // The other requests cost less, so that the mean is kept.
    const double body_mean =
        (1 - distribution.tail_share * distribution.tail_factor) /
        (1 - distribution.tail_share);
    const double spread = distribution.spread;
    factor = std::lognormal_distribution<double>(
        std::log(body_mean) - spread * spread / 2, spread)(*random);
  }
  return std::chrono::duration_cast<SteadyTime::duration>(mean * factor);
}

}  // namespace poplarsail::emulator
