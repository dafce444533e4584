#include "entry/entry_daemon.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <random>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "cluster_state/cluster_state.h"
#include "daemon_process/daemon_process.h"
#include "entry/failure_report_channel.h"
#include "entry/flow_scheduling.h"
#include "entry/handler_errors.h"
#include "entry/http_server.h"
#include "entry/metrics.h"
#include "entry/overdue_exchange.h"
#include "entry/packet_loop.h"
#include "entry/peer_exchange.h"
#include "entry/peer_probes.h"
#include "entry/peer_socket.h"
#include "entry/placement_exchange.h"
#include "entry/retry_gate.h"
#include "entry/state_currency.h"
#include "entry/store_watcher.h"
#include "flows/flows.h"
#include "telemetry/telemetry.h"

namespace poplarsail::entry {

namespace {

// Interval for comparing the settings file with the settings in force; the file
// may change without a signal.
constexpr std::chrono::seconds kSettingsPollInterval{5};
// Interval for expiring upstreams, evicting idle flows and flushing the log.
constexpr std::chrono::milliseconds kTickInterval{250};

constexpr std::array<cluster_state::ObjectKind, cluster_state::kObjectKindCount>
    kWatchedKinds = {cluster_state::ObjectKind::kConfiguration,
                     cluster_state::ObjectKind::kUpstreams,
                     cluster_state::ObjectKind::kEvacuations};

// Returns the placement and stores a non-owning pointer in `placement_out`.
std::unique_ptr<flows::Placement> MakePlacement(
    const EntrySettings& settings,
    flows::LocalFirstPlacement** placement_out) {
  auto placement = std::make_unique<flows::LocalFirstPlacement>(
      settings.failure_domain, std::random_device()());
  *placement_out = placement.get();
  return placement;
}

}  // namespace

struct EntryDaemon::Components {
  Components(boost::asio::io_context* context,
             const EntrySettings& settings,
             const FlowCodec* codec)
      : log(STDOUT_FILENO),
        steering(MakePlacement(settings, &placement)),
        packets(context, settings, codec, &steering),
        readiness(context, {"readiness", settings.readiness}),
        metrics(context,
                {"metrics", {settings.packets.address, settings.metrics_port}}),
        retry_gate(context),
        peer_socket(context,
                    {settings.peers.address, settings.failure_report_port}),
        failure_reports(&peer_socket,
                        [this](uint64_t upstream_id) {
                          packets.OnFailureReport(upstream_id);
                        }),
        peer_probes(&peer_socket, &packets),
        overdue_exchange(
            &peer_socket,
            [this](const std::vector<flows::OverdueCount>& counts) {
              steering.AddOverdueRequests(counts,
                                          std::chrono::steady_clock::now());
            }),
        placement_exchange(
            &peer_socket,
            [this](const flows::FlowKey& key, uint64_t upstream_id) {
              steering.RecordPeerPlacement(key, upstream_id,
                                           std::chrono::steady_clock::now());
            }),
        scheduling(context,
                   &peer_socket,
                   &packets,
                   {{peer_socket.own_endpoint(),
                     CapacityClass(settings.cpu_thousandths)},
                    settings.failure_domain,
                    settings.is_scheduling_enabled}),
        tick(*context),
        stop(*context),
        signals(*context, SIGTERM, SIGINT, SIGHUP) {
    steering.set_scheduler(&scheduling);
  }

  ~Components() { steering.set_scheduler(nullptr); }

  Components(const Components&) = delete;
  Components& operator=(const Components&) = delete;

  telemetry::BoundedLogSink log;
  cluster_state::ClusterState cluster_state;
  // Owned by `steering`.
  flows::LocalFirstPlacement* placement = nullptr;
  flows::Steering steering;
  PacketLoop packets;
  HttpServer readiness;
  HttpServer metrics;
  // Both are shared by all store watchers.
  RetryGate retry_gate;
  VersionFloor version_floor;
  StateCurrency currency;
  PeerSocket peer_socket;
  FailureReportChannel failure_reports;
  PeerProbes peer_probes;
  OverdueExchange overdue_exchange;
  PlacementExchange placement_exchange;
  FlowScheduling scheduling;
  std::vector<std::unique_ptr<StoreWatcher>> store_watchers;
  std::unique_ptr<PeerExchange> peer_exchange;
  cluster_state::SteadyTime next_settings_check;
  boost::asio::steady_timer tick;
  boost::asio::steady_timer stop;
  boost::asio::signal_set signals;
};

EntryDaemon::EntryDaemon(boost::asio::io_context* context,
                         const std::string& settings_path,
                         const std::string& settings_text,
                         const EntrySettings& settings,
                         EntryPlatform platform)
    : m_context(context),
      m_settings_path(settings_path),
      m_settings_text(settings_text),
      m_settings(settings),
      m_platform(std::move(platform)),
      m_components(std::make_unique<Components>(context,
                                                settings,
                                                m_platform.codec.get())) {
  telemetry::SetLogSink(&m_components->log);
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
  StartStoreWatchers();
  UpdateCurrency();
  StartServers();
  StartTimers();
  StartSignals();
  daemon_process::UnblockSignals();
  // Handlers that arm themselves again guard what they do, unlike others.
  while (!m_context->stopped()) {
    RunGuarded("daemon", [this]() { m_context->run(); });
  }
  // The default actions apply again once the handlers are removed.
  daemon_process::BlockSignals();
  telemetry::Log(telemetry::LogLevel::kInfo, "daemon", "stopped");
  m_components->log.Flush();
  return 0;
}

void EntryDaemon::StartServers() {
  m_components->packets.Start();
  m_components->readiness.AddHandler(
      m_platform.readiness_path, [this](const HttpQuery&) {
        const bool is_ready =
            !m_is_stopping && m_components->cluster_state.IsComplete();
        return HttpResponse{is_ready ? 200U : 503U, ""};
      });
  m_components->readiness.Start();
  m_components->metrics.AddHandler("/metrics", [this](const HttpQuery&) {
    return HttpResponse{200, MetricsText()};
  });
  m_components->metrics.Start();
  PeerExchange::Options options;
  options.own_endpoint = m_settings.peers;
  options.failure_domain = m_settings.failure_domain;
  options.report_endpoint = {m_settings.peers.address,
                             m_settings.failure_report_port};
  options.cpu_thousandths = m_settings.cpu_thousandths;
  options.seeds = m_settings.seeds;
  options.is_store_unreachable = [this]() { return IsStoreUnreachable(); };
  options.on_change = [this]() { OnClusterStateChange(); };
  options.on_fleet_view = [this](const FleetView& fleet) {
    m_components->placement->set_host_count(fleet.host_count);
    m_components->failure_reports.set_local_peers(fleet.local_peers);
    m_components->failure_reports.set_remote_peers(fleet.remote_peers);
    m_components->peer_probes.SetPeers(fleet.local_peers, fleet.remote_peers);
    m_components->overdue_exchange.set_peers(fleet.local_peers);
    m_components->placement_exchange.set_peers(fleet.local_peers);
    m_components->scheduling.SetLocalCandidates(MakeCandidates(fleet));
    m_components->scheduling.SetRemotePeers(fleet.remote_peers);
  };
  m_components->packets.set_on_upstream_failure([this](uint64_t upstream_id) {
    m_components->failure_reports.Broadcast(upstream_id);
  });
  m_components->packets.set_on_upstream_doubt([this](uint64_t upstream_id) {
    m_components->peer_probes.Ask(upstream_id);
  });
  m_components->packets.set_on_syn_resent(
      [this](const flows::FlowKey& key, uint64_t upstream_id) {
        m_components->placement_exchange.Broadcast(key, upstream_id);
      });
  m_components->peer_socket.Start();
  m_components->peer_exchange = std::make_unique<PeerExchange>(
      m_context, &m_components->cluster_state, std::move(options));
  m_components->peer_exchange->Start();
}

std::string EntryDaemon::MetricsText() const {
  MetricSources sources{&m_components->packets.counts(),
                        &m_components->steering, &m_components->cluster_state,
                        &m_platform.store->counts(),
                        &m_components->peer_exchange->counts()};
  const SchedulingFigures scheduling = m_components->scheduling.figures();
  sources.scheduling = &scheduling;
  sources.handler_errors = HandlerErrorCount();
  sources.log = &m_components->log.counts();
  for (const auto& watcher : m_components->store_watchers) {
    const auto age =
        std::chrono::steady_clock::now() - watcher->last_response();
    sources.store_response_ages.emplace_back(
        watcher->kind_label(),
        std::chrono::duration_cast<cluster_state::milliseconds>(age));
  }
  return FormatMetrics(sources);
}

void EntryDaemon::StartStoreWatchers() {
  for (const cluster_state::ObjectKind kind : kWatchedKinds) {
    m_components->store_watchers.push_back(std::make_unique<StoreWatcher>(
        m_context, m_platform.store.get(), &m_components->retry_gate,
        &m_components->version_floor, kind,
        ComputeWatchTiming(m_settings.bounds, kind),
        &m_components->cluster_state, [this]() { OnClusterStateChange(); }));
    SpawnRestarting(m_context, "state",
                    [watcher = m_components->store_watchers.back().get()]() {
                      return watcher->Run();
                    });
  }
}

bool EntryDaemon::IsStoreUnreachable() const {
  return std::ranges::any_of(
      m_components->store_watchers,
      [](const auto& watcher) { return watcher->is_store_unreachable(); });
}

void EntryDaemon::StartTimers() {
  m_components->tick.expires_after(kTickInterval);
  m_components->tick.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      RunGuarded("daemon", [this]() { OnTick(); });
      RunGuarded("daemon", [this]() { m_components->log.Flush(); });
      StartTimers();
    }
  });
}

void EntryDaemon::StartSignals() {
  m_components->signals.async_wait(
      [this](const boost::system::error_code& error, int signal) {
        if (error) {
          return;
        }
        if (signal == SIGHUP) {
          RunGuarded("daemon", [this]() { Reload(); });
        } else if (!m_is_stopping) {
          RunGuarded("daemon", [this]() { Stop(); });
        }
        StartSignals();
      });
}

void EntryDaemon::Reload() {
  try {
    m_settings_text = model::ReadSettingsFile(m_settings_path);
    SettingWarnings warnings;
    const EntrySettings loaded =
        ParseEntrySettings(m_settings_text, m_settings_path, &warnings);
    LogSettingWarnings(warnings);
    EntrySettings reloadable = m_settings;
    reloadable.seeds = loaded.seeds;
    reloadable.linger = loaded.linger;
    // Address changes need a restart: clients and other hosts use the current
    // addresses.
    const bool needs_restart = reloadable != loaded;
    m_settings = reloadable;
    m_components->peer_exchange->set_seeds(m_settings.seeds);
    telemetry::Log(telemetry::LogLevel::kInfo, "daemon", "settings reloaded",
                   {{"seeds", std::to_string(m_settings.seeds.size())},
                    {"needs_restart", needs_restart ? "yes" : "no"}});
  } catch (const std::exception& error) {
    telemetry::Log(telemetry::LogLevel::kError, "daemon",
                   "settings refused, the old ones stay",
                   {{"reason", error.what()}});
  }
}

void EntryDaemon::ReloadIfChanged() {
  const auto now = std::chrono::steady_clock::now();
  if (now < m_components->next_settings_check) {
    return;
  }
  m_components->next_settings_check = now + kSettingsPollInterval;
  try {
    if (model::ReadSettingsFile(m_settings_path) != m_settings_text) {
      Reload();
    }
  } catch (const std::exception& error) {
    telemetry::Log(telemetry::LogLevel::kWarning, "daemon",
                   "settings file can't be read, the old ones stay",
                   {{"reason", error.what()}});
  }
}

void EntryDaemon::OnClusterStateChange() {
  UpdateCurrency();
  m_components->steering.Update(m_components->cluster_state,
                                std::chrono::steady_clock::now());
  m_components->scheduling.Update(m_components->cluster_state);
  m_components->packets.RetryHeldPackets();
  LogReadiness();
  LogConfigurationInForce();
}

bool EntryDaemon::UpdateCurrency() {
  bool has_changed = false;
  for (const auto& watcher : m_components->store_watchers) {
    const bool is_newly_current = m_components->currency.Update(
        watcher->kind(), m_components->version_floor,
        m_components->cluster_state);
    if (is_newly_current) {
      telemetry::Log(telemetry::LogLevel::kInfo, "state", "objects are current",
                     {{"kind", watcher->kind_label()}});
    }
    has_changed |= is_newly_current;
  }
  m_components->steering.set_current(
      m_components->currency.IsCurrent(
          cluster_state::ObjectKind::kConfiguration),
      m_components->currency.IsCurrent(cluster_state::ObjectKind::kUpstreams));
  return has_changed;
}

void EntryDaemon::LogConfigurationInForce() {
  const cluster_state::ClusterState& state = m_components->cluster_state;
  if (!state.configuration() ||
      state.configuration()->version == m_logged_configuration) {
    return;
  }
  const int64_t version = state.configuration()->version;
  const cluster_state::StoreVersion& listed =
      state.listed_version(cluster_state::ObjectKind::kConfiguration);
  telemetry::Log(telemetry::LogLevel::kInfo, "daemon", "configuration in force",
                 {{"version", std::to_string(version)},
                  {"previous", std::to_string(std::exchange(
                                   m_logged_configuration, version))},
                  {"listed_revision", std::to_string(listed.revision)},
                  {"era", std::to_string(listed.era)}});
}

void EntryDaemon::LogReadiness() {
  const cluster_state::ClusterState& state = m_components->cluster_state;
  const bool is_ready = state.IsComplete();
  if (std::exchange(m_was_ready, is_ready) == is_ready) {
    return;
  }
  telemetry::Log(
      telemetry::LogLevel::kInfo, "daemon", is_ready ? "ready" : "not ready",
      {{"configuration", std::to_string(state.configuration()->version)},
       {"upstreams", std::to_string(state.upstreams().size())}});
}

void EntryDaemon::OnTick() {
  m_components->packets.Poll();
  const auto now = std::chrono::steady_clock::now();
  const uint64_t generation_before = m_components->cluster_state.generation();
  m_components->cluster_state.RemoveExpired(now);
  if (m_components->cluster_state.generation() != generation_before) {
    OnClusterStateChange();
  }
  // A watch or a peer may confirm the state without a change of it.
  if (UpdateCurrency()) {
    m_components->packets.RetryHeldPackets();
  }
  m_components->steering.set_registrations_current(!IsStoreUnreachable());
  m_components->steering.EvictIdleFlows(now);
  m_components->packets.RunDueChecks();
  JudgeUpstreams(now);
  ReloadIfChanged();
}

void EntryDaemon::JudgeUpstreams(cluster_state::SteadyTime now) {
  flows::Steering& steering = m_components->steering;
  m_components->overdue_exchange.Broadcast(steering.TakeOverdueRequests());
  for (const flows::UnresponsiveChange& change : steering.JudgeUpstreams(now)) {
    telemetry::Log(telemetry::LogLevel::kInfo, "packets",
                   change.is_unresponsive
                       ? "upstream leaves requests unanswered"
                       : "upstream answers its requests again",
                   {{"upstream", fmt::format("{:x}", change.upstream_id)}});
  }
}

void EntryDaemon::Stop() {
  telemetry::Log(
      telemetry::LogLevel::kInfo, "daemon", "stopping",
      {{"linger_ms", std::to_string(m_settings.linger.count())},
       {"flows", std::to_string(m_components->steering.flow_table().size())}});
  m_is_stopping = true;
  m_stop_policy =
      StopPolicy(std::chrono::steady_clock::now(), m_settings.linger);
  StopWhenQuiet();
}

void EntryDaemon::StopWhenQuiet() {
  const auto stop_time =
      m_stop_policy.StopTime(m_components->packets.last_packet());
  m_components->stop.expires_at(stop_time);
  m_components->stop.async_wait([this](const boost::system::error_code&) {
    // Packets may be waiting in the socket.
    RunGuarded("packets", [this]() { m_components->packets.Drain(); });
    const auto now = std::chrono::steady_clock::now();
    if (m_stop_policy.StopTime(m_components->packets.last_packet()) > now) {
      StopWhenQuiet();
    } else {
      m_context->stop();
    }
  });
}

}  // namespace poplarsail::entry
