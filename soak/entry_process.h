#ifndef SOAK_ENTRY_PROCESS_H_
#define SOAK_ENTRY_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "model/model.h"

namespace poplarsail::soak {

using Clock = std::chrono::steady_clock;

struct EntryProcessOptions {
  std::string program;
  std::string directory;
  std::string name;
  std::string failure_domain;
  std::string address;
  uint16_t packet_port = 0;
  model::Endpoint store;
  std::string seeds;
};

// A daemon that runs as a child process.
class EntryProcess {
 public:
  explicit EntryProcess(EntryProcessOptions options);
  ~EntryProcess();

  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  void Start();
  void Signal(int signal);
  // Returns the wait status if the process has exited.
  std::optional<int> Reap();
  bool is_running() const { return m_pid > 0; }
  uint64_t ResidentBytes() const;

  const EntryProcessOptions& options() const { return m_options; }
  model::Endpoint readiness() const;

  // End of the latest signal or fault that affects this host.
  Clock::time_point disturbed_until;
  // Set when SIGTERM was sent: the time by which the process has to exit.
  std::optional<Clock::time_point> stop_deadline;
  bool is_kill_expected = false;

 private:
  void WriteSettings() const;

  EntryProcessOptions m_options;
  pid_t m_pid = 0;
};

}  // namespace poplarsail::soak

#endif  // SOAK_ENTRY_PROCESS_H_
