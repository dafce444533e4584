#ifndef EMULATOR_WAYS_H_
#define EMULATOR_WAYS_H_

#include <string>
#include <vector>

#include "emulator/host_model.h"

namespace poplarsail::emulator {

// A way to place new flows.
struct Way {
  std::string name;
  PlacementFactory placement;
};

// The daemon's placement and those that it was weighed against.
std::vector<Way> AllWays();

}  // namespace poplarsail::emulator

#endif  // EMULATOR_WAYS_H_
