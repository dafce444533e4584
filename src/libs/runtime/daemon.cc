#include "runtime/daemon.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <memory>
#include <thread>
#include <utility>

#include "daemon_process/daemon_process.h"
#include "objects/objects.h"
#include "runtime/admin_server.h"
#include "runtime/control_worker.h"
#include "runtime/membership_worker.h"
#include "runtime/packet_worker.h"
#include "runtime/request_worker.h"

namespace poplarsail::runtime {

namespace {

using telemetry::Log;
using telemetry::LogLevel;

constexpr std::chrono::milliseconds kStoreCallTimeout{2'000};
constexpr int kForcedExitCode = 1;

// Owns the workers and runs each in a thread of its own.
class Daemon {
 public:
  explicit Daemon(const model::Settings& settings)
      : m_settings(settings),
        m_packets(settings),
        m_membership(settings, &m_packets),
        m_requests(settings),
        m_control(
            settings,
            std::make_unique<objects::HttpObjectStore>(settings.object_api,
                                                       kStoreCallTimeout),
            &m_packets,
            &m_membership,
            &m_requests),
        m_admin(settings, &m_packets, AllCounters(), [this] {
          return m_control.is_ready() && !m_is_stopping.load();
        }) {}

  void Run() {
    // The settings are read at the start only.
    std::signal(SIGHUP, SIG_IGN);
    daemon_process::UnblockSignals();
    std::thread packets([this] { m_packets.Run(m_stop_packets); });
    std::thread membership([this] { m_membership.Run(m_stop_packets); });
    std::thread requests([this] { m_requests.Run(); });
    std::thread control([this] { m_control.Run(m_stop_control); });
    std::thread admin([this] { m_admin.Run(m_stop_admin); });
    Log(LogLevel::kInfo, "daemon", "started",
        {{"object", "EntryHost/" + m_settings.host_name}});
    WaitForSignal();
    const model::TimePoint now = model::Now();
    const model::TimePoint linger_until =
        now + std::chrono::milliseconds(m_settings.stop_linger_ms);
    m_is_stopping.store(true);
    m_control.set_stopping();
    m_requests.BeginStop(now +
                         std::chrono::milliseconds(m_settings.stop_grace_ms));
    Log(LogLevel::kInfo, "daemon", "stopping gracefully");
    requests.join();
    std::this_thread::sleep_until(linger_until);
    m_stop_control.store(true);
    control.join();
    m_stop_packets.store(true);
    packets.join();
    membership.join();
    m_stop_admin.store(true);
    admin.join();
    daemon_process::BlockSignals();
    Log(LogLevel::kInfo, "daemon", "stopped");
  }

 private:
  std::vector<std::shared_ptr<telemetry::CounterFamily>> AllCounters() const {
    auto counters = m_packets.counters();
    for (const auto& item : m_requests.counters()) {
      counters.push_back(item);
    }
    counters.push_back(m_control.counters());
    counters.push_back(m_membership.counters());
    return counters;
  }

  // Returns at the first signal; a second one ends the process at once.
  void WaitForSignal() {
    m_signals.async_wait([this](const boost::system::error_code&, int) {
      m_signals.async_wait([](const boost::system::error_code& error, int) {
        if (!error) {
          std::_Exit(kForcedExitCode);
        }
      });
      m_got_signal = true;
    });
    while (!m_got_signal) {
      m_signal_context.run_one();
    }
    m_second_signal = std::jthread([this](const std::stop_token& token) {
      while (!token.stop_requested()) {
        m_signal_context.restart();
        m_signal_context.run_for(std::chrono::milliseconds(50));
      }
    });
  }

  model::Settings m_settings;
  std::atomic<bool> m_stop_packets = false;
  std::atomic<bool> m_stop_control = false;
  std::atomic<bool> m_stop_admin = false;
  std::atomic<bool> m_is_stopping = false;
  PacketWorker m_packets;
  MembershipWorker m_membership;
  RequestWorker m_requests;
  ControlWorker m_control;
  AdminServer m_admin;
  boost::asio::io_context m_signal_context;
  boost::asio::signal_set m_signals{m_signal_context, SIGTERM, SIGINT};
  bool m_got_signal = false;
  std::jthread m_second_signal;
};

}  // namespace

int RunDaemon(const model::Settings& settings) {
  Daemon daemon(settings);
  daemon.Run();
  return 0;
}

}  // namespace poplarsail::runtime
