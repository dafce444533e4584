// Schedules the flows of a service over its upstreams in a failure domain, for
// all entry hosts there together. Does no I/O: messages and the time are passed
// in, and actions are returned.
#ifndef SCHEDULING_SCHEDULING_H_
#define SCHEDULING_SCHEDULING_H_

#include "scheduling/message_codec.h"
#include "scheduling/placement_client.h"
#include "scheduling/scheduler_figures.h"
#include "scheduling/service_scheduler.h"
#include "scheduling/single_request_detector.h"
#include "scheduling/types.h"

#endif  // SCHEDULING_SCHEDULING_H_
