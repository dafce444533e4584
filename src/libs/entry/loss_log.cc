#include "entry/loss_log.h"

#include <algorithm>
#include <string>

#include "telemetry/telemetry.h"

namespace poplarsail::entry {

void LossLog::Update(const flows::LossCounts& counts, flows::SteadyTime now) {
  if (now < m_next_update) {
    return;
  }
  m_next_update = now + kLossLogInterval;
  std::erase_if(m_logged, [&counts](const auto& item) {
    return !counts.by_listener().contains(item.first);
  });
  size_t lines = 0;
  for (const auto& [listener, by_cause] : counts.by_listener()) {
    flows::LossCounts::ByCause& logged = m_logged[listener];
    for (size_t i = 0; i < by_cause.size(); ++i) {
      // The counts of a listener that was removed and added again begin at 0.
      logged[i] = std::min(logged[i], by_cause[i]);
      if (by_cause[i] == logged[i] || lines >= kMaxLossLines) {
        continue;
      }
      ++lines;
      telemetry::Log(
          telemetry::LogLevel::kInfo, "packets", "requests lost",
          {{"listener", model::ToString(listener)},
           {"cause",
            std::string(flows::ToString(static_cast<flows::LossCause>(i)))},
           {"count", std::to_string(by_cause[i] - logged[i])}});
      logged[i] = by_cause[i];
    }
  }
}

}  // namespace poplarsail::entry
