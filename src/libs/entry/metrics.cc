#include "entry/metrics.h"

#include <utility>
#include <vector>

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include "entry/scheduling_metrics.h"

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

// A counter family with one label.
MetricFamily LabelledCounter(
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

MetricFamily ResponseAges(const MetricSources& sources) {
  MetricFamily family{"poplarsail_store_response_age_seconds",
                      "Time since the last usable response of the store.",
                      MetricType::Gauge,
                      {}};
  for (const auto& [kind, age] : sources.store_response_ages) {
    ClientMetric metric;
    metric.gauge.value = std::chrono::duration<double>(age).count();
    metric.label.push_back({"kind", kind});
    family.metric.push_back(metric);
  }
  return family;
}

MetricFamily DecisionCounters(const PacketCounts& counts) {
  std::vector<std::pair<std::string, uint64_t>> by_reason;
  for (size_t i = 0; i < counts.by_reason.size(); ++i) {
    by_reason.emplace_back(flows::ToString(static_cast<flows::Reason>(i)),
                           counts.by_reason[i]);
  }
  return LabelledCounter("poplarsail_packets_total",
                         "Packets by reason of the decision.", "reason",
                         by_reason);
}

MetricFamily LossCounters(const flows::LossCounts& losses) {
  MetricFamily family{
      "poplarsail_lost_requests_total",
      "Requests that were not answered in time, as this host sees them.",
      MetricType::Counter,
      {}};
  for (const auto& [listener, by_cause] : losses.by_listener()) {
    for (size_t i = 0; i < by_cause.size(); ++i) {
      if (by_cause[i] == 0) {
        continue;
      }
      ClientMetric metric = CounterMetric(static_cast<double>(by_cause[i]));
      metric.label.push_back({"listener", model::ToString(listener)});
      metric.label.push_back({"cause", std::string(flows::ToString(
                                           static_cast<flows::LossCause>(i)))});
      family.metric.push_back(metric);
    }
  }
  return family;
}

// The counters without labels.
std::vector<MetricFamily> UnlabelledCounters(const MetricSources& sources) {
  struct Row {
    const char* name;
    const char* help;
    uint64_t value;
  };
  const PacketCounts& packets = *sources.packets;
  const Row rows[] = {
      {"poplarsail_malformed_packets_total",
       "Datagrams that could not be decoded as a packet.", packets.malformed},
      {"poplarsail_stale_packets_total",
       "SYN packets dropped because they were queued while the host was "
       "stalled.",
       packets.stale},
      {"poplarsail_upstream_checks_total",
       "Checks of upstreams by opening a connection.", packets.checks},
      {"poplarsail_failed_upstream_checks_total",
       "Upstream checks without a response.", packets.failed_checks},
      {"poplarsail_refused_upstream_checks_total",
       "Upstream checks whose connection was refused.", packets.refused_checks},
      {"poplarsail_inconclusive_upstream_checks_total",
       "Upstream checks without a result because this host did not receive "
       "responses in time.",
       packets.inconclusive_checks},
      {"poplarsail_unsent_packets_total",
       "Datagrams dropped because the system did not accept them for sending.",
       packets.unsent},
      {"poplarsail_malformed_objects_total",
       "Objects of the store that could not be used.",
       sources.store->malformed_objects},
      {"poplarsail_store_unusable_eras_total",
       "Responses of the store that were not used because of their era.",
       sources.store->unusable_eras},
      {"poplarsail_handler_errors_total",
       "Exceptions that handlers of the event loop have thrown.",
       sources.handler_errors},
      {"poplarsail_log_dropped_lines_total",
       "Log lines that could not be written and were dropped.",
       sources.log->dropped_lines},
      {"poplarsail_log_failed_writes_total",
       "Writes of the log that failed for another reason than a slow reader.",
       sources.log->failed_writes},
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
  std::vector<MetricFamily> families = UnlabelledCounters(sources);
  families.push_back(DecisionCounters(*sources.packets));
  families.push_back(LossCounters(sources.steering->losses()));
  families.push_back(LabelledCounter("poplarsail_store_calls_total",
                                     "Calls to the store by outcome.",
                                     "outcome",
                                     {{"answered", sources.store->answered},
                                      {"refused", sources.store->refused},
                                      {"failed", sources.store->failed}}));
  families.push_back(LabelledCounter("poplarsail_peer_questions_total",
                                     "Queries to other entry hosts by outcome.",
                                     "outcome",
                                     {{"newer", sources.peers->newer_responses},
                                      {"failed", sources.peers->failed}}));
  families.push_back(LabelledCounter(
      "poplarsail_whole_beliefs_total",
      "Requests of other entry hosts for the full cluster state by outcome.",
      "outcome",
      {{"sent", sources.peers->full_states_sent},
       {"refused", sources.peers->full_states_refused}}));
  families.push_back(sources.steering->handshake_times().Collect(
      "poplarsail_opening_seconds",
      "Time from a SYN packet to the first packet on the established flow."));
  families.push_back(sources.steering->response_times().Collect(
      "poplarsail_response_seconds",
      "Time from a request's first packet to the first sign of its response."));
  families.push_back(Gauge(
      "poplarsail_observed_flows", "Flows with a record in the flow table.",
      static_cast<double>(sources.steering->flow_table().size())));
  families.push_back(Gauge("poplarsail_configuration_version",
                           "Version of the configuration in force.", version));
  families.push_back(Gauge("poplarsail_store_era",
                           "Latest era of the store; 0 if it states none.",
                           static_cast<double>(sources.store->era)));
  families.push_back(ResponseAges(sources));
  families.push_back(
      Gauge("poplarsail_upstreams", "Upstreams in the cluster state.",
            static_cast<double>(cluster_state.upstreams().size())));
  if (sources.scheduling != nullptr) {
    for (MetricFamily& family : CollectSchedulingMetrics(*sources.scheduling)) {
      families.push_back(std::move(family));
    }
  }
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace poplarsail::entry
