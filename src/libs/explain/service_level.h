#ifndef EXPLAIN_SERVICE_LEVEL_H_
#define EXPLAIN_SERVICE_LEVEL_H_

#include <string>

namespace poplarsail::explain {

// Successes and failures counted by a daemon since its start: requests for
// `poplarsail run`, flows for `poplarsail serve`.
struct ServiceCounts {
  double answered = 0;
  double failed = 0;

  friend bool operator==(const ServiceCounts&, const ServiceCounts&) = default;
};

// Parses the counters from a daemon's metrics in Prometheus text format.
ServiceCounts ReadServiceCounts(const std::string& metrics);

// Returns the difference of two readings, or `after` if the counters were reset
// by a restart of the daemon in between.
ServiceCounts CountsBetween(const ServiceCounts& before,
                            const ServiceCounts& after);

// Returns the rate at which failures consume the error budget, relative to the
// rate that the objective allows: at 1 the budget is used up exactly, at 0 not
// at all. `objective` is a fraction below 1.
double BurnRate(const ServiceCounts& counts, double objective);

}  // namespace poplarsail::explain

#endif  // EXPLAIN_SERVICE_LEVEL_H_
