// What a daemon sets up in its process so that its environment doesn't end it.
#ifndef DAEMON_PROCESS_DAEMON_PROCESS_H_
#define DAEMON_PROCESS_DAEMON_PROCESS_H_

namespace poplarsail::daemon_process {

// Call at the start of a daemon, before it opens files or starts threads.
// Writes that fail no longer raise signals, and closed standard streams are
// opened as /dev/null. Until the daemon installs its handlers, SIGHUP waits,
// and SIGTERM and SIGINT end the process with success.
void Prepare();

// Call once the handlers of the daemon are installed, and before they are
// removed.
void UnblockSignals();
void BlockSignals();

}  // namespace poplarsail::daemon_process

#endif  // DAEMON_PROCESS_DAEMON_PROCESS_H_
