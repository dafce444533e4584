// Log lines for changes of state, and counters for everything else.
#ifndef TELEMETRY_TELEMETRY_H_
#define TELEMETRY_TELEMETRY_H_

#include "telemetry/counter_family.h"
#include "telemetry/latency_histogram.h"
#include "telemetry/log.h"
#include "telemetry/log_sink.h"

#endif  // TELEMETRY_TELEMETRY_H_
