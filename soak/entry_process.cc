#include "soak/entry_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <ctime>
#include <fstream>
#include <system_error>
#include <utility>

#include <fmt/format.h>

extern char** environ;

namespace poplarsail::soak {

namespace {

constexpr uint16_t kReadinessPort = 18'167;
constexpr uint16_t kPeersPort = 18'166;
constexpr uint16_t kFindingsPort = 18'168;
constexpr uint16_t kMetricsPort = 18'169;

void AddStandardStreams(const ProcessEnvironment& environment,
                        const std::string& log,
                        posix_spawn_file_actions_t* actions) {
  if (environment.has_closed_standard_streams) {
    for (const int fd : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) {
      posix_spawn_file_actions_addclose(actions, fd);
    }
    return;
  }
  if (environment.output) {
    posix_spawn_file_actions_adddup2(actions, *environment.output,
                                     STDOUT_FILENO);
  } else {
    posix_spawn_file_actions_addopen(actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
  }
  posix_spawn_file_actions_adddup2(actions, STDOUT_FILENO, STDERR_FILENO);
}

sigset_t SignalSet(const std::vector<int>& signals) {
  sigset_t set;
  sigemptyset(&set);
  for (const int signal : signals) {
    sigaddset(&set, signal);
  }
  return set;
}

void SetSignals(const ProcessEnvironment& environment,
                posix_spawnattr_t* attributes) {
  const sigset_t blocked = SignalSet(environment.blocked_signals);
  posix_spawnattr_setsigmask(attributes, &blocked);
  sigset_t defaults;
  sigfillset(&defaults);
  for (const int signal : environment.ignored_signals) {
    sigdelset(&defaults, signal);
  }
  posix_spawnattr_setsigdefault(attributes, &defaults);
  posix_spawnattr_setflags(attributes,
                           POSIX_SPAWN_SETSIGMASK | POSIX_SPAWN_SETSIGDEF);
}

// Ignores signals while it exists: posix_spawn() can only pass this on.
class SignalIgnorer {
 public:
  explicit SignalIgnorer(const std::vector<int>& signals) {
    for (const int signal : signals) {
      m_earlier_actions.emplace_back(signal, std::signal(signal, SIG_IGN));
    }
  }
  ~SignalIgnorer() {
    for (const auto& [signal, action] : m_earlier_actions) {
      std::signal(signal, action);
    }
  }

  SignalIgnorer(const SignalIgnorer&) = delete;
  SignalIgnorer& operator=(const SignalIgnorer&) = delete;

 private:
  std::vector<std::pair<int, sighandler_t>> m_earlier_actions;
};

}  // namespace

EntryProcess::EntryProcess(EntryProcessOptions options)
    : m_options(std::move(options)) {}

EntryProcess::~EntryProcess() {
  if (m_pid > 0) {
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
  }
}

model::Endpoint EntryProcess::readiness() const {
  return {boost::asio::ip::make_address(m_options.address), kReadinessPort};
}

void EntryProcess::WriteSettings() const {
  std::ofstream file(m_options.directory + "/" + m_options.name + ".ini");
  file << m_options.settings_text.value_or(DefaultSettings());
}

std::string EntryProcess::DefaultSettings() const {
  return fmt::format(
      "[host]\nname = {}\nfailure_domain = {}\n[packets]\nendpoint = {}:{}\n"
      "[readiness]\nendpoint = {}:{}\n[peers]\nendpoint = {}:{}\n"
      "findings_port = {}\nseeds = {}\n[store]\nendpoint = {}\n"
      "[metrics]\nport = {}\n[stop]\nlinger_ms = 1500\n",
      m_options.name, m_options.failure_domain, m_options.address,
      m_options.packet_port, m_options.address, kReadinessPort,
      m_options.address, kPeersPort, kFindingsPort, m_options.seeds,
      model::ToString(m_options.store), kMetricsPort);
}

void EntryProcess::Start() {
  WriteSettings();
  const std::string base = m_options.directory + "/" + m_options.name;
  const std::string settings = base + ".ini";
  const std::string log = base + ".log";
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  AddStandardStreams(m_options.environment, log, &actions);
  // A daemon that inherits the socket of a fake would keep it open after the
  // simulated crash of the fake.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  std::array<const char*, 5> arguments = {
      m_options.program.c_str(), m_options.command.c_str(), "--settings",
      settings.c_str(), nullptr};
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  SetSignals(m_options.environment, &attributes);
  const SignalIgnorer ignorer(m_options.environment.ignored_signals);
  const int error =
      ::posix_spawn(&m_pid, m_options.program.c_str(), &actions, &attributes,
                    const_cast<char* const*>(arguments.data()), environ);
  posix_spawnattr_destroy(&attributes);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    m_pid = 0;
    throw std::system_error(error, std::generic_category(),
                            m_options.program + " cannot be started");
  }
  for (const ProcessLimit& limit : m_options.environment.limits) {
    const rlimit value{limit.value, limit.value};
    ::prlimit(m_pid, limit.resource, &value, nullptr);
  }
  m_started_at = Clock::now();
  m_holds.clear();
  stop_deadline.reset();
  is_kill_expected = false;
}

void EntryProcess::Signal(int signal) {
  if (m_pid > 0) {
    ::kill(m_pid, signal);
  }
}

void EntryProcess::Hold(HoldReason reason) {
  if (m_holds.empty()) {
    Signal(SIGSTOP);
  }
  m_holds.insert(reason);
}

void EntryProcess::Release(HoldReason reason) {
  if (m_holds.erase(reason) > 0 && m_holds.empty()) {
    Signal(SIGCONT);
  }
}

std::optional<int> EntryProcess::Reap() {
  int status = 0;
  if (m_pid <= 0 || ::waitpid(m_pid, &status, WNOHANG) != m_pid) {
    return std::nullopt;
  }
  m_pid = 0;
  return status;
}

uint64_t EntryProcess::ResidentBytes() const {
  std::ifstream file(fmt::format("/proc/{}/statm", m_pid));
  uint64_t total = 0;
  uint64_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<uint64_t>(::sysconf(_SC_PAGESIZE));
}

std::chrono::nanoseconds EntryProcess::PreciseProcessorTime() const {
  clockid_t clock{};
  timespec used{};
  if (m_pid <= 0 || ::clock_getcpuclockid(m_pid, &clock) != 0 ||
      ::clock_gettime(clock, &used) != 0) {
    return std::chrono::nanoseconds(0);
  }
  return std::chrono::seconds(used.tv_sec) +
         std::chrono::nanoseconds(used.tv_nsec);
}

}  // namespace poplarsail::soak
