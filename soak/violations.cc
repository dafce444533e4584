#include "soak/violations.h"

#include <array>

namespace poplarsail::soak {

namespace {

// Maximum number of details kept per invariant.
constexpr size_t kMaxDetails = 5;

}  // namespace

std::string Name(Invariant invariant) {
  static constexpr std::array<const char*, 10> kNames = {
      "mixed-answer", "crossed-service", "run-twice",  "flow-cut",
      "not-drained",  "not-taken-out",   "old-config", "not-recovered",
      "process",      "memory"};
  return kNames[static_cast<size_t>(invariant)];
}

void Violations::Report(Invariant invariant, const std::string& detail) {
  ++m_count;
  std::vector<std::string>& details = m_details[Name(invariant)];
  if (details.size() < kMaxDetails) {
    details.push_back(detail);
  }
}

}  // namespace poplarsail::soak
