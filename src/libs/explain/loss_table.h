#ifndef EXPLAIN_LOSS_TABLE_H_
#define EXPLAIN_LOSS_TABLE_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "explain/log_file.h"

namespace poplarsail::explain {

// Losses are added up over windows of this length.
inline constexpr std::chrono::milliseconds kLossWindow{2'000};

// Which log lines to count: those of the half-open period.
struct LossQuery {
  std::optional<LogTime> from;
  std::optional<LogTime> to;
};

// The requests of a listener that were lost for one cause in one window.
struct LossRow {
  LogTime window;
  std::string listener;
  std::string cause;
  uint64_t count = 0;
  // Number of hosts that counted some of them.
  size_t hosts = 0;

  friend auto operator<=>(const LossRow&, const LossRow&) = default;
};

// Adds up the lost requests that all hosts logged, by window, listener and
// cause, the largest of a window first. Times are corrected for the clock
// offsets of the daemons.
std::vector<LossRow> TabulateLosses(const std::vector<LogFile>& files,
                                    const LossQuery& query);

}  // namespace poplarsail::explain

#endif  // EXPLAIN_LOSS_TABLE_H_
