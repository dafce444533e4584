#include "entry/scheduling_metrics.h"

#include <string>

namespace poplarsail::entry {

namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

MetricFamily Counter(const std::string& name,
                     const std::string& help,
                     uint64_t value) {
  ClientMetric metric;
  metric.counter.value = static_cast<double>(value);
  return {name, help, MetricType::Counter, {metric}};
}

MetricFamily LabelledCounter(const std::string& name,
                             const std::string& help,
                             const std::string& label,
                             const std::map<std::string, uint64_t>& counts) {
  MetricFamily family{name, help, MetricType::Counter, {}};
  for (const auto& [value, count] : counts) {
    ClientMetric metric;
    metric.counter.value = static_cast<double>(count);
    metric.label.push_back({label, value});
    family.metric.push_back(metric);
  }
  return family;
}

MetricFamily GaugeByService(const std::string& name,
                            const std::string& help,
                            const std::vector<SchedulerGauges>& schedulers,
                            uint32_t SchedulerGauges::*value) {
  MetricFamily family{name, help, MetricType::Gauge, {}};
  for (const SchedulerGauges& scheduler : schedulers) {
    ClientMetric metric;
    metric.gauge.value = scheduler.*value;
    metric.label.push_back({"service", scheduler.service});
    family.metric.push_back(metric);
  }
  return family;
}

MetricFamily Waits(const SchedulingFigures& figures) {
  const std::string name = "poplarsail_scheduling_wait_seconds";
  const std::string help =
      "Waits of granted requests at the schedulers on this host, by listener.";
  MetricFamily all{name, help, MetricType::Histogram, {}};
  for (const auto& [listener, histogram] : figures.waits) {
    MetricFamily family = histogram.Collect(name, help);
    ClientMetric& metric = family.metric.front();
    metric.label.push_back({"listener", model::ToString(listener)});
    all.metric.push_back(metric);
  }
  return all;
}

}  // namespace

std::vector<MetricFamily> CollectSchedulingMetrics(
    const SchedulingFigures& figures) {
  return {
      Counter("poplarsail_scheduling_requests_total",
              "Placement requests sent to schedulers.", figures.sent_requests),
      Counter("poplarsail_scheduling_granted_total",
              "Flows of this host placed by a scheduler.", figures.granted),
      Counter("poplarsail_scheduling_queued_total",
              "Answers to this host that a request waits.", figures.queued),
      Counter("poplarsail_scheduling_forwarded_total",
              "Requests forwarded to schedulers of other failure domains.",
              figures.forwarded),
      Counter("poplarsail_scheduling_dropped_messages_total",
              "Scheduling messages that were invalid or could not be used.",
              figures.dropped_messages),
      LabelledCounter("poplarsail_scheduling_refused_total",
                      "Refusals to this host by reason.", "reason",
                      figures.refused_by_reason),
      LabelledCounter("poplarsail_scheduling_placed_locally_total",
                      "Flows that this host placed without a scheduler.",
                      "cause", figures.placed_locally_by_cause),
      GaugeByService("poplarsail_scheduler_places",
                     "Places in the pool of a scheduler on this host.",
                     figures.schedulers, &SchedulerGauges::places),
      GaugeByService("poplarsail_scheduler_outstanding",
                     "Flows that occupy places of a scheduler on this host.",
                     figures.schedulers, &SchedulerGauges::outstanding),
      GaugeByService("poplarsail_scheduler_waiting",
                     "Requests that wait at a scheduler on this host.",
                     figures.schedulers, &SchedulerGauges::waiting),
      Waits(figures)};
}

}  // namespace poplarsail::entry
