#include <catch2/catch.hpp>

#include <sstream>
#include <string>
#include <vector>

#include "explain/explain.h"

namespace poplarsail::explain {
namespace {

using namespace std::chrono_literals;

LogFile Read(const std::string& text, const std::string& name = "front") {
  std::istringstream stream(text);
  return ReadLog(&stream, name);
}

std::string Line(const std::string& time,
                 const std::string& message,
                 const std::string& fields) {
  return "time=2026-12-04T06:" + time + "Z level=info duty=packets msg=\"" +
         message + "\" " + fields + "\n";
}

std::string Started(const std::string& time,
                    const std::string& host,
                    const std::string& domain) {
  return Line(time, "started", "host=" + host + " failure_domain=" + domain);
}

TEST_CASE("Log lines are parsed") {
  const auto line = ParseLogLine(
      R"(time=2026-12-04T06:12:16.525Z level=warning duty=state )"
      R"(msg="store lost" reason="can't \"reach\" it" revision=7)");
  REQUIRE(line);
  CHECK(FormatLogTime(line->time) == "2026-12-04T06:12:16.525Z");
  CHECK(line->message == "store lost");
  CHECK(line->Value("reason") == R"(can't "reach" it)");
  CHECK(line->Value("revision") == "7");
  CHECK(line->Value("level").empty());
}

TEST_CASE("Unparsable lines are counted") {
  const LogFile file =
      Read("Segmentation fault\ntime=yesterday msg=started\n\n" +
           Started("00:01.000", "front-1", "regina") +
           "time=2026-12-04T06:00:02.000Z msg=\"cut off");
  CHECK(file.unparsable_lines == 4);
  REQUIRE(file.lines.size() == 1);
  CHECK(file.host == "front-1");
  CHECK(file.failure_domain == "regina");
}

TEST_CASE("The error for an unreadable log file names the file") {
  CHECK_THROWS_WITH(ReadLogFile("/nowhere/front.log"),
                    "/nowhere/front.log: can't be read");
}

TEST_CASE("Clock offsets are corrected by shared revisions") {
  const std::string taken = "kind=upstreams objects=1 revision=";
  const std::vector<LogFile> files = {
      Read(Line("00:10.000", "changes taken", taken + "5") +
               Line("00:20.000", "changes taken", taken + "6"),
           "a"),
      Read(Line("01:10.200", "changes taken", taken + "5") +
               Line("01:20.100", "changes taken", taken + "6"),
           "b"),
      Read(Line("00:10.300", "changes taken", taken + "5") +
               Line("00:19.900", "changes taken", taken + "6"),
           "c")};
  const auto segments = AlignClocks(files);
  REQUIRE(segments.size() == 3);
  CHECK(segments[0].correction == 0ms);
  CHECK(segments[1].correction < -59s);
  CHECK(segments[1].correction > -61s);
  CHECK(segments[1].shared_revisions == 2);
  CHECK(segments[2].correction == 0ms);
}

TEST_CASE("Logs are split at backward clock steps") {
  const std::vector<LogFile> files = {
      Read(Line("05:00.000", "ready", "") + Line("05:01.000", "ready", "") +
           Line("01:02.000", "ready", "") + Line("01:03.000", "ready", ""))};
  const auto segments = AlignClocks(files);
  REQUIRE(segments.size() == 2);
  CHECK(segments[0].end_line == 2);
  CHECK(segments[1].first_line == 2);
}

const std::string kFlow = "100.64.0.1:1025";

std::string Placed(const std::string& time, const std::string& upstream) {
  return Line(time, "flow placed",
              "flow=" + kFlow +
                  " listener=198.18.0.1:8443 reason=placed copy=0 upstream=" +
                  upstream + " domain=brandon revision=4 flows=1");
}

std::string Silent(const std::string& time, const std::string& upstream) {
  return Line(time, "upstream does not answer",
              "upstream=" + upstream +
                  " domain=brandon connection=silent flows_ended=1");
}

TEST_CASE("The cause of a failed flow is diagnosed") {
  std::string front = Started("00:00.000", "front-1", "regina") +
                      Line("00:00.100", "ready", "configuration=1") +
                      Placed("00:10.000", "a1");
  std::string other = Started("00:00.000", "front-2", "brandon");
  Cause expected = Cause::kUnknown;
  std::string evidence;
  DiagnosisQuery query{kFlow, "", std::nullopt};
  SECTION("upstream crashed") {
    front += Silent("00:10.200", "a1");
    expected = Cause::kUpstreamUnresponsive;
    evidence = "front-1 found upstream a1 silent at 2026-12-04T06:00:10.200Z";
  }
  SECTION("upstream stopped, its machine is up") {
    front += Line("00:10.200", "upstream refuses connections",
                  "upstream=a1 domain=brandon connection=refused "
                  "flows_ended=0");
    expected = Cause::kUpstreamRefusing;
    evidence =
        "that refuses connections: front-1 found that upstream a1 refused "
        "connections at 2026-12-04T06:00:10.200Z";
  }
  SECTION("failure domain of the upstream partitioned") {
    front += Silent("00:10.200", "a1") + Silent("00:10.300", "a2");
    expected = Cause::kDomainPartitioned;
    evidence = "brandon was cut off: 2 of its upstreams";
  }
  SECTION("failure domain of the upstream down") {
    front += Silent("00:10.200", "a1") + Silent("00:10.300", "a2");
    other += Silent("00:10.250", "a2");
    expected = Cause::kDomainDown;
    evidence = "also for its own hosts";
  }
  SECTION("upstream unresponsive since before the time window") {
    front = Started("00:00.000", "front-1", "regina") +
            Silent("00:01.000", "a1") + Placed("00:10.000", "a1");
    expected = Cause::kUpstreamUnresponsive;
    evidence = "silent at 2026-12-04T06:00:01.000Z";
  }
  SECTION("upstream recovered before the time window") {
    front = Started("00:00.000", "front-1", "regina") +
            Silent("00:01.000", "a1") +
            Line("00:02.000", "upstream answers", "upstream=a1") +
            Placed("00:10.000", "a1");
    expected = Cause::kNoFailureFound;
    evidence = "was not found silent";
  }
  SECTION("host of the flow stalled") {
    front += Line("00:12.600", "host stood still", "");
    other += Line("00:11.000", "host stood still", "");
    expected = Cause::kHostStalled;
    evidence = "front-1 stood still until 2026-12-04T06:00:12.600Z";
  }
  SECTION("no upstream available") {
    front += Line("00:11.000", "flow refused",
                  "flow=" + kFlow + " reason=no-upstream upstream=none");
    expected = Cause::kNoUpstream;
    evidence = "refused by front-1";
  }
  SECTION("service full") {
    front += Line("00:11.000", "flow refused",
                  "flow=" + kFlow + " reason=no-room upstream=none");
    other += Line("00:10.800", "requests waiting",
                  "service=tally waiting=112 places=60 outstanding=90") +
             Line("00:14.000", "requests waiting",
                  "service=tally waiting=3 places=60 outstanding=62");
    expected = Cause::kNoRoom;
    evidence =
        "refused by front-1 at 2026-12-04T06:00:11.000Z; at "
        "2026-12-04T06:00:10.800Z the scheduler on front-2 had 112 requests "
        "waiting for tally, 90 outstanding for 60 places";
  }
  SECTION("daemon not ready") {
    query.flow = "100.64.0.9:9";
    query.at = ParseLogTime("2026-12-04T06:00:30.000Z");
    other += Started("00:29.000", "front-2", "brandon") +
             Line("00:29.100", "store lost", "reason=\"connection refused\"");
    expected = Cause::kDaemonNotReady;
    evidence =
        "front-2 started at 2026-12-04T06:00:29.000Z and is not ready yet, "
        "store lost: connection refused";
  }
  SECTION("no matching log line") {
    query.flow = "100.64.0.9:9";
    expected = Cause::kUnknown;
    evidence = "--at";
  }
  const Diagnosis diagnosis = Diagnose({Read(front), Read(other)}, query);
  CAPTURE(diagnosis.summary);
  CHECK(diagnosis.cause == expected);
  CHECK(diagnosis.summary.find(evidence) != std::string::npos);
}

TEST_CASE("The timeline is ordered by corrected times") {
  const std::string taken = "kind=upstreams objects=1 revision=5";
  const std::vector<LogFile> files = {
      Read(Started("00:00.000", "front-1", "regina") +
           Line("00:05.000", "changes taken", taken) +
           Placed("00:10.000", "a1")),
      Read(Started("30:00.000", "front-2", "regina") +
           Line("30:05.000", "changes taken", taken) +
           Silent("30:10.100", "a1")),
      Read(Started("00:00.000", "front-3", "regina") +
           Line("00:05.100", "changes taken", taken))};
  const Diagnosis diagnosis = Diagnose(files, {kFlow, "", std::nullopt});
  REQUIRE(diagnosis.timeline.size() == 2);
  CHECK(diagnosis.timeline[0].line.message == "flow placed");
  CHECK(diagnosis.timeline[1].line.message == "upstream does not answer");
  CHECK(diagnosis.cause == Cause::kUpstreamUnresponsive);
  REQUIRE(diagnosis.clock_corrections.size() == 1);
  CHECK(diagnosis.clock_corrections[0].starts_with("front-2: -1799900 ms"));
}

TEST_CASE("The timeline of an upstream includes its flows and checks") {
  const Diagnosis diagnosis =
      Diagnose({Read(Started("00:00.000", "front-1", "regina") +
                     Placed("00:10.000", "a1") + Placed("00:11.000", "b2") +
                     Silent("00:12.000", "a1"))},
               {"", "a1", std::nullopt});
  CHECK(diagnosis.timeline.size() == 2);
  CHECK(diagnosis.cause == Cause::kUpstreamUnresponsive);
}

TEST_CASE("Service counts are read from the metrics of both daemons") {
  CHECK(ReadServiceCounts(
            "poplarsail_requests_total{outcome=\"answered\"} 90\n"
            "poplarsail_requests_total{outcome=\"refused\"} 10\n") ==
        ServiceCounts{90, 10});
  CHECK(ReadServiceCounts(
            "# HELP poplarsail_packets_total Packets.\n"
            "poplarsail_packets_total{reason=\"placed\"} 50\n"
            "poplarsail_packets_total{reason=\"tagged\"} 700\n"
            "poplarsail_packets_total{reason=\"no-listener\"} 4\n"
            "poplarsail_packets_total{reason=\"no-upstream\"} 2\n"
            "poplarsail_packets_total{reason=\"upstream-dead\"} x\n"
            "poplarsail_packets_total{reason=\"upstream-gone\"} 1\n") ==
        ServiceCounts{50, 3});
  CHECK(ReadServiceCounts("") == ServiceCounts{});
}

TEST_CASE(
    "The burn rate is relative to the failures that the objective allows") {
  CHECK(BurnRate({999, 1}, 0.999) == Approx(1));
  CHECK(BurnRate({90, 10}, 0.99) == Approx(10));
  CHECK(BurnRate({}, 0.99) == 0);
  CHECK(CountsBetween({90, 10}, {100, 11}) == ServiceCounts{10, 1});
  // The daemon restarted between the two readings.
  CHECK(CountsBetween({90, 10}, {5, 0}) == ServiceCounts{5, 0});
}

}  // namespace
}  // namespace poplarsail::explain
