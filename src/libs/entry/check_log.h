#ifndef ENTRY_CHECK_LOG_H_
#define ENTRY_CHECK_LOG_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "entry/upstream_checker.h"
#include "flows/flows.h"

namespace poplarsail::entry {

// The result of a check as log lines need it.
struct CheckReport {
  uint64_t upstream_id = 0;
  std::string failure_domain;
  flows::CheckOutcome outcome = flows::CheckOutcome::kConnected;
  // What was believed of the upstream before.
  flows::Health previous_health = flows::Health::kHealthy;
  bool should_notify_peers = false;
  size_t flows_ended = 0;

  friend bool operator==(const CheckReport&, const CheckReport&) = default;
};

// Logs the result if it ended flows or changes what was believed.
void LogCheckResult(const CheckReport& report);

// Logs a check without a response that proves nothing about the upstream.
// `result` is kInconclusive or kConnectedElsewhere.
void LogUnprovenCheck(uint64_t upstream_id, CheckResult result);

}  // namespace poplarsail::entry

#endif  // ENTRY_CHECK_LOG_H_
