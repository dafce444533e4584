#ifndef ENTRY_METRICS_H_
#define ENTRY_METRICS_H_

#include <string>

#include "cluster_state/cluster_state.h"
#include "entry/packet_loop.h"
#include "entry/peer_exchange.h"
#include "entry/state_store.h"
#include "flows/flows.h"

namespace poplarsail::entry {

// What the metrics are read from.
struct MetricSources {
  const PacketCounts* packets = nullptr;
  const flows::Steering* steering = nullptr;
  const cluster_state::ClusterState* cluster_state = nullptr;
  const StoreCallCounts* store = nullptr;
  const PeerCounts* peers = nullptr;
};

// Returns all metrics in the text format of Prometheus.
std::string FormatMetrics(const MetricSources& sources);

}  // namespace poplarsail::entry

#endif  // ENTRY_METRICS_H_
