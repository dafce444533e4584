// Discrete-event simulation of entry hosts, upstreams and clients. Entry hosts
// run the same steering code as the daemon.
#ifndef EMULATOR_EMULATOR_H_
#define EMULATOR_EMULATOR_H_

#include <string>
#include <vector>

#include "emulator/placement_policies.h"
#include "emulator/plot.h"
#include "emulator/run.h"
#include "emulator/scenario.h"
#include "emulator/work_distribution.h"

#endif  // EMULATOR_EMULATOR_H_
