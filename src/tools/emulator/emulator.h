// Plays a fleet of entry hosts, upstreams and callers in virtual time, with the
// steering that the daemon uses.
#ifndef EMULATOR_EMULATOR_H_
#define EMULATOR_EMULATOR_H_

#include <string>
#include <vector>

#include "emulator/plot.h"
#include "emulator/run.h"
#include "emulator/scenario.h"
#include "emulator/ways.h"

#endif  // EMULATOR_EMULATOR_H_
