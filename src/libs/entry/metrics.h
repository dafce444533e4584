#ifndef ENTRY_METRICS_H_
#define ENTRY_METRICS_H_

#include <string>
#include <utility>
#include <vector>

#include "cluster_state/cluster_state.h"
#include "entry/packet_loop.h"
#include "entry/peer_exchange.h"
#include "entry/scheduling_figures.h"
#include "entry/state_store.h"
#include "flows/flows.h"
#include "telemetry/telemetry.h"

namespace poplarsail::entry {

// Data sources of the metrics.
struct MetricSources {
  const PacketCounts* packets = nullptr;
  const flows::Steering* steering = nullptr;
  const cluster_state::ClusterState* cluster_state = nullptr;
  const StoreCallCounts* store = nullptr;
  const PeerCounts* peers = nullptr;
  // Time since the last usable response of the store, by kind of objects.
  std::vector<std::pair<std::string, cluster_state::milliseconds>>
      store_response_ages;
  // nullptr if flows are not scheduled.
  const SchedulingFigures* scheduling = nullptr;
  uint64_t handler_errors = 0;
  const telemetry::LogCounts* log = nullptr;
};

// Returns all metrics in the Prometheus text format.
std::string FormatMetrics(const MetricSources& sources);

}  // namespace poplarsail::entry

#endif  // ENTRY_METRICS_H_
