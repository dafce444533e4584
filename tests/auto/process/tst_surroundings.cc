// A daemon goes on whatever its environment takes away from it.
#include <catch2/catch.hpp>

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <memory>
#include <thread>
#include <vector>

#include "process/process_fixture.h"

namespace poplarsail::process {
namespace {

constexpr int kNetwork = 21;
// The log is flushed four times a second.
constexpr auto kSeveralFlushes = 1'500ms;
// Longer than the daemon forwards packets after SIGTERM.
constexpr auto kStopTime = 5s;
// Moments after the start at which signals are sent.
constexpr auto kSignalInterval = 500us;
constexpr int kSignalMoments = 21;

struct SurroundingsFixture : ProcessFixture {
  SurroundingsFixture() : ProcessFixture(kNetwork) {}

  // Starts a daemon for each moment after the start and signals it then.
  std::vector<std::unique_ptr<soak::EntryProcess>> SignalDuringStart(
      int signal) {
    std::vector<std::unique_ptr<soak::EntryProcess>> daemons;
    for (int i = 0; i < kSignalMoments; ++i) {
      soak::EntryProcessOptions options = Options(
          fmt::format("front-regina-{}", i + 1), fmt::format("1.{}", i + 1));
      // A signal before main() can only be held back by the supervisor.
      options.environment.blocked_signals = {SIGHUP, SIGTERM, SIGINT};
      daemons.push_back(std::make_unique<soak::EntryProcess>(options));
      daemons.back()->Start();
      std::this_thread::sleep_for(i * kSignalInterval);
      daemons.back()->Signal(signal);
    }
    return daemons;
  }

  bool HasLogLine(const soak::EntryProcess& daemon, const std::string& text) {
    return Log(daemon).find(text) != std::string::npos;
  }
};

std::string DescriptorTarget(const soak::EntryProcess& daemon, int descriptor) {
  std::error_code error;
  return std::filesystem::read_symlink(
             fmt::format("/proc/{}/fd/{}", daemon.pid(), descriptor), error)
      .string();
}

TEST_CASE_METHOD(SurroundingsFixture,
                 "A daemon outlives the reader of its log pipe") {
  std::array<int, 2> pipe_ends{};
  REQUIRE(::pipe2(pipe_ends.data(), O_CLOEXEC) == 0);
  daemon().next_options().environment.output = pipe_ends[1];
  daemon().Start();
  ::close(pipe_ends[1]);
  REQUIRE(WaitUntilReady(daemon()));
  ::close(pipe_ends[0]);
  daemon().Signal(SIGHUP);
  CHECK(RunAndDescribe(daemon(), kSeveralFlushes) == "running");
}

TEST_CASE_METHOD(SurroundingsFixture,
                 "A daemon outlives a log file that may not grow") {
  daemon().next_options().environment.limits = {{RLIMIT_FSIZE, 0}};
  daemon().Start();
  CHECK(RunAndDescribe(daemon(), kSeveralFlushes) == "running");
  CHECK(IsReady(daemon()));
}

TEST_CASE_METHOD(SurroundingsFixture, "A daemon outlives a full disk") {
  const int full = ::open("/dev/full", O_WRONLY | O_CLOEXEC);
  REQUIRE(full >= 0);
  daemon().next_options().environment.output = full;
  daemon().Start();
  ::close(full);
  CHECK(RunAndDescribe(daemon(), kSeveralFlushes) == "running");
  CHECK(IsReady(daemon()));
}

TEST_CASE_METHOD(SurroundingsFixture,
                 "An error that can't be printed doesn't abort a daemon") {
  const int full = ::open("/dev/full", O_WRONLY | O_CLOEXEC);
  REQUIRE(full >= 0);
  daemon().next_options().environment.output = full;
  daemon().next_options().settings_text = "[host]\n";
  daemon().Start();
  ::close(full);
  CHECK(RunAndDescribe(daemon(), kStopTime) == "exit 1");
}

TEST_CASE_METHOD(
    SurroundingsFixture,
    "A daemon leaves the flags of its log pipe to its supervisor") {
  std::array<int, 2> ends{};
  SECTION("pipe") {
    REQUIRE(::pipe2(ends.data(), O_CLOEXEC) == 0);
  }
  SECTION("socket") {
    REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends.data()) ==
            0);
  }
  daemon().next_options().environment.output = ends[1];
  daemon().Start();
  CHECK(WaitUntilReady(daemon()));
  RunFor(kSeveralFlushes);
  CHECK((::fcntl(ends[1], F_GETFL) & O_NONBLOCK) == 0);
  std::array<char, 4096> text{};
  const ssize_t size = ::read(ends[0], text.data(), text.size());
  REQUIRE(size > 0);
  CHECK(std::string(text.data(), static_cast<size_t>(size)).find("started") !=
        std::string::npos);
  daemon().Signal(SIGKILL);
  CHECK(RunAndDescribe(daemon(), kStopTime) == "signal 9");
  ::close(ends[0]);
  ::close(ends[1]);
}

TEST_CASE_METHOD(SurroundingsFixture,
                 "poplarsail run outlives SIGHUP and the reader of its log") {
  std::array<int, 2> pipe_ends{};
  REQUIRE(::pipe2(pipe_ends.data(), O_CLOEXEC) == 0);
  soak::EntryProcessOptions& options = daemon().next_options();
  options.command = "run";
  options.environment.output = pipe_ends[1];
  options.settings_text = fmt::format(
      "[host]\nname = front-regina-1\nfailure_domain = regina\naddress = {}\n"
      "[objects]\nendpoint = {}\n[stop]\ngrace_ms = 0\nlinger_ms = 0\n",
      options.address,
      model::ToString(model::Endpoint{Address("4.9"), 18'000}));
  daemon().Start();
  ::close(pipe_ends[1]);
  std::array<char, 4096> text{};
  REQUIRE(::read(pipe_ends[0], text.data(), text.size()) > 0);
  RunFor(500ms);
  ::close(pipe_ends[0]);
  daemon().Signal(SIGHUP);
  CHECK(RunAndDescribe(daemon(), kSeveralFlushes) == "running");
  daemon().Signal(SIGTERM);
  CHECK(RunAndDescribe(daemon(), kStopTime) == "exit 0");
}

TEST_CASE_METHOD(SurroundingsFixture,
                 "Log lines don't reach a socket that opens as a closed "
                 "standard stream") {
  daemon().next_options().environment.has_closed_standard_streams = true;
  daemon().Start();
  CHECK(WaitUntilReady(daemon()));
  for (const int fd : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) {
    CHECK(DescriptorTarget(daemon(), fd) == "/dev/null");
  }
  daemon().Signal(SIGHUP);
  CHECK(RunAndDescribe(daemon(), kSeveralFlushes) == "running");
  CHECK(IsReady(daemon()));
}

TEST_CASE_METHOD(SurroundingsFixture,
                 "SIGHUP during the start doesn't end a daemon") {
  const auto daemons = SignalDuringStart(SIGHUP);
  for (const auto& daemon : daemons) {
    CAPTURE(daemon->options().name);
    CHECK(RunUntil([&]() { return HasLogLine(*daemon, "settings reloaded"); },
                   5s));
    CHECK(RunAndDescribe(*daemon, 0ms) == "running");
    CHECK(WaitUntilReady(*daemon));
  }
}

TEST_CASE_METHOD(SurroundingsFixture,
                 "SIGTERM during the start ends a daemon with success") {
  const auto daemons = SignalDuringStart(SIGTERM);
  for (const auto& daemon : daemons) {
    CAPTURE(daemon->options().name);
    CHECK(RunAndDescribe(*daemon, kStopTime) == "exit 0");
  }
}

TEST_CASE_METHOD(SurroundingsFixture,
                 "Signals that were inherited blocked reach a daemon") {
  daemon().next_options().environment.blocked_signals = {SIGHUP, SIGTERM};
  daemon().Start();
  REQUIRE(WaitUntilReady(daemon()));
  daemon().Signal(SIGHUP);
  CHECK(RunUntil([&]() { return HasLogLine(daemon(), "settings reloaded"); },
                 kSeveralFlushes));
  daemon().Signal(SIGTERM);
  CHECK(RunAndDescribe(daemon(), kStopTime) == "exit 0");
}

TEST_CASE_METHOD(SurroundingsFixture,
                 "Signals that were inherited ignored reach a daemon") {
  daemon().next_options().environment.ignored_signals = {SIGHUP, SIGTERM};
  daemon().Start();
  REQUIRE(WaitUntilReady(daemon()));
  daemon().Signal(SIGHUP);
  CHECK(RunUntil([&]() { return HasLogLine(daemon(), "settings reloaded"); },
                 kSeveralFlushes));
  daemon().Signal(SIGTERM);
  CHECK(RunAndDescribe(daemon(), kStopTime) == "exit 0");
}

TEST_CASE_METHOD(SurroundingsFixture,
                 "Signals that mean nothing to a daemon don't end it") {
  daemon().Start();
  REQUIRE(WaitUntilReady(daemon()));
  for (const int signal : {SIGUSR1, SIGUSR2, SIGXCPU, SIGALRM, SIGVTALRM,
                           SIGPROF, SIGIO, SIGPIPE, SIGXFSZ}) {
    CAPTURE(signal);
    daemon().Signal(signal);
    REQUIRE(RunAndDescribe(daemon(), 50ms) == "running");
  }
  CHECK(IsReady(daemon()));
}

TEST_CASE_METHOD(SurroundingsFixture,
                 "Repeated signals don't kill a daemon that is ending") {
  daemon().Start();
  REQUIRE(WaitUntilReady(daemon()));
  std::optional<int> status;
  const auto deadline = std::chrono::steady_clock::now() + kStopTime;
  while (!status && std::chrono::steady_clock::now() < deadline) {
    daemon().Signal(SIGTERM);
    daemon().Signal(SIGHUP);
    std::this_thread::sleep_for(50us);
    status = daemon().Reap();
  }
  CHECK(Describe(status) == "exit 0");
}

}  // namespace
}  // namespace poplarsail::process
