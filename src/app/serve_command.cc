#include "app/serve_command.h"

#include <boost/asio/io_context.hpp>
#include <string>

#include "app/commands.h"
#include "app/daemon_options.h"
#include "entry/entry.h"
#include "platform/platform.h"

namespace poplarsail::app {

int RunServe(const cxxopts::ParseResult& arguments) {
  const std::string path = SettingsPath(arguments);
  if (arguments.count("check") > 0) {
    entry::LoadEntrySettings(path);
    IsCheckOnly(arguments);
    return kExitSuccess;
  }
  boost::asio::io_context context(1);
  const auto daemon = entry::StartDaemon(
      &context, path, [&context](const entry::EntrySettings& settings) {
        return platform::MakeEntryPlatform(&context, settings);
      });
  return daemon ? daemon->Run() : kExitSuccess;
}

}  // namespace poplarsail::app
