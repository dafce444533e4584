#include "entry/metrics.h"

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

MetricFamily Decisions(const PacketCounts& counts) {
  MetricFamily family{"poplarsail_packets_total",
                      "Packets by the reason of the decision on them.",
                      MetricType::Counter,
                      {}};
  for (size_t i = 0; i < counts.by_reason.size(); ++i) {
    ClientMetric metric =
        CounterMetric(static_cast<double>(counts.by_reason[i]));
    metric.label.push_back({"reason", std::string(flows::ToString(
                                          static_cast<flows::Reason>(i)))});
    family.metric.push_back(metric);
  }
  return family;
}

}  // namespace

std::string FormatMetrics(const MetricSources& sources) {
  const belief::Belief& belief = *sources.belief;
  const double version =
      belief.configuration()
          ? static_cast<double>(belief.configuration()->version)
          : 0.0;
  const std::vector<MetricFamily> families = {
      Decisions(*sources.packets),
      Counter("poplarsail_malformed_packets_total",
              "Datagrams that are no whole packet.",
              static_cast<double>(sources.packets->malformed)),
      Counter("poplarsail_stale_packets_total",
              "Opening packets that waited while the host stood still.",
              static_cast<double>(sources.packets->stale)),
      Counter("poplarsail_upstream_checks_total",
              "Connections made to see whether an upstream answers.",
              static_cast<double>(sources.packets->checks)),
      Counter("poplarsail_failed_upstream_checks_total",
              "Checks without an answer.",
              static_cast<double>(sources.packets->failed_checks)),
      Counter("poplarsail_unsent_packets_total",
              "Datagrams that the system did not take.",
              static_cast<double>(sources.packets->unsent)),
      Gauge("poplarsail_observed_flows", "Flows with a record.",
            static_cast<double>(sources.steering->flow_table().size())),
      Gauge("poplarsail_configuration_version",
            "Version of the configuration in force.", version),
      Gauge("poplarsail_upstreams", "Upstreams that are known.",
            static_cast<double>(belief.upstreams().size())),
  };
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace poplarsail::entry
