#include "soak/violations.h"

#include <array>

namespace poplarsail::soak {

namespace {

// Details that are kept for each promise.
constexpr size_t kMaxDetails = 5;

}  // namespace

std::string Name(Promise promise) {
  static constexpr std::array<const char*, 10> kNames = {
      "mixed-answer", "crossed-service", "run-twice",  "flow-cut",
      "not-drained",  "not-taken-out",   "old-config", "not-recovered",
      "process",      "memory"};
  return kNames[static_cast<size_t>(promise)];
}

void Violations::Report(Promise promise, const std::string& detail) {
  ++m_count;
  std::vector<std::string>& details = m_details[Name(promise)];
  if (details.size() < kMaxDetails) {
    details.push_back(detail);
  }
}

}  // namespace poplarsail::soak
