#include <catch2/catch.hpp>

#include <sstream>
#include <string>
#include <vector>

#include "explain/explain.h"

namespace poplarsail::explain {
namespace {

std::string Line(const std::string& time,
                 const std::string& message,
                 const std::string& fields) {
  return "time=2026-12-04T06:" + time + "Z level=info duty=packets msg=\"" +
         message + "\" " + fields + "\n";
}

std::string Lost(const std::string& time,
                 const std::string& listener,
                 const std::string& cause,
                 const std::string& count) {
  return Line(time, "requests lost",
              "listener=" + listener + " cause=" + cause + " count=" + count);
}

LogFile ReadHost(const std::string& host, const std::string& lines) {
  std::istringstream stream(
      Line("00:00.100", "started", "host=" + host + " failure_domain=regina") +
      lines);
  return ReadLog(&stream, host);
}

LossRow Row(const std::string& time,
            const std::string& listener,
            const std::string& cause,
            uint64_t count,
            size_t hosts) {
  return {*ParseLogTime("2026-12-04T06:" + time + "Z"), listener, cause, count,
          hosts};
}

const std::string kFeed = "192.0.2.1:443";
const std::string kQuote = "192.0.2.1:444";

TEST_CASE("Losses of all hosts add up by window, listener and cause") {
  const std::vector<LogFile> files = {
      ReadHost("front-1", Lost("00:04.100", kFeed, "late", "3") +
                              Lost("00:05.100", kFeed, "late", "2") +
                              Lost("00:05.100", kFeed, "no-room", "9") +
                              Lost("00:06.200", kFeed, "late", "1")),
      ReadHost("front-2", Lost("00:05.900", kFeed, "late", "4") +
                              Lost("00:05.900", kQuote, "late", "1"))};
  // The largest loss of a window comes first.
  const std::vector<LossRow> expected = {
      Row("00:04.000", kFeed, "late", 9, 2),
      Row("00:04.000", kFeed, "no-room", 9, 1),
      Row("00:04.000", kQuote, "late", 1, 1),
      Row("00:06.000", kFeed, "late", 1, 1)};
  CHECK(TabulateLosses(files, {}) == expected);
}

TEST_CASE("Only losses of the period are counted") {
  const std::vector<LogFile> files = {
      ReadHost("front-1", Lost("00:04.100", kFeed, "late", "3") +
                              Lost("00:05.100", kFeed, "late", "2") +
                              Lost("00:06.000", kFeed, "late", "1"))};
  LossQuery query;
  query.from = ParseLogTime("2026-12-04T06:00:05.000Z");
  query.to = ParseLogTime("2026-12-04T06:00:06.000Z");
  CHECK(TabulateLosses(files, query) ==
        std::vector<LossRow>{Row("00:04.000", kFeed, "late", 2, 1)});
}

TEST_CASE("Lines that were cut off and other lines are not counted") {
  const std::vector<LogFile> files = {ReadHost(
      "front-1", Lost("00:04.100", kFeed, "late", "") +
                     Lost("00:04.100", kFeed, "late", "12x") +
                     Lost("00:04.100", kFeed, "late", "-3") +
                     Lost("00:04.100", kFeed, "late", "99999999999999999999") +
                     Line("00:04.200", "flow refused", "reason=no-room"))};
  CHECK(TabulateLosses(files, {}).empty());
  CHECK(TabulateLosses({}, {}).empty());
}

}  // namespace
}  // namespace poplarsail::explain
