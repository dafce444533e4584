// Assigns requests to upstreams. The library does no I/O, starts no thread and
// reads no clock: its owner passes in requests, attempt outcomes and the time,
// and executes the actions that are returned.
#ifndef DISPATCH_DISPATCH_H_
#define DISPATCH_DISPATCH_H_

#include "dispatch/concurrency_limit.h"
#include "dispatch/dispatch_constants.h"
#include "dispatch/dispatcher.h"
#include "dispatch/retry_budget.h"

#endif  // DISPATCH_DISPATCH_H_
