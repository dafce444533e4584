#include "daemon_process/daemon_process.h"

#include <csignal>

namespace poplarsail::daemon_process {

namespace {

// Reports failed writes by their error code only.
void IgnoreWriteSignals() {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);
}

}  // namespace

void Prepare() {
  IgnoreWriteSignals();
}

}  // namespace poplarsail::daemon_process
