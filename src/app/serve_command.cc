#include "app/serve_command.h"

#include <boost/asio/io_context.hpp>
#include <string>

#include <fmt/format.h>

#include "app/commands.h"
#include "app/daemon_options.h"
#include "daemon_process/daemon_process.h"
#include "entry/entry.h"
#include "platform/platform.h"

namespace poplarsail::app {

namespace {

// Reports as errors also what the daemon would start with.
int CheckSettings(const cxxopts::ParseResult& arguments) {
  const std::string path = SettingsPath(arguments);
  entry::SettingWarnings warnings;
  entry::LoadEntrySettings(path, &warnings);
  for (const model::SettingWarning& warning : warnings) {
    fmt::print(stderr, "{}: key \"{}\": \"{}\" can't be used; {} would be\n",
               path, warning.key, warning.value, warning.used);
  }
  if (!warnings.empty()) {
    return kExitFailure;
  }
  IsCheckOnly(arguments);
  return kExitSuccess;
}

}  // namespace

int RunServe(const cxxopts::ParseResult& arguments) {
  daemon_process::Prepare();
  const std::string path = SettingsPath(arguments);
  if (arguments.count("check") > 0) {
    return CheckSettings(arguments);
  }
  boost::asio::io_context context(1);
  const auto daemon = entry::StartDaemon(
      &context, path, [&context](const entry::EntrySettings& settings) {
        return platform::MakeEntryPlatform(&context, settings);
      });
  return daemon ? daemon->Run() : kExitSuccess;
}

}  // namespace poplarsail::app
