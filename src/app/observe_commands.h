#ifndef APP_OBSERVE_COMMANDS_H_
#define APP_OBSERVE_COMMANDS_H_

#include <cxxopts.hpp>

namespace poplarsail::app {

void AddExplainOptions(cxxopts::Options* options);
int RunExplain(const cxxopts::ParseResult& arguments);

void AddReportOptions(cxxopts::Options* options);
int RunReport(const cxxopts::ParseResult& arguments);

}  // namespace poplarsail::app

#endif  // APP_OBSERVE_COMMANDS_H_
