#ifndef SOAK_VIOLATIONS_H_
#define SOAK_VIOLATIONS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace poplarsail::soak {

// The checked invariants, as observed by clients and upstreams.
enum class Invariant : uint8_t {
  // A response is complete and belongs to its request.
  kResponseIntact,
  // A request runs on the service of its listener.
  kServiceIsolation,
  // A non-idempotent request runs at most once.
  kAtMostOnce,
  // An open flow is not reset while its upstream runs without a fault.
  kFlowContinuity,
  // A draining upstream gets no new flows after kDrainBound.
  kDrainHonored,
  // An upstream in an evacuated failure domain gets no new flows after
  // kEvacuationBound.
  kEvacuationHonored,
  // A removed listener accepts no new flows after kConfigurationBound.
  kListenerRemovalHonored,
  // Requests succeed again after all daemons were killed.
  kRecovery,
  // A daemon exits only on request, within kStopGrace and with exit code 0.
  kProcessLifecycle,
  // The resident memory of a daemon stays below a fixed limit.
  kMemoryBounded,
};

std::string Name(Invariant invariant);

// Collects the violations of invariants, with details for the log.
class Violations {
 public:
  void Report(Invariant invariant, const std::string& detail);

  size_t count() const { return m_count; }
  const std::map<std::string, std::vector<std::string>>& details() const {
    return m_details;
  }

 private:
  size_t m_count = 0;
  std::map<std::string, std::vector<std::string>> m_details;
};

// Counts the executions of each request over all upstreams.
class ExecutionCounter {
 public:
  // Returns the number of executions so far, including this one.
  int RecordExecution(const std::string& request_id) {
    return ++m_counts[request_id];
  }

 private:
  std::map<std::string, int> m_counts;
};

}  // namespace poplarsail::soak

#endif  // SOAK_VIOLATIONS_H_
