#ifndef EXPLAIN_DIAGNOSIS_H_
#define EXPLAIN_DIAGNOSIS_H_

#include <optional>
#include <string>
#include <vector>

#include "explain/clock_alignment.h"
#include "explain/log_file.h"

namespace poplarsail::explain {

// Causes are searched for in log lines up to this long before the first line of
// the queried flow or upstream and after its last line or the queried time.
inline constexpr std::chrono::milliseconds kCauseWindow{5'000};

// What to diagnose. Exactly one of `flow` and `upstream` is set.
struct DiagnosisQuery {
  // The client's address and port.
  std::string flow;
  // Id of an upstream as it appears in log lines.
  std::string upstream;
  // When the request failed. Required only if no log line mentions the flow.
  std::optional<LogTime> at;
};

struct TimelineEntry {
  // Corrected for the clock offset of the daemon.
  LogTime time;
  std::string host;
  LogLine line;
};

enum class Cause : uint8_t {
  kUnknown,
  kNoFailureFound,
  kUpstreamUnresponsive,
  // Connections to the upstream were refused.
  kUpstreamRefusing,
  kDomainPartitioned,
  kDomainDown,
  kHostStalled,
  kDaemonNotReady,
  kNoUpstream,
  // The service was full: no response was possible in time.
  kNoRoom,
  kNoListener,
  kUpstreamGone,
  kUnknownTag,
};

struct Diagnosis {
  std::vector<TimelineEntry> timeline;
  Cause cause = Cause::kUnknown;
  // Human-readable cause with its evidence.
  std::string summary;
  // Human-readable descriptions of the corrections, one per clock segment.
  std::vector<std::string> clock_corrections;
};

// Finds the most likely cause of a failure and the log lines related to it.
Diagnosis Diagnose(const std::vector<LogFile>& files,
                   const DiagnosisQuery& query);

}  // namespace poplarsail::explain

#endif  // EXPLAIN_DIAGNOSIS_H_
