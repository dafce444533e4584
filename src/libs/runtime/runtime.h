// The duties of one daemon, a thread each, and the daemon that joins them.
#ifndef RUNTIME_RUNTIME_H_
#define RUNTIME_RUNTIME_H_

#include "runtime/daemon.h"

#endif  // RUNTIME_RUNTIME_H_
