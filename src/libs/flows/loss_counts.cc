#include "flows/loss_counts.h"

namespace poplarsail::flows {

std::string_view ToString(LossCause cause) {
  static constexpr std::array<std::string_view, kLossCauseCount> kNames = {
      "late",        "refused-by-upstream", "unanswered",    "no-room",
      "no-upstream", "upstream-dead",       "upstream-gone", "unknown-tag"};
  return kNames[static_cast<size_t>(cause)];
}

}  // namespace poplarsail::flows
