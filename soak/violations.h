#ifndef SOAK_VIOLATIONS_H_
#define SOAK_VIOLATIONS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace poplarsail::soak {

// The promises that are checked, from what callers and upstreams see.
enum class Promise : uint8_t {
  // An answer is whole and belongs to its request.
  kNoMixedAnswer,
  // A request is run by a service that its listener allows.
  kNoCrossedService,
  // A request that may not be repeated runs once at the most.
  kRunOnce,
  // An open flow is not reset while its upstream lives undisturbed.
  kFlowKept,
  // No new flow reaches an upstream that drains, after the bound.
  kDrained,
  // No new flow reaches an upstream that is taken out, after the bound.
  kTakenOut,
  // No new flow uses a listener that was removed, after the bound.
  kConfigured,
  // Service is back after the loss of all processes.
  kRecovered,
  // A process ends only when told to, in time and with exit code 0.
  kProcessSound,
  // Memory stays bounded.
  kMemoryBounded,
};

std::string Name(Promise promise);

// What was broken, with a detail for the log.
class Violations {
 public:
  void Report(Promise promise, const std::string& detail);

  size_t count() const { return m_count; }
  const std::map<std::string, std::vector<std::string>>& details() const {
    return m_details;
  }

 private:
  size_t m_count = 0;
  std::map<std::string, std::vector<std::string>> m_details;
};

// Which requests ran where, over all upstreams.
class ExecutionCounter {
 public:
  // Returns how often the request has run by now.
  int RecordExecution(const std::string& request_id) { return ++m_runs[request_id]; }

 private:
  std::map<std::string, int> m_runs;
};

}  // namespace poplarsail::soak

#endif  // SOAK_VIOLATIONS_H_
