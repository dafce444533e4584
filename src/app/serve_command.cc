#include "app/serve_command.h"

#include <boost/asio/io_context.hpp>
#include <string>

#include <fmt/format.h>

#include "app/commands.h"
#include "entry/entry.h"
#include "platform/platform.h"

namespace poplarsail::app {

void AddServeOptions(cxxopts::Options* options) {
  options->add_options()("settings", "Settings file of this entry host (INI)",
                         cxxopts::value<std::string>())(
      "check", "Check the settings file and exit");
}

int RunServe(const cxxopts::ParseResult& arguments) {
  if (arguments.count("settings") == 0) {
    throw UsageError("Give the settings file with --settings host.ini.");
  }
  const auto path = arguments["settings"].as<std::string>();
  const entry::EntrySettings settings = entry::LoadEntrySettings(path);
  if (arguments.count("check") > 0) {
    fmt::print("{}: the settings are good\n", path);
    return kExitSuccess;
  }
  boost::asio::io_context context(1);
  entry::EntryDaemon daemon(&context, path, settings,
                            platform::MakeEntryPlatform(&context, settings));
  return daemon.Run();
}

}  // namespace poplarsail::app
