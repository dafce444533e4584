// Diagnoses failed flows from the log files of several daemons and computes
// failure rates from their counters.
#ifndef EXPLAIN_EXPLAIN_H_
#define EXPLAIN_EXPLAIN_H_

#include "explain/clock_alignment.h"
#include "explain/diagnosis.h"
#include "explain/log_file.h"
#include "explain/loss_table.h"
#include "explain/service_level.h"

#endif  // EXPLAIN_EXPLAIN_H_
