#include "entry/daemon_start.h"

#include <unistd.h>

#include <initializer_list>
#include <optional>
#include <string_view>
#include <system_error>
#include <utility>

#include "entry/start_wait.h"
#include "telemetry/telemetry.h"

namespace poplarsail::entry {

namespace {

using cluster_state::SteadyTime;

SteadyTime Now() {
  return std::chrono::steady_clock::now();
}

bool MayPass(const std::system_error& error) {
  return error.code() == std::errc::address_in_use ||
         error.code() == std::errc::address_not_available;
}

class DaemonStart {
 public:
  DaemonStart(boost::asio::io_context* context,
              std::string settings_path,
              const PlatformFactory* make_platform)
      : m_context(context),
        m_settings_path(std::move(settings_path)),
        m_make_platform(make_platform) {}

  ~DaemonStart() { m_log.Flush(); }

  DaemonStart(const DaemonStart&) = delete;
  DaemonStart& operator=(const DaemonStart&) = delete;

  std::unique_ptr<EntryDaemon> Run() {
    std::unique_ptr<EntryDaemon> daemon = TryToStart();
    while (!daemon && WaitUntil(Now() + kStartAttemptInterval)) {
      daemon = TryToStart();
    }
    if (m_wait && m_wait->IsStopRequested()) {
      Log(telemetry::LogLevel::kInfo, "stopped before the start", {});
      return nullptr;
    }
    return daemon;
  }

 private:
  struct LoadedSettings {
    std::string text;
    EntrySettings settings;
    SettingWarnings warnings;
  };

  // Returns null if an address is not available, or if a signal asks the
  // process to stop.
  std::unique_ptr<EntryDaemon> TryToStart() {
    const std::optional<LoadedSettings> loaded = LoadSettings();
    if (!loaded) {
      return nullptr;
    }
    try {
      auto daemon = std::make_unique<EntryDaemon>(
          m_context, m_settings_path, loaded->text, loaded->settings,
          (*m_make_platform)(loaded->settings));
      LogSettingWarnings(loaded->warnings);
      return daemon;
    } catch (const std::system_error& error) {
      if (!MayPass(error)) {
        throw;
      }
      LogUnavailable(error.what());
      return nullptr;
    }
  }

  // Returns nullopt if a signal asks the process to stop.
  std::optional<LoadedSettings> LoadSettings() {
    const SteadyTime deadline = Now() + kSettingsTimeout;
    bool is_first_attempt = true;
    while (true) {
      try {
        LoadedSettings loaded;
        loaded.text = model::ReadSettingsFile(m_settings_path);
        loaded.settings =
            ParseEntrySettings(loaded.text, m_settings_path, &loaded.warnings);
        return loaded;
      } catch (const model::ValidationError& error) {
        if (Now() >= deadline) {
          throw;
        }
        if (std::exchange(is_first_attempt, false)) {
          Log(telemetry::LogLevel::kWarning, "waiting for valid settings",
              {{"reason", error.what()}});
        }
      }
      if (!WaitUntil(Now() + kSettingsAttemptInterval)) {
        return std::nullopt;
      }
    }
  }

  // Returns false if a signal asks the process to stop.
  bool WaitUntil(SteadyTime deadline) {
    if (!m_wait) {
      m_wait.emplace(m_context);
    }
    return m_wait->WaitUntil(deadline);
  }

  void LogUnavailable(const std::string& reason) {
    if (Now() < m_next_log) {
      return;
    }
    m_next_log = Now() + kStartLogInterval;
    Log(telemetry::LogLevel::kWarning, "waiting for an address",
        {{"reason", reason}});
  }

  // Never waits for the reader of the log.
  void Log(telemetry::LogLevel level,
           std::string_view message,
           std::initializer_list<telemetry::LogField> fields) {
    m_log.Write(
        telemetry::FormatTimestampedLogLine(level, "daemon", message, fields));
    m_log.Flush();
  }

  boost::asio::io_context* m_context;
  // The daemon's own log exists once it is bound to its addresses.
  telemetry::BoundedLogSink m_log{STDOUT_FILENO};
  std::string m_settings_path;
  const PlatformFactory* m_make_platform;
  std::optional<StartWait> m_wait;
  SteadyTime m_next_log = SteadyTime::min();
};

}  // namespace

std::unique_ptr<EntryDaemon> StartDaemon(boost::asio::io_context* context,
                                         const std::string& settings_path,
                                         const PlatformFactory& make_platform) {
  return DaemonStart(context, settings_path, &make_platform).Run();
}

}  // namespace poplarsail::entry
