// The control plane of a daemon: the effective configuration, the assignment of
// planners to services, and the members. The library does no I/O of its own:
// events and lists of the object store are passed in.
#ifndef CONTROL_CONTROL_H_
#define CONTROL_CONTROL_H_

#include "control/config_state.h"
#include "control/planner_assignment.h"

#endif  // CONTROL_CONTROL_H_
