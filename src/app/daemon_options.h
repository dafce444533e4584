#ifndef APP_DAEMON_OPTIONS_H_
#define APP_DAEMON_OPTIONS_H_

#include <string>

#include <cxxopts.hpp>

namespace poplarsail::app {

// Adds the options shared by the commands that run an entry host's daemon.
void AddDaemonOptions(cxxopts::Options* options);

// Returns the path of the settings file. Throws UsageError if none is given.
std::string SettingsPath(const cxxopts::ParseResult& arguments);

// Whether "--check" was given. Call after validating the settings: prints that
// they are valid.
bool IsCheckOnly(const cxxopts::ParseResult& arguments);

}  // namespace poplarsail::app

#endif  // APP_DAEMON_OPTIONS_H_
