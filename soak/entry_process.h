#ifndef SOAK_ENTRY_PROCESS_H_
#define SOAK_ENTRY_PROCESS_H_

#include <sys/resource.h>
#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "model/model.h"

namespace poplarsail::soak {

using Clock = std::chrono::steady_clock;

// A resource limit, such as RLIMIT_FSIZE, that is set once the process runs.
struct ProcessLimit {
  __rlimit_resource resource;
  rlim_t value = 0;
};

// What a daemon inherits from the process that starts it.
struct ProcessEnvironment {
  // Descriptor of this process that becomes its standard output and standard
  // error instead of its log file.
  std::optional<int> output;
  // Whether it starts without standard input, output and error.
  bool has_closed_standard_streams = false;
  std::vector<ProcessLimit> limits;
  // All other signals start unblocked and with their default action.
  std::vector<int> blocked_signals;
  std::vector<int> ignored_signals;
};

struct EntryProcessOptions {
  std::string program;
  // Command of the program that runs a daemon.
  std::string command = "serve";
  std::string directory;
  std::string name;
  std::string failure_domain;
  std::string address;
  uint16_t packet_port = 0;
  model::Endpoint store;
  std::string seeds;
  ProcessEnvironment environment;
  // Replaces the settings that follow from the other options.
  std::optional<std::string> settings_text;
};

// Why a process is stopped for a while.
enum class HoldReason : uint8_t { kFault, kAllotment };

// A daemon that runs as a child process.
class EntryProcess {
 public:
  explicit EntryProcess(EntryProcessOptions options);
  ~EntryProcess();

  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  void Start();
  void Signal(int signal);
  // Stop the process with SIGSTOP until no reason is left.
  void Hold(HoldReason reason);
  void Release(HoldReason reason);
  // Options of the next start.
  EntryProcessOptions& next_options() { return m_options; }
  // Returns the wait status if the process has exited.
  std::optional<int> Reap();
  bool is_running() const { return m_pid > 0; }
  // 0 if it is not running.
  pid_t pid() const { return m_pid; }
  uint64_t ResidentBytes() const;
  Clock::time_point started_at() const { return m_started_at; }
  // Processor time that the process has used.
  std::chrono::nanoseconds PreciseProcessorTime() const;
  std::chrono::milliseconds ProcessorTime() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        PreciseProcessorTime());
  }

  const EntryProcessOptions& options() const { return m_options; }
  model::Endpoint readiness() const;

  // End of the latest signal or fault that affects this host.
  Clock::time_point disturbed_until;
  // Set when SIGTERM was sent: the time by which the process has to exit.
  std::optional<Clock::time_point> stop_deadline;
  bool is_kill_expected = false;

 private:
  void WriteSettings() const;
  std::string DefaultSettings() const;

  EntryProcessOptions m_options;
  pid_t m_pid = 0;
  Clock::time_point m_started_at;
  std::set<HoldReason> m_holds;
};

}  // namespace poplarsail::soak

#endif  // SOAK_ENTRY_PROCESS_H_
