#include "daemon_process/daemon_process.h"

#include <fcntl.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <initializer_list>

namespace poplarsail::daemon_process {

namespace {

// Failed writes are reported by their error code only. The other signals have
// no meaning for a daemon; by default each ends the process.
void IgnoreSignals() {
  for (const int signal : {SIGPIPE, SIGXFSZ, SIGXCPU, SIGUSR1, SIGUSR2, SIGALRM,
                           SIGVTALRM, SIGPROF, SIGIO}) {
    std::signal(signal, SIG_IGN);
  }
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

void ChangeMask(int operation, std::initializer_list<int> signals) {
  sigset_t set;
  sigemptyset(&set);
  for (const int signal : signals) {
    sigaddset(&set, signal);
  }
  ::pthread_sigmask(operation, &set, nullptr);
}

void ExitWithSuccess(int) {
  ::_exit(EXIT_SUCCESS);
}

// The mask and the actions may be inherited from any process.
void SetStartSignals() {
  ChangeMask(SIG_BLOCK, {SIGHUP});
  std::signal(SIGTERM, ExitWithSuccess);
  std::signal(SIGINT, ExitWithSuccess);
  ChangeMask(SIG_UNBLOCK, {SIGTERM, SIGINT});
}

}  // namespace

void Prepare() {
  SetStartSignals();
  OpenStandardStreams();
  IgnoreSignals();
}

void UnblockSignals() {
  ChangeMask(SIG_UNBLOCK, {SIGHUP, SIGTERM, SIGINT});
}

void BlockSignals() {
  ChangeMask(SIG_BLOCK, {SIGHUP, SIGTERM, SIGINT});
}

}  // namespace poplarsail::daemon_process
