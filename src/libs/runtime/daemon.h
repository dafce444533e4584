#ifndef RUNTIME_DAEMON_H_
#define RUNTIME_DAEMON_H_

#include "model/model.h"

namespace poplarsail::runtime {

// Runs the daemon of one entry host until SIGTERM or SIGINT, then stops
// gracefully: not ready, no new requests, running requests finish up to the
// stored deadline, packets are forwarded while the fabric still sends them. A
// second signal ends the process at once. Returns the process's exit code.
int RunDaemon(const model::Settings& settings);

}  // namespace poplarsail::runtime

#endif  // RUNTIME_DAEMON_H_
