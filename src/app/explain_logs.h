#ifndef APP_EXPLAIN_LOGS_H_
#define APP_EXPLAIN_LOGS_H_

#include <cxxopts.hpp>

namespace poplarsail::app {

void AddExplainLogsOptions(cxxopts::Options* options);

// Diagnoses the failure of a flow or an upstream from log files, or tabulates
// lost requests.
int ExplainLogs(const cxxopts::ParseResult& arguments);

}  // namespace poplarsail::app

#endif  // APP_EXPLAIN_LOGS_H_
