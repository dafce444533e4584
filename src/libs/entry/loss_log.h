#ifndef ENTRY_LOSS_LOG_H_
#define ENTRY_LOSS_LOG_H_

#include <chrono>

#include "flows/flows.h"

namespace poplarsail::entry {

// Minimum interval between two lines of a listener and cause.
inline constexpr std::chrono::milliseconds kLossLogInterval{1'000};
// Maximum number of lines in an interval; listeners beyond are logged in a
// later one.
inline constexpr size_t kMaxLossLines = 32;

// Logs how many requests were lost since the last line, by listener and cause.
// `poplarsail explain --losses` reads these lines.
class LossLog {
 public:
  // Call several times a second.
  void Update(const flows::LossCounts& counts, flows::SteadyTime now);

 private:
  flows::LossCounts::ByListener m_logged;
  flows::SteadyTime m_next_update;
};

}  // namespace poplarsail::entry

#endif  // ENTRY_LOSS_LOG_H_
