#ifndef APP_OBJECT_COMMANDS_H_
#define APP_OBJECT_COMMANDS_H_

#include <cxxopts.hpp>

namespace poplarsail::app {

// Adds --api and --file, which are shared by the commands below.
void AddApiOptions(cxxopts::Options* options);

int RunApply(const cxxopts::ParseResult& arguments);
int RunDelete(const cxxopts::ParseResult& arguments);
int RunDiff(const cxxopts::ParseResult& arguments);
int RunGet(const cxxopts::ParseResult& arguments);
int RunStatus(const cxxopts::ParseResult& arguments);
int RunValidate(const cxxopts::ParseResult& arguments);
int RunWatch(const cxxopts::ParseResult& arguments);

}  // namespace poplarsail::app

#endif  // APP_OBJECT_COMMANDS_H_
