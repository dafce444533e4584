#include "entry/entry_daemon.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <exception>
#include <random>
#include <utility>
#include <vector>

#include "cluster_state/cluster_state.h"
#include "entry/findings_port.h"
#include "entry/http_responder.h"
#include "entry/metrics.h"
#include "entry/packet_loop.h"
#include "entry/peer_exchange.h"
#include "entry/retry_gate.h"
#include "entry/state_follower.h"
#include "flows/flows.h"
#include "telemetry/telemetry.h"

namespace poplarsail::entry {

namespace {

// The settings file is compared with what is in force this often, since it may
// change without a signal.
constexpr std::chrono::seconds kSettingsInterval{5};
// Lapses, idle flows and log lines are looked after this often.
constexpr std::chrono::milliseconds kTickInterval{250};

// Returns the placement and leaves a pointer to it in `view`.
std::unique_ptr<flows::Placement> MakePlacement(
    const EntrySettings& settings,
    flows::LocalFirstPlacement** view) {
  auto placement = std::make_unique<flows::LocalFirstPlacement>(
      settings.failure_domain, std::random_device()());
  *view = placement.get();
  return placement;
}

}  // namespace

struct EntryDaemon::Parts {
  Parts(boost::asio::io_context* context,
        const EntrySettings& settings,
        const FlowCodec* codec)
      : log(STDOUT_FILENO),
        steering(MakePlacement(settings, &placement)),
        packets(context, settings, codec, &steering),
        readiness(context, settings.readiness),
        metrics(context, {settings.packets.address, settings.metrics_port}),
        gate(context),
        findings(
            context,
            {settings.peers.address, settings.findings_port},
            [this](uint64_t upstream_id) { packets.TakeFinding(upstream_id); }),
        tick(*context),
        stop(*context),
        signals(*context, SIGTERM, SIGINT, SIGHUP) {}

  telemetry::BoundedLogSink log;
  cluster_state::ClusterState cluster_state;
  // Owned by the steering.
  flows::LocalFirstPlacement* placement = nullptr;
  flows::Steering steering;
  PacketLoop packets;
  HttpResponder readiness;
  HttpResponder metrics;
  // Of all followers of the store.
  RetryGate gate;
  FindingsPort findings;
  std::vector<std::unique_ptr<StateFollower>> followers;
  std::unique_ptr<PeerExchange> peers;
  cluster_state::SteadyTime next_settings_check;
  boost::asio::steady_timer tick;
  boost::asio::steady_timer stop;
  boost::asio::signal_set signals;
};

EntryDaemon::EntryDaemon(boost::asio::io_context* context,
                         const std::string& settings_path,
                         const EntrySettings& settings,
                         EntryPlatform platform)
    : m_context(context),
      m_settings_path(settings_path),
      m_settings_text(model::ReadSettingsFile(settings_path)),
      m_settings(settings),
      m_platform(std::move(platform)),
      m_parts(
          std::make_unique<Parts>(context, settings, m_platform.codec.get())) {
  telemetry::SetLogSink(&m_parts->log);
}

EntryDaemon::~EntryDaemon() {
  telemetry::SetLogSink(nullptr);
}

int EntryDaemon::Run() {
  telemetry::Log(telemetry::LogLevel::kInfo, "daemon", "started",
                 {{"host", m_settings.host_name},
                  {"failure_domain", m_settings.failure_domain},
                  {"packets", model::ToString(m_settings.packets)},
                  {"store", model::ToString(m_settings.store)}});
  StartFollowers();
  StartServers();
  StartTimers();
  StartSignals();
  m_context->run();
  telemetry::Log(telemetry::LogLevel::kInfo, "daemon", "stopped");
  m_parts->log.Flush();
  return 0;
}

void EntryDaemon::StartServers() {
  m_parts->packets.Start();
  m_parts->readiness.Handle(
      m_platform.readiness_path, [this](const HttpQuery&) {
        const bool is_ready = !m_is_stopping && m_parts->cluster_state.IsComplete();
        return HttpAnswer{is_ready ? 200U : 503U, ""};
      });
  m_parts->readiness.Start();
  m_parts->metrics.Handle("/metrics", [this](const HttpQuery&) {
    return HttpAnswer{
        200, FormatMetrics({&m_parts->packets.counts(), &m_parts->steering,
                            &m_parts->cluster_state, &m_platform.store->counts(),
                            &m_parts->peers->counts()})};
  });
  m_parts->metrics.Start();
  PeerExchange::Options options;
  options.own_endpoint = m_settings.peers;
  options.failure_domain = m_settings.failure_domain;
  options.findings = {m_settings.peers.address, m_settings.findings_port};
  options.seeds = m_settings.seeds;
  options.is_store_lost = [this]() {
    return std::any_of(m_parts->followers.begin(), m_parts->followers.end(),
                       [](const auto& f) { return f->is_lost(); });
  };
  options.changed = [this]() { BeliefChanged(); };
  options.fleet_seen = [this](const FleetView& fleet) {
    m_parts->placement->set_host_count(fleet.host_count);
    m_parts->findings.set_neighbours(fleet.neighbours);
    m_parts->findings.set_contacts(fleet.contacts);
  };
  m_parts->packets.set_on_finding(
      [this](uint64_t upstream_id) { m_parts->findings.Tell(upstream_id); });
  m_parts->findings.Start();
  m_parts->peers = std::make_unique<PeerExchange>(m_context, &m_parts->cluster_state,
                                                  std::move(options));
  m_parts->peers->Start();
}

void EntryDaemon::StartFollowers() {
  constexpr std::array<cluster_state::ObjectKind, 3> kFollowed = {
      cluster_state::ObjectKind::kConfiguration, cluster_state::ObjectKind::kUpstreams,
      cluster_state::ObjectKind::kEvacuations};
  for (const cluster_state::ObjectKind kind : kFollowed) {
    m_parts->followers.push_back(std::make_unique<StateFollower>(
        m_context, m_platform.store.get(), &m_parts->gate, kind,
        &m_parts->cluster_state, [this]() { BeliefChanged(); }));
    boost::asio::co_spawn(*m_context, m_parts->followers.back()->Run(),
                          [](const std::exception_ptr& error) {
                            if (error) {
                              std::rethrow_exception(error);
                            }
                          });
  }
}

void EntryDaemon::StartTimers() {
  m_parts->tick.expires_after(kTickInterval);
  m_parts->tick.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      Tick();
      StartTimers();
    }
  });
}

void EntryDaemon::StartSignals() {
  m_parts->signals.async_wait(
      [this](const boost::system::error_code& error, int signal) {
        if (error) {
          return;
        }
        if (signal == SIGHUP) {
          Reload();
        } else if (!m_is_stopping) {
          Stop();
        }
        StartSignals();
      });
}

void EntryDaemon::Reload() {
  try {
    m_settings_text = model::ReadSettingsFile(m_settings_path);
    const EntrySettings loaded =
        ParseEntrySettings(m_settings_text, m_settings_path);
    EntrySettings reloadable = m_settings;
    reloadable.seeds = loaded.seeds;
    reloadable.linger = loaded.linger;
    // Addresses stay until the next start: callers and hosts know this one.
    const bool needs_restart = reloadable != loaded;
    m_settings = reloadable;
    m_parts->peers->set_seeds(m_settings.seeds);
    telemetry::Log(telemetry::LogLevel::kInfo, "daemon", "settings reloaded",
                   {{"seeds", std::to_string(m_settings.seeds.size())},
                    {"needs_restart", needs_restart ? "yes" : "no"}});
  } catch (const model::ValidationError& error) {
    telemetry::Log(telemetry::LogLevel::kError, "daemon",
                   "settings refused, the old ones stay",
                   {{"reason", error.what()}});
  }
}

void EntryDaemon::ReloadIfChanged() {
  const auto now = std::chrono::steady_clock::now();
  if (now < m_parts->next_settings_check) {
    return;
  }
  m_parts->next_settings_check = now + kSettingsInterval;
  try {
    if (model::ReadSettingsFile(m_settings_path) != m_settings_text) {
      Reload();
    }
  } catch (const model::ValidationError& error) {
    telemetry::Log(telemetry::LogLevel::kWarning, "daemon",
                   "settings file can't be read, the old ones stay",
                   {{"reason", error.what()}});
  }
}

void EntryDaemon::BeliefChanged() {
  m_parts->steering.Update(m_parts->cluster_state, std::chrono::steady_clock::now());
  m_parts->packets.ReleaseHeld();
  LogReadiness();
}

void EntryDaemon::LogReadiness() {
  const bool is_ready = m_parts->cluster_state.IsComplete();
  if (std::exchange(m_was_ready, is_ready) == is_ready) {
    return;
  }
  telemetry::Log(
      telemetry::LogLevel::kInfo, "daemon", is_ready ? "ready" : "not ready",
      {{"configuration",
        std::to_string(m_parts->cluster_state.configuration()->version)},
       {"upstreams", std::to_string(m_parts->cluster_state.upstreams().size())}});
}

void EntryDaemon::Tick() {
  m_parts->packets.Turn();
  const auto now = std::chrono::steady_clock::now();
  const uint64_t before = m_parts->cluster_state.generation();
  m_parts->cluster_state.RemoveExpiredUpstreams(now);
  if (m_parts->cluster_state.generation() != before) {
    BeliefChanged();
  }
  m_parts->steering.EvictIdleFlows(now);
  m_parts->packets.CheckDoubted();
  ReloadIfChanged();
  m_parts->log.Flush();
}

void EntryDaemon::Stop() {
  telemetry::Log(
      telemetry::LogLevel::kInfo, "daemon", "stopping",
      {{"linger_ms", std::to_string(m_settings.linger.count())},
       {"flows", std::to_string(m_parts->steering.flow_table().size())}});
  m_is_stopping = true;
  m_parts->stop.expires_after(m_settings.linger);
  m_parts->stop.async_wait(
      [this](const boost::system::error_code&) { m_context->stop(); });
}

}  // namespace poplarsail::entry
