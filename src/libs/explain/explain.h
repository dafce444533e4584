// Reads the log files of several daemons and finds out why a flow failed.
#ifndef EXPLAIN_EXPLAIN_H_
#define EXPLAIN_EXPLAIN_H_

#include "explain/clock_alignment.h"
#include "explain/log_file.h"
#include "explain/story.h"

#endif  // EXPLAIN_EXPLAIN_H_
