#ifndef ENTRY_SCHEDULING_METRICS_H_
#define ENTRY_SCHEDULING_METRICS_H_

#include <vector>

#include <prometheus/metric_family.h>

#include "entry/scheduling_figures.h"

namespace poplarsail::entry {

std::vector<prometheus::MetricFamily> CollectSchedulingMetrics(
    const SchedulingFigures& figures);

}  // namespace poplarsail::entry

#endif  // ENTRY_SCHEDULING_METRICS_H_
