#ifndef MEASURE_PACKET_REPORT_H_
#define MEASURE_PACKET_REPORT_H_

#include <cstdint>
#include <string>

namespace poplarsail::measure {

struct PacketReportOptions {
  // An empty strategy or case name selects all.
  std::string strategy;
  std::string case_name;
  uint64_t seed = 1;
  double scale = 1;
  // Prints each broken flow.
  bool prints_broken_flows = false;
};

// Simulates each strategy in each case on all processors, and prints a table
// and one line of JSON for the production strategy. Returns whether the
// production strategy broke no flow in a planned case.
bool ReportPackets(const PacketReportOptions& options);

}  // namespace poplarsail::measure

#endif  // MEASURE_PACKET_REPORT_H_
