#ifndef APP_DAEMON_OPTIONS_H_
#define APP_DAEMON_OPTIONS_H_

#include <string>

#include <cxxopts.hpp>

namespace poplarsail::app {

// Options of the commands that run an entry host.
void AddDaemonOptions(cxxopts::Options* options);

// The settings file. Throws UsageError where none is given.
std::string SettingsPath(const cxxopts::ParseResult& arguments);

// Whether the settings, which were found good, are only to be checked; says so.
bool IsCheckOnly(const cxxopts::ParseResult& arguments);

}  // namespace poplarsail::app

#endif  // APP_DAEMON_OPTIONS_H_
