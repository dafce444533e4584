#include <catch2/catch.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <exception>
#include <string>

#include "telemetry/telemetry.h"

namespace poplarsail::telemetry {
namespace {

std::string LineWith(const std::string& value) {
  return FormatLogLine(LogLevel::kInfo, "store", "x", {{"name", value}});
}

TEST_CASE("A value is quoted if it contains separators or control characters") {
  CHECK(LineWith("i-7f") == "level=info duty=store msg=x name=i-7f");
  CHECK(LineWith("a b") == R"(level=info duty=store msg=x name="a b")");
  CHECK(LineWith("a\"\n") == R"(level=info duty=store msg=x name="a\"?")");
  CHECK(LineWith("\xc3\xa9") == "level=info duty=store msg=x name=\xc3\xa9");
}

// Guards against log lines as long as what another writer stored.
TEST_CASE("A long value is cut off between two characters") {
  const std::string prefix = "level=info duty=store msg=x name=";
  CHECK(LineWith(std::string(1'000'000, 'a')) ==
        prefix + std::string(256, 'a'));
  CHECK(LineWith(std::string(255, 'a') + "\xc3\xa9") ==
        prefix + std::string(255, 'a'));
}

TEST_CASE("A line that can't be written to standard error doesn't throw") {
  const int standard_error = ::dup(STDERR_FILENO);
  const int full = ::open("/dev/full", O_WRONLY);
  REQUIRE(::dup2(full, STDERR_FILENO) == STDERR_FILENO);
  bool has_thrown = false;
  try {
    Log(LogLevel::kInfo, "store", "x");
  } catch (const std::exception&) {
    has_thrown = true;
  }
  ::dup2(standard_error, STDERR_FILENO);
  ::close(standard_error);
  ::close(full);
  CHECK_FALSE(has_thrown);
}

}  // namespace
}  // namespace poplarsail::telemetry
