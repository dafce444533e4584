#include "app/serve_command.h"

#include <boost/asio/io_context.hpp>
#include <string>

#include "app/commands.h"
#include "app/daemon_options.h"
#include "daemon_process/daemon_process.h"
#include "entry/entry.h"
#include "platform/platform.h"

namespace poplarsail::app {

int RunServe(const cxxopts::ParseResult& arguments) {
  daemon_process::Prepare();
  const std::string path = SettingsPath(arguments);
  const entry::EntrySettings settings = entry::LoadEntrySettings(path);
  if (IsCheckOnly(arguments)) {
    return kExitSuccess;
  }
  boost::asio::io_context context(1);
  entry::EntryDaemon daemon(&context, path, settings,
                            platform::MakeEntryPlatform(&context, settings));
  return daemon.Run();
}

}  // namespace poplarsail::app
