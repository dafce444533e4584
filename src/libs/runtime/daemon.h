#ifndef RUNTIME_DAEMON_H_
#define RUNTIME_DAEMON_H_

#include "model/model.h"

namespace poplarsail::runtime {

// Runs the daemon of one entry host until SIGTERM or SIGINT, then shuts down
// gracefully: reports not ready, refuses new requests, lets running requests
// finish until the configured deadline, and forwards packets while the fabric
// still sends them. A second signal ends the process at once. Returns the exit
// code of the process.
int RunDaemon(const model::Settings& settings);

}  // namespace poplarsail::runtime

#endif  // RUNTIME_DAEMON_H_
