#ifndef EMULATOR_PERCENTILE_H_
#define EMULATOR_PERCENTILE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace poplarsail::emulator {

// Returns the value of that rank among the values in ascending order, or 0 if
// there are none.
inline double Percentile(std::vector<double> values, size_t percent) {
  if (values.empty()) {
    return 0;
  }
  const size_t rank = (values.size() - 1) * percent / 100;
  std::nth_element(values.begin(), values.begin() + static_cast<int64_t>(rank),
                   values.end());
  return values[rank];
}

}  // namespace poplarsail::emulator

#endif  // EMULATOR_PERCENTILE_H_
