#ifndef EMULATOR_REPORT_OUTPUT_H_
#define EMULATOR_REPORT_OUTPUT_H_

#include <string>
#include <vector>

#include "emulator/recorder.h"

namespace poplarsail::emulator {

// The report of one scenario with one placement policy.
struct Result {
  std::string scenario;
  std::string policy;
  Report report;
};

void PrintTable(const std::vector<Result>& results);

// One line for each run, with figures of all its requests, and one for each
// kind of requests.
void PrintLoadTable(const std::vector<Result>& results);

void PrintJson(const std::vector<Result>& results);

// Writes one plot per scenario: the mean utility by window for each placement
// policy.
void WritePlots(const std::vector<Result>& results,
                const std::string& directory);

}  // namespace poplarsail::emulator

#endif  // EMULATOR_REPORT_OUTPUT_H_
