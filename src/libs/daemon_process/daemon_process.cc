#include "daemon_process/daemon_process.h"

#include <fcntl.h>
#include <unistd.h>

#include <csignal>
#include <initializer_list>

namespace poplarsail::daemon_process {

namespace {

// Reports failed writes by their error code only.
void IgnoreWriteSignals() {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);
}

// Otherwise the first sockets would get these descriptors, and log lines with
// them.
void OpenStandardStreams() {
  for (const int fd : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) {
    if (::fcntl(fd, F_GETFD) >= 0) {
      continue;
    }
    // open() returns the lowest descriptor that is free.
    if (::open("/dev/null", O_RDWR) < 0) {
      ::open("/", O_RDONLY);
    }
  }
}

}  // namespace

void Prepare() {
  OpenStandardStreams();
  IgnoreWriteSignals();
}

}  // namespace poplarsail::daemon_process
