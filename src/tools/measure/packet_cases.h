#ifndef MEASURE_PACKET_CASES_H_
#define MEASURE_PACKET_CASES_H_

#include <string>
#include <vector>

#include "measure/fleet_simulation.h"

namespace poplarsail::measure {

// A sequence of fleet events to simulate.
struct PacketCase {
  std::string name;
  std::vector<FleetEvent> events;
  // Number of planned operator changes; broken flows are reported per change.
  int planned_changes = 0;
  // Planned changes must not break any flow. False for host failures and domain
  // partitions, which the requirements list as failures, not as planned
  // changes.
  bool is_planned = true;
  int64_t length_ms = 90'000;
};

const std::vector<PacketCase>& PacketCases();

}  // namespace poplarsail::measure

#endif  // MEASURE_PACKET_CASES_H_
