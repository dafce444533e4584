#ifndef ENTRY_ENTRY_DAEMON_H_
#define ENTRY_ENTRY_DAEMON_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "entry/entry_settings.h"
#include "entry/flow_codec.h"
#include "entry/state_store.h"
#include "entry/stop_policy.h"

namespace poplarsail::entry {

// Adapters to the platform that the daemon runs on.
struct EntryPlatform {
  std::unique_ptr<FlowCodec> codec;
  std::unique_ptr<StateStore> store;
  // HTTP path of the readiness check that the fabric sends.
  std::string readiness_path;
};

// Forwards the flows of one entry host until SIGTERM. Single-threaded: handling
// a packet takes microseconds, less than waking up another thread would.
class EntryDaemon {
 public:
  // Reloads `settings_path`, which contained `settings_text`, on SIGHUP and
  // when the file changes.
  EntryDaemon(boost::asio::io_context* context,
              const std::string& settings_path,
              const std::string& settings_text,
              const EntrySettings& settings,
              EntryPlatform platform);
  ~EntryDaemon();

  // Blocks until the daemon has stopped and returns the exit code.
  int Run();

 private:
  struct Components;

  void StartServers();
  void StartStoreWatchers();
  void StartTimers();
  void StartSignals();
  void Reload();
  void ReloadIfChanged();
  void OnClusterStateChange();
  // Tells the steering which kinds of objects are current. Returns whether one
  // has become so.
  bool UpdateCurrency();
  void LogReadiness();
  void LogConfigurationInForce();
  std::string MetricsText() const;
  bool IsStoreUnreachable() const;
  void OnTick();
  // Exchanges overdue requests with the other hosts and judges the upstreams.
  void JudgeUpstreams(cluster_state::SteadyTime now);
  void Stop();
  // Stops once the host gets no more packets, or at the latest time for it.
  void StopWhenQuiet();

  boost::asio::io_context* m_context;
  std::string m_settings_path;
  std::string m_settings_text;
  EntrySettings m_settings;
  EntryPlatform m_platform;
  std::unique_ptr<Components> m_components;
  bool m_is_stopping = false;
  StopPolicy m_stop_policy;
  bool m_was_ready = false;
  int64_t m_logged_configuration = 0;
};

}  // namespace poplarsail::entry

#endif  // ENTRY_ENTRY_DAEMON_H_
