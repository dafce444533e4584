#ifndef SOAK_SCENARIO_H_
#define SOAK_SCENARIO_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "soak/client.h"
#include "soak/entry_process.h"
#include "soak/log_reader.h"
#include "soak/processor_share.h"
#include "soak/tcp_proxy.h"
#include "soak/upstream.h"
#include "soak/violations.h"
#include "standins/fake_platform_store.h"

namespace poplarsail::soak {

// Time limits from the platform's settings. kBoundTolerance is added to them
// for packets in flight and delays on a busy machine.
inline constexpr std::chrono::milliseconds kDrainBound{3'000};
inline constexpr std::chrono::milliseconds kEvacuationBound{5'000};
inline constexpr std::chrono::milliseconds kConfigurationBound{3'000};
inline constexpr std::chrono::milliseconds kBoundTolerance{200};
inline constexpr std::chrono::milliseconds kStopGrace{6'000};
inline constexpr std::chrono::milliseconds kRecoveryTime{12'000};
// UDP port of the daemons and clients.
inline constexpr uint16_t kPacketPort = 18'172;

struct ScenarioOptions {
  std::string program;
  std::string directory;
  uint64_t seed = 1;
  // Second octet of all loopback addresses; runs with different values can
  // execute at the same time.
  int network = 10;
  // Number of hosts in each failure domain.
  std::vector<int> hosts_in_domains = {2, 2, 2};
  // Upstreams of the two services; 0 for 2 and 1 in each failure domain.
  int tally_upstreams = 0;
  int archive_upstreams = 0;
  int flows_per_client = 12;
  // Share of a core that each daemon gets; 0 for no limit.
  double processor_share = 0;
  std::chrono::milliseconds fault_time{12'000};
  // Only planned work, under which a host is not excused for its own restart.
  bool is_planned_only = false;
  // Name of the invariant to violate on purpose, to verify that its check
  // fails; empty for none.
  std::string injected_defect;
};

struct ScenarioResult {
  ClientCounts counts;
  uint64_t faults = 0;
  // How long each start took until the readiness check passed.
  std::vector<std::chrono::milliseconds> start_times;
  std::map<std::string, std::vector<std::string>> violations;
};

// One run: starts daemons against fakes on loopback, injects faults in an order
// given by the seed, and checks the invariants meanwhile.
class Scenario {
 public:
  explicit Scenario(ScenarioOptions options);
  ~Scenario();

  ScenarioResult Run();

 private:
  struct Host {
    std::unique_ptr<EntryProcess> process;
    std::unique_ptr<TcpProxy> store_proxy;
    bool is_in_rotation = false;
    int failed_probes = 0;
  };
  struct Listener {
    model::Ipv4Endpoint endpoint;
    std::string service;
    std::optional<Clock::time_point> removed_since;
  };

  void SetUpStore();
  void SetUpHosts();
  void SetUpClients();
  void WriteConfiguration();
  Upstream* AddUpstream(const std::string& service,
                        const std::string& domain,
                        const model::Ipv4Endpoint& endpoint);
  void WriteRegistration(const Upstream& upstream);
  using Fault = void (Scenario::*)();
  // Runs `fault` after `delay` with random numbers from `seed`, which select
  // the affected host or upstream.
  void ScheduleFault(std::chrono::milliseconds delay,
                     Fault fault,
                     uint64_t seed);
  void ScheduleRestores();
  void ScheduleStoreSilences();
  // Draws how old lists of the store are, and how many responses to SYNs are
  // lost.
  void DrawConditions();
  // Draws what the host's process is deprived of in this run.
  ProcessEnvironment DrawEnvironment(const EntryProcessOptions& options);
  // Another writer leaves entries among those of the upstreams.
  void ScheduleOddEntries();
  void WriteOddEntry();
  // Copies the store now and at intervals.
  void SnapshotStore();
  // Writes again what the store lost in a restore, each writer at its own time
  // within kRewriteTime.
  void RewriteObjects();
  void WriteEvacuations();

  void RunFor(std::chrono::milliseconds time);
  void WaitUntilServing();
  void PollHosts();
  void PollReadiness(Host* host);
  // Calls `done` with whether the host answers that it is ready.
  void ProbeReadiness(const Host& host,
                      std::chrono::milliseconds timeout,
                      std::function<void(bool)> done);
  // Probes the host until it is ready or starts again.
  void MeasureStart(Host* host);
  void Supervise(Host* host);
  void InjectFaults();
  // Restarts hosts and changes what is configured.
  void InjectPlannedWork();
  bool InjectDefectiveChange();
  void StopDaemons();
  void CheckRecovery();

  // Faults and changes. Each fault schedules its own recovery; Supervise()
  // restarts daemons that have exited.
  void KillHost();
  void PauseHost();
  void RestartHost();
  void ReloadHost();
  void InjectStoreConnectionFault();
  void InjectStoreFault();
  // Takes the store away for a moment and restores it from an older copy.
  void RestoreStore();
  // Makes the store silent for less than a second, shortly after one change and
  // shortly before others: watches that are sent meanwhile are lost.
  void SilenceStoreBetweenChanges();
  void PartitionHostFromDomain();
  void CrashUpstream();
  void DrainUpstream();
  void ReuseAddress();
  void ScaleUpService();
  void EvacuateDomain();
  void AddOrRemoveListener();

  void CheckNewFlow(const UpstreamOptions& upstream,
                    const std::string& daemon_address,
                    const model::Ipv4Endpoint& listener);
  // `upstream` is the sender of the reset, or empty if a daemon sent it.
  void CheckReset(const FlowId& flow,
                  const model::Endpoint& daemon,
                  const model::Endpoint& upstream);
  model::Endpoint Route(const FlowId& flow) const;

  bool IsDefectInjected(Invariant invariant) const {
    return m_options.injected_defect == Name(invariant);
  }
  std::string Address(int group, int number) const;
  Host* FindHost(const std::string& address);
  Host* RandomHost();
  Upstream* RandomUpstream();
  std::string RandomDomain();
  std::chrono::milliseconds RandomDuration(int min_ms, int max_ms);
  void RunAfter(std::chrono::milliseconds delay, std::function<void()> action);
  void MarkDisturbed(Host* host, std::chrono::milliseconds time);
  bool IsSettled(Clock::time_point disturbed_until) const;

  ScenarioOptions m_options;
  boost::asio::io_context m_context;
  std::mt19937_64 m_random;
  std::mt19937_64 m_environment_random;
  std::vector<std::unique_ptr<LogReader>> m_log_readers;
  Violations m_violations;
  ExecutionCounter m_executions;
  std::unique_ptr<standins::FakePlatformStore> m_store;
  std::vector<std::string> m_domains;
  std::vector<Host> m_hosts;
  std::optional<ProcessorShare> m_processor_share;
  std::vector<std::chrono::milliseconds> m_start_times;
  std::vector<std::unique_ptr<Upstream>> m_upstreams;
  std::vector<std::unique_ptr<Client>> m_clients;
  std::vector<Listener> m_listeners;
  std::map<std::string, Clock::time_point> m_evacuations;
  std::map<std::string, std::string> m_partitions;
  std::map<uint64_t, Clock::time_point> m_upstream_disturbed_until;
  Clock::time_point m_store_disturbed_until;
  double m_handshake_loss = 0;
  std::chrono::milliseconds m_list_age{0};
  uint64_t m_next_upstream = 0x10;
  uint16_t m_next_upstream_port = 21'000;
  int64_t m_configuration_version = 1;
  // The configuration that the operator wrote last.
  nlohmann::json m_configuration;
  uint64_t m_fault_count = 0;
  bool m_is_supervising = true;
};

}  // namespace poplarsail::soak

#endif  // SOAK_SCENARIO_H_
