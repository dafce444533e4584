#include "flows/loss_counts.h"

namespace poplarsail::flows {

std::string_view ToString(LossCause cause) {
  static constexpr std::array<std::string_view, kLossCauseCount> kNames = {
      "late",        "refused-by-upstream", "unanswered",    "no-room",
      "no-upstream", "upstream-dead",       "upstream-gone", "unknown-tag"};
  return kNames[static_cast<size_t>(cause)];
}

void LossCounts::RemoveUnknown(const RoutingTable& routing_table) {
  std::erase_if(m_counts, [&routing_table](const auto& item) {
    return routing_table.FindListener(item.first) == nullptr;
  });
}

}  // namespace poplarsail::flows
