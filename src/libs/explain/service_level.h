#ifndef EXPLAIN_SERVICE_LEVEL_H_
#define EXPLAIN_SERVICE_LEVEL_H_

#include <string>

namespace poplarsail::explain {

// What a daemon served and what failed by its own count, since its start:
// requests of `poplarsail run`, flows of `poplarsail serve`.
struct ServiceCounts {
  double answered = 0;
  double failed = 0;

  friend bool operator==(const ServiceCounts&, const ServiceCounts&) = default;
};

// Reads the counters from a daemon's metrics (Prometheus text).
ServiceCounts ReadServiceCounts(const std::string& metrics);

// What came between two readings; all of `after` where the daemon started anew
// meanwhile.
ServiceCounts Between(const ServiceCounts& before, const ServiceCounts& after);

// How many times faster than the objective allows failures use up the error
// budget: 1 uses all of it, 0 none. `objective` is a share below 1.
double BurnRate(const ServiceCounts& counts, double objective);

}  // namespace poplarsail::explain

#endif  // EXPLAIN_SERVICE_LEVEL_H_
