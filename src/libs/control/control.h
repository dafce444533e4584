// Decisions on configuration: what is in force, who plans, who are members.
// This library does no I/O of its own; the object store is handed in.
#ifndef CONTROL_CONTROL_H_
#define CONTROL_CONTROL_H_

#include "control/config_state.h"
#include "control/plan_keeper.h"

#endif  // CONTROL_CONTROL_H_
