#include "entry/check_log.h"

#include <string_view>

#include <fmt/format.h>

#include "telemetry/telemetry.h"

namespace poplarsail::entry {

namespace {

// Whether the outcome of a check changes what was believed of the upstream.
bool IsNews(const CheckReport& report) {
  switch (report.outcome) {
    case flows::CheckOutcome::kConnected:
      return report.previous_health != flows::Health::kHealthy;
    case flows::CheckOutcome::kRefused:
      return report.should_notify_peers;
    case flows::CheckOutcome::kNoResponse:
      break;
  }
  return report.previous_health != flows::Health::kPresumedDead;
}

std::string_view MessageOf(flows::CheckOutcome outcome) {
  switch (outcome) {
    case flows::CheckOutcome::kConnected:
      return "upstream answers";
    case flows::CheckOutcome::kRefused:
      return "upstream refuses connections";
    case flows::CheckOutcome::kNoResponse:
      break;
  }
  return "upstream does not answer";
}

std::string_view ConnectionLabel(flows::CheckOutcome outcome) {
  switch (outcome) {
    case flows::CheckOutcome::kConnected:
      return "made";
    case flows::CheckOutcome::kRefused:
      return "refused";
    case flows::CheckOutcome::kNoResponse:
      break;
  }
  return "silent";
}

}  // namespace

void LogCheckResult(const CheckReport& report) {
  if (report.flows_ended == 0 && !IsNews(report)) {
    return;
  }
  telemetry::Log(telemetry::LogLevel::kInfo, "packets",
                 std::string(MessageOf(report.outcome)),
                 {{"upstream", fmt::format("{:x}", report.upstream_id)},
                  {"domain", report.failure_domain},
                  {"connection", std::string(ConnectionLabel(report.outcome))},
                  {"flows_ended", std::to_string(report.flows_ended)}});
}

void LogUnprovenCheck(uint64_t upstream_id, CheckResult result) {
  const bool is_connected_elsewhere =
      result == CheckResult::kConnectedElsewhere;
  telemetry::Log(telemetry::LogLevel::kInfo, "packets",
                 "upstream check proves nothing",
                 {{"upstream", fmt::format("{:x}", upstream_id)},
                  {"reason", is_connected_elsewhere
                                 ? "another host is connected"
                                 : "this host does not receive responses in "
                                   "time"}});
}

}  // namespace poplarsail::entry
