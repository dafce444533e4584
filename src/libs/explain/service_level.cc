#include "explain/service_level.h"

#include <array>
#include <map>
#include <sstream>
#include <string_view>

namespace poplarsail::explain {

namespace {

// Packet outcomes that count as failures of the system or its upstreams. A flow
// to an unknown listener is an error of the client and is not counted.
constexpr std::array<std::string_view, 3> kFailureReasons = {
    "no-upstream", "upstream-dead", "upstream-gone"};

// Returns the samples of a counter with a single label, keyed by label value.
std::map<std::string, double> ReadCounter(const std::string& metrics,
                                          const std::string& name) {
  std::map<std::string, double> values;
  std::istringstream lines(metrics);
  for (std::string line; std::getline(lines, line);) {
    if (!line.starts_with(name + "{")) {
      continue;
    }
    const size_t open = line.find('"');
    const size_t close = line.find('"', open + 1);
    const size_t space = line.find("} ", close);
    if (space == std::string::npos) {
      continue;
    }
    std::istringstream number(line.substr(space + 2));
    double value = 0;
    if (number >> value) {
      values[line.substr(open + 1, close - open - 1)] = value;
    }
  }
  return values;
}

}  // namespace

ServiceCounts ReadServiceCounts(const std::string& metrics) {
  auto requests = ReadCounter(metrics, "poplarsail_requests_total");
  auto packets = ReadCounter(metrics, "poplarsail_packets_total");
  ServiceCounts counts;
  counts.answered = requests["answered"] + packets["placed"];
  counts.failed = requests["refused"];
  for (const std::string_view reason : kFailureReasons) {
    counts.failed += packets[std::string(reason)];
  }
  return counts;
}

ServiceCounts CountsBetween(const ServiceCounts& before,
                            const ServiceCounts& after) {
  const bool is_restarted =
      after.answered < before.answered || after.failed < before.failed;
  if (is_restarted) {
    return after;
  }
  return {after.answered - before.answered, after.failed - before.failed};
}

double BurnRate(const ServiceCounts& counts, double objective) {
  const double ended = counts.answered + counts.failed;
  return ended > 0 ? counts.failed / ended / (1 - objective) : 0;
}

}  // namespace poplarsail::explain
