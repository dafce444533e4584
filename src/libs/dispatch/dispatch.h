// Decisions on requests. The library does no I/O, starts no thread and reads
// no clock: requests, outcomes and time come in, typed actions go out.
#ifndef DISPATCH_DISPATCH_H_
#define DISPATCH_DISPATCH_H_

#include "dispatch/concurrency_limit.h"
#include "dispatch/dispatch_constants.h"
#include "dispatch/dispatcher.h"
#include "dispatch/retry_budget.h"

#endif  // DISPATCH_DISPATCH_H_
