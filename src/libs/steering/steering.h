// Steering of packets to upstreams. The library does no I/O, starts no threads
// and reads no clock: packets, plans, members and the time are passed in, and
// decisions are returned.
#ifndef STEERING_STEERING_H_
#define STEERING_STEERING_H_

#include "steering/decision.h"
#include "steering/flow_key.h"
#include "steering/flow_table.h"
#include "steering/packet_parser.h"
#include "steering/planner.h"
#include "steering/relay_header.h"
#include "steering/replica_map.h"
#include "steering/replica_role.h"
#include "steering/router.h"
#include "steering/service_plan.h"
#include "steering/steering_constants.h"

#endif  // STEERING_STEERING_H_
