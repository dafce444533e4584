#include "entry/metrics.h"

#include <utility>
#include <vector>

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

namespace poplarsail::entry {

namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

ClientMetric CounterMetric(double value) {
  ClientMetric metric;
  metric.counter.value = value;
  return metric;
}

MetricFamily Counter(const std::string& name,
                     const std::string& help,
                     double value) {
  return {name, help, MetricType::Counter, {CounterMetric(value)}};
}

MetricFamily Gauge(const std::string& name,
                   const std::string& help,
                   double value) {
  ClientMetric metric;
  metric.gauge.value = value;
  return {name, help, MetricType::Gauge, {metric}};
}

// Counts by one label.
MetricFamily Labelled(
    const std::string& name,
    const std::string& help,
    const std::string& label,
    const std::vector<std::pair<std::string, uint64_t>>& counts) {
  MetricFamily family{name, help, MetricType::Counter, {}};
  for (const auto& [value, count] : counts) {
    ClientMetric metric = CounterMetric(static_cast<double>(count));
    metric.label.push_back({label, value});
    family.metric.push_back(metric);
  }
  return family;
}

MetricFamily Decisions(const PacketCounts& counts) {
  std::vector<std::pair<std::string, uint64_t>> by_reason;
  for (size_t i = 0; i < counts.by_reason.size(); ++i) {
    by_reason.emplace_back(flows::ToString(static_cast<flows::Reason>(i)),
                           counts.by_reason[i]);
  }
  return Labelled("poplarsail_packets_total",
                  "Packets by the reason of the decision on them.", "reason",
                  by_reason);
}

// Counters without labels.
std::vector<MetricFamily> CountersOf(const MetricSources& sources) {
  struct Row {
    const char* name;
    const char* help;
    uint64_t value;
  };
  const PacketCounts& packets = *sources.packets;
  const Row rows[] = {
      {"poplarsail_malformed_packets_total",
       "Datagrams that are no whole packet.", packets.malformed},
      {"poplarsail_stale_packets_total",
       "Opening packets that waited while the host stood still.",
       packets.stale},
      {"poplarsail_upstream_checks_total",
       "Connections made to see whether an upstream answers.", packets.checks},
      {"poplarsail_failed_upstream_checks_total", "Checks without an answer.",
       packets.failed_checks},
      {"poplarsail_inconclusive_upstream_checks_total",
       "Checks while this host got no answer from others either.",
       packets.inconclusive_checks},
      {"poplarsail_unsent_packets_total",
       "Datagrams that the system did not take.", packets.unsent},
      {"poplarsail_malformed_objects_total",
       "Objects of the store that could not be used.",
       sources.store->malformed_objects},
  };
  std::vector<MetricFamily> families;
  for (const Row& row : rows) {
    families.push_back(
        Counter(row.name, row.help, static_cast<double>(row.value)));
  }
  return families;
}

}  // namespace

std::string FormatMetrics(const MetricSources& sources) {
  const cluster_state::ClusterState& cluster_state = *sources.cluster_state;
  const double version =
      cluster_state.configuration()
          ? static_cast<double>(cluster_state.configuration()->version)
          : 0.0;
  std::vector<MetricFamily> families = CountersOf(sources);
  families.push_back(Decisions(*sources.packets));
  families.push_back(Labelled("poplarsail_store_calls_total",
                              "Calls to the store by outcome.", "outcome",
                              {{"answered", sources.store->answered},
                               {"refused", sources.store->refused},
                               {"failed", sources.store->failed}}));
  families.push_back(Labelled("poplarsail_peer_questions_total",
                              "Questions to other entry hosts by outcome.",
                              "outcome",
                              {{"newer", sources.peers->answered_newer},
                               {"failed", sources.peers->failed}}));
  families.push_back(Labelled("poplarsail_whole_beliefs_total",
                              "Whole beliefs that other entry hosts asked for.",
                              "outcome",
                              {{"sent", sources.peers->wholes_sent},
                               {"refused", sources.peers->wholes_refused}}));
  families.push_back(sources.steering->handshake_times().Collect(
      "poplarsail_opening_seconds",
      "From an opening packet to the first packet on the open flow."));
  families.push_back(sources.steering->response_times().Collect(
      "poplarsail_response_seconds",
      "From a request's first packet to the first sign of its answer."));
  families.push_back(
      Gauge("poplarsail_observed_flows", "Flows with a record.",
            static_cast<double>(sources.steering->flow_table().size())));
  families.push_back(Gauge("poplarsail_configuration_version",
                           "Version of the configuration in force.", version));
  families.push_back(Gauge("poplarsail_upstreams", "Upstreams that are known.",
                           static_cast<double>(cluster_state.upstreams().size())));
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace poplarsail::entry
