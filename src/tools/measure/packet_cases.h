#ifndef MEASURE_PACKET_CASES_H_
#define MEASURE_PACKET_CASES_H_

#include <string>
#include <vector>

#include "measure/fleet_simulation.h"

namespace poplarsail::measure {

// One row of the table of cases.
struct PacketCase {
  std::string name;
  std::vector<FleetEvent> events;
  // Changes that operators planned; broken flows are weighed against them.
  int planned_changes = 0;
  // Planned changes must break no flow. False where hosts fail or domains are
  // cut off, which the brief lists among failures, not among planned changes.
  bool is_planned = true;
  int64_t length_ms = 90'000;
};

const std::vector<PacketCase>& PacketCases();

}  // namespace poplarsail::measure

#endif  // MEASURE_PACKET_CASES_H_
