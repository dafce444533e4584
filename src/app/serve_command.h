#ifndef APP_SERVE_COMMAND_H_
#define APP_SERVE_COMMAND_H_

#include <cxxopts.hpp>

namespace poplarsail::app {

int RunServe(const cxxopts::ParseResult& arguments);

}  // namespace poplarsail::app

#endif  // APP_SERVE_COMMAND_H_
