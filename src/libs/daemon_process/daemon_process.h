// What a daemon sets up in its process so that its environment doesn't end it.
#ifndef DAEMON_PROCESS_DAEMON_PROCESS_H_
#define DAEMON_PROCESS_DAEMON_PROCESS_H_

namespace poplarsail::daemon_process {

// Call at the start of a daemon, before it opens files or starts threads.
// Writes that fail no longer raise signals, and closed standard streams are
// opened as /dev/null.
void Prepare();

}  // namespace poplarsail::daemon_process

#endif  // DAEMON_PROCESS_DAEMON_PROCESS_H_
