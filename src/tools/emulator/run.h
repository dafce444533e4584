#ifndef EMULATOR_RUN_H_
#define EMULATOR_RUN_H_

#include <cstdint>

#include "emulator/host_model.h"
#include "emulator/recorder.h"
#include "emulator/scenario.h"

namespace poplarsail::emulator {

// Simulates the scenario. Runs with the same seed return the same report.
Report Run(const Scenario& scenario,
           const PlacementFactory& placement,
           uint64_t seed,
           SchedulingMode mode = SchedulingMode::kNone);

}  // namespace poplarsail::emulator

#endif  // EMULATOR_RUN_H_
