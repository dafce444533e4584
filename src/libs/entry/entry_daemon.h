#ifndef ENTRY_ENTRY_DAEMON_H_
#define ENTRY_ENTRY_DAEMON_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "entry/entry_settings.h"
#include "entry/flow_codec.h"
#include "entry/state_store.h"

namespace poplarsail::entry {

// What stands between the daemon and the platform that it runs on.
struct EntryPlatform {
  std::unique_ptr<FlowCodec> codec;
  std::unique_ptr<StateStore> store;
  // Path at which the fabric asks for readiness.
  std::string readiness_path;
};

// Serves the flows of one entry host until SIGTERM. One thread: a packet takes
// microseconds and each wake-up of a further thread would cost more than it.
class EntryDaemon {
 public:
  // `settings_path` is read again on SIGHUP and when the file changes.
  EntryDaemon(boost::asio::io_context* context,
              const std::string& settings_path,
              const EntrySettings& settings,
              EntryPlatform platform);
  ~EntryDaemon();

  // Returns the exit code.
  int Run();

 private:
  struct Parts;

  void StartServers();
  void StartFollowers();
  void StartTimers();
  void StartSignals();
  void Reload();
  void ReloadIfChanged();
  void BeliefChanged();
  void LogReadiness();
  void Tick();
  void Stop();

  boost::asio::io_context* m_context;
  std::string m_settings_path;
  std::string m_settings_text;
  EntrySettings m_settings;
  EntryPlatform m_platform;
  std::unique_ptr<Parts> m_parts;
  bool m_is_stopping = false;
  bool m_was_ready = false;
};

}  // namespace poplarsail::entry

#endif  // ENTRY_ENTRY_DAEMON_H_
