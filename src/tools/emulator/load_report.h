#ifndef EMULATOR_LOAD_REPORT_H_
#define EMULATOR_LOAD_REPORT_H_

#include <string>
#include <vector>

#include "emulator/request_outcome.h"
#include "emulator/scenario.h"
#include "emulator/upstream_totals.h"

namespace poplarsail::emulator {

// Shares are of the requests of the kind, times of the answered ones.
struct KindReport {
  std::string name;
  double in_target = 0;
  double p50_ms = 0;
  double p99_ms = 0;
  double refused = 0;
  double failed = 0;

  friend bool operator==(const KindReport&, const KindReport&) = default;
};

// How a run went in the busy period of its scenario.
struct LoadReport {
  std::vector<KindReport> kinds;
  // Over the requests of all kinds.
  KindReport all;
  // Requests that upstreams rejected, as a share of those that reached them.
  double sheds_per_arrival = 0;
  // Work of the requests answered before their timeouts, relative to the
  // capacity of the upstreams.
  double goodput = 0;
  // The same for requests answered within their latency targets.
  double goodput_in_target = 0;
  // Work by speed of the busiest upstream, relative to the mean.
  double busiest_over_mean = 0;
  double refusal_p99_ms = 0;

  friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

// `begin` and `end`: totals at the begin and end of the busy period.
LoadReport SummarizeLoad(const Scenario& scenario,
                         const std::vector<RequestOutcome>& outcomes,
                         const UpstreamTotals& begin,
                         const UpstreamTotals& end);

}  // namespace poplarsail::emulator

#endif  // EMULATOR_LOAD_REPORT_H_
