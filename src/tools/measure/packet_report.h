#ifndef MEASURE_PACKET_REPORT_H_
#define MEASURE_PACKET_REPORT_H_

#include <cstdint>
#include <string>

namespace poplarsail::measure {

struct PacketReportOptions {
  // Empty runs all.
  std::string way;
  std::string case_name;
  uint64_t seed = 1;
  double scale = 1;
  // Prints each broken flow.
  bool traces = false;
};

// Runs each way through each case on all processors, prints the table and one
// line of JSON for the chosen way. Returns whether the chosen way broke no flow
// in a planned case.
bool ReportPackets(const PacketReportOptions& options);

}  // namespace poplarsail::measure

#endif  // MEASURE_PACKET_REPORT_H_
