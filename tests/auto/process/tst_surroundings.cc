// A daemon goes on whatever its environment takes away from it.
#include <catch2/catch.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>

#include "process/process_fixture.h"

namespace poplarsail::process {
namespace {

constexpr int kNetwork = 21;
// The log is flushed four times a second.
constexpr auto kSeveralFlushes = 1'500ms;

struct SurroundingsFixture : ProcessFixture {
  SurroundingsFixture() : ProcessFixture(kNetwork) {}
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

}  // namespace
}  // namespace poplarsail::process
