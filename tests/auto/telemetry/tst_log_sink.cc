#include <catch2/catch.hpp>

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <string>

#include "telemetry/telemetry.h"

namespace poplarsail::telemetry {
namespace {

const std::string kLine(1'000, 'a');

struct Pipe {
  Pipe() { REQUIRE(::pipe(ends.data()) == 0); }
  ~Pipe() {
    ::close(ends[0]);
    ::close(ends[1]);
  }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  std::array<int, 2> ends{};
};

TEST_CASE("Lines that a full device refuses are bounded and counted") {
  const int full = ::open("/dev/full", O_WRONLY);
  BoundedLogSink sink(full);
  for (int i = 0; i < 100; ++i) {
    sink.Write(kLine);
    sink.Flush();
  }
  CHECK(sink.counts().failed_writes == 100);
  CHECK(sink.counts().dropped_lines > 30);
  ::close(full);
}

TEST_CASE("An empty buffer is not written") {
  const int full = ::open("/dev/full", O_WRONLY);
  BoundedLogSink sink(full);
  sink.Flush();
  CHECK(sink.counts() == LogCounts());
  ::close(full);
}

TEST_CASE("A slow reader is no failed write") {
  Pipe pipe;
  REQUIRE(::fcntl(pipe.ends[1], F_SETPIPE_SZ, 4'096) == 4'096);
  BoundedLogSink sink(pipe.ends[1]);
  for (int i = 0; i < 20; ++i) {
    sink.Write(kLine);
    sink.Flush();
  }
  CHECK(sink.counts() == LogCounts());
}

// A file size limit of 0 while it exists.
struct FileSizeLimit {
  FileSizeLimit() {
    ::getrlimit(RLIMIT_FSIZE, &earlier);
    const rlimit none{0, earlier.rlim_max};
    ::setrlimit(RLIMIT_FSIZE, &none);
  }
  ~FileSizeLimit() { ::setrlimit(RLIMIT_FSIZE, &earlier); }
  FileSizeLimit(const FileSizeLimit&) = delete;
  FileSizeLimit& operator=(const FileSizeLimit&) = delete;

  rlimit earlier{};
};

TEST_CASE("A log that can be written again states how many lines are lost") {
  const auto action = std::signal(SIGXFSZ, SIG_IGN);
  std::FILE* file = std::tmpfile();
  REQUIRE(file != nullptr);
  BoundedLogSink sink(::fileno(file));
  {
    FileSizeLimit limit;
    for (int i = 0; i < 40; ++i) {
      sink.Write(kLine);
      sink.Flush();
    }
  }
  const LogCounts counts = sink.counts();
  CHECK(counts.failed_writes == 40);
  CHECK(counts.dropped_lines > 0);
  sink.Flush();
  sink.Flush();
  sink.Flush();
  std::string text(kLogBufferBytes, '\0');
  const ssize_t size = ::pread(::fileno(file), text.data(), text.size(), 0);
  REQUIRE(size > 0);
  text.resize(static_cast<size_t>(size));
  const std::string report =
      "msg=\"lines dropped\" dropped=" + std::to_string(counts.dropped_lines);
  CHECK(text.find(report + "\n") != std::string::npos);
  CHECK(text.find("dropped=") == text.rfind("dropped="));
  CHECK(sink.counts() == counts);
  std::fclose(file);
  std::signal(SIGXFSZ, action);
}

}  // namespace
}  // namespace poplarsail::telemetry
