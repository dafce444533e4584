#ifndef SOAK_SCENARIO_H_
#define SOAK_SCENARIO_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "soak/client.h"
#include "soak/entry_process.h"
#include "soak/tcp_proxy.h"
#include "soak/upstream.h"
#include "soak/violations.h"
#include "standins/fake_platform_store.h"

namespace poplarsail::soak {

// Bounds of the platform's settings, and what callers may see besides: a
// packet under way and a busy machine.
inline constexpr std::chrono::milliseconds kDrainBound{3'000};
inline constexpr std::chrono::milliseconds kTakeOutBound{5'000};
inline constexpr std::chrono::milliseconds kConfigurationBound{3'000};
inline constexpr std::chrono::milliseconds kBoundSlack{200};
inline constexpr std::chrono::milliseconds kStopGrace{6'000};

struct ScenarioOptions {
  std::string program;
  std::string directory;
  uint64_t seed = 1;
  // Second number of all loopback addresses, so that runs go side by side.
  int network = 10;
  int hosts_per_domain = 2;
  std::chrono::milliseconds fault_time{12'000};
  // A fault that is planted on purpose, to see its check turn red.
  std::string plant;
};

struct ScenarioResult {
  CallerCounts counts;
  uint64_t faults = 0;
  std::map<std::string, std::vector<std::string>> violations;
};

// One run: starts real daemons against stand-ins on loopback, puts faults on
// them in an order given by the seed, and checks the promises meanwhile.
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
    int misses = 0;
  };
  struct Listener {
    model::Ipv4Endpoint endpoint;
    std::string service;
    std::optional<Clock::time_point> removed_since;
  };

  void BuildStore();
  void BuildHosts();
  void BuildCallers();
  void WriteConfiguration();
  Upstream* AddUpstream(const std::string& service,
                        const std::string& domain,
                        const model::Ipv4Endpoint& endpoint);
  void Register(const Upstream& upstream, const char* state);

  void RunFor(std::chrono::milliseconds time);
  void WaitUntilServing();
  void PollHosts();
  void PollReadiness(Host* host);
  void Supervise(Host* host);
  void InjectFaults();
  bool InjectPlantedChange();
  void EndAll();
  void CheckRecovery();

  // Each fault puts itself right again.
  void KillHost();
  void PauseHost();
  void RestartHost();
  void ReloadHost();
  void HarmStorePath();
  void HarmStore();
  void CutDomain();
  void CrashUpstream();
  void DrainUpstream();
  void ReuseAddress();
  void GrowService();
  void TakeOutDomain();
  void ChangeListeners();

  void CheckOpened(const UpstreamOptions& upstream,
                   const std::string& daemon_address,
                   const model::Ipv4Endpoint& listener);
  void CheckReset(const FlowId& flow, const model::Endpoint& daemon);
  model::Endpoint Route(const FlowId& flow) const;

  bool IsPlanted(Promise promise) const {
    return m_options.plant == Name(promise);
  }
  std::string Address(int group, int number) const;
  Host* FindHost(const std::string& address);
  Host* RandomHost();
  Upstream* RandomUpstream();
  std::string RandomDomain();
  std::chrono::milliseconds Between(int least_ms, int most_ms);
  void Later(std::chrono::milliseconds delay, std::function<void()> action);
  void Disturb(Host* host, std::chrono::milliseconds time);
  bool IsCalm(Clock::time_point disturbed_until) const;

  ScenarioOptions m_options;
  boost::asio::io_context m_context;
  std::mt19937_64 m_random;
  Violations m_violations;
  ExecutionCounter m_ledger;
  std::unique_ptr<standins::FakePlatformStore> m_store;
  std::vector<Host> m_hosts;
  std::vector<std::unique_ptr<Upstream>> m_upstreams;
  std::vector<std::unique_ptr<Caller>> m_callers;
  std::vector<Listener> m_listeners;
  std::map<std::string, Clock::time_point> m_take_outs;
  std::map<std::string, std::string> m_cuts;
  std::map<uint64_t, Clock::time_point> m_upstream_disturbed;
  Clock::time_point m_store_disturbed;
  uint64_t m_next_upstream = 0x10;
  uint16_t m_next_upstream_port = 21'000;
  int64_t m_configuration_version = 1;
  uint64_t m_fault_count = 0;
  bool m_is_supervising = true;
};

}  // namespace poplarsail::soak

#endif  // SOAK_SCENARIO_H_
