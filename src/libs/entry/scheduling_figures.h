#ifndef ENTRY_SCHEDULING_FIGURES_H_
#define ENTRY_SCHEDULING_FIGURES_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "model/model.h"
#include "telemetry/telemetry.h"

namespace poplarsail::entry {

// A scheduler that runs on this host.
struct SchedulerGauges {
  std::string service;
  uint32_t places = 0;
  uint32_t outstanding = 0;
  uint32_t waiting = 0;

  friend bool operator==(const SchedulerGauges&,
                         const SchedulerGauges&) = default;
};

// Counters and gauges of flow scheduling for the metrics page.
struct SchedulingFigures {
  uint64_t sent_requests = 0;
  uint64_t granted = 0;
  uint64_t queued = 0;
  std::map<std::string, uint64_t> refused_by_reason;
  std::map<std::string, uint64_t> placed_locally_by_cause;
  // By schedulers on this host.
  uint64_t forwarded = 0;
  uint64_t dropped_messages = 0;
  std::vector<SchedulerGauges> schedulers;
  // Waits of granted requests at schedulers on this host, by listener.
  std::map<model::Ipv4Endpoint, telemetry::LatencyHistogram> waits;
};

}  // namespace poplarsail::entry

#endif  // ENTRY_SCHEDULING_FIGURES_H_
