// Decisions on packets. The library does no I/O, starts no thread and reads no
// clock: packets, plans, members and time come in, typed decisions go out.
#ifndef STEERING_STEERING_H_
#define STEERING_STEERING_H_

#include "steering/decision.h"
#include "steering/flow_key.h"
#include "steering/flow_table.h"
#include "steering/keeper_map.h"
#include "steering/keeper_role.h"
#include "steering/packet_parser.h"
#include "steering/planner.h"
#include "steering/relay_header.h"
#include "steering/router.h"
#include "steering/service_plan.h"
#include "steering/steering_constants.h"

#endif  // STEERING_STEERING_H_
