// Steering of flows whose packets identify their upstream by a tag.
#ifndef FLOWS_FLOWS_H_
#define FLOWS_FLOWS_H_

#include "flows/flow_admission.h"
#include "flows/flow_packet.h"
#include "flows/flow_scheduler.h"
#include "flows/flow_table.h"
#include "flows/liveness.h"
#include "flows/local_first_placement.h"
#include "flows/loss_counts.h"
#include "flows/overdue_monitor.h"
#include "flows/peer_placements.h"
#include "flows/pending_responses.h"
#include "flows/placement.h"
#include "flows/response_timeouts.h"
#include "flows/routing_table.h"
#include "flows/stall_detector.h"
#include "flows/steering.h"

#endif  // FLOWS_FLOWS_H_
