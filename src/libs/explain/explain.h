// Finds out why a flow failed from the log files of several daemons, and how
// much fails from their counters.
#ifndef EXPLAIN_EXPLAIN_H_
#define EXPLAIN_EXPLAIN_H_

#include "explain/clock_alignment.h"
#include "explain/log_file.h"
#include "explain/service_level.h"
#include "explain/story.h"

#endif  // EXPLAIN_EXPLAIN_H_
