#include "app/daemon_options.h"

#include <fmt/format.h>

#include "app/commands.h"

namespace poplarsail::app {

void AddDaemonOptions(cxxopts::Options* options) {
  options->add_options()("settings", "Settings file of this entry host (INI)",
                         cxxopts::value<std::string>())(
      "check", "Check the settings file and exit");
}

std::string SettingsPath(const cxxopts::ParseResult& arguments) {
  if (arguments.count("settings") == 0) {
    throw UsageError("Specify the settings file with --settings host.ini.");
  }
  return arguments["settings"].as<std::string>();
}

bool IsCheckOnly(const cxxopts::ParseResult& arguments) {
  const bool is_check_only = arguments.count("check") > 0;
  if (is_check_only) {
    fmt::print("{}: the settings are valid\n", SettingsPath(arguments));
  }
  return is_check_only;
}

}  // namespace poplarsail::app
