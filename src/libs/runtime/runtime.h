// The daemon of an entry host and its workers, each of which has its own
// thread.
#ifndef RUNTIME_RUNTIME_H_
#define RUNTIME_RUNTIME_H_

#include "runtime/daemon.h"

#endif  // RUNTIME_RUNTIME_H_
