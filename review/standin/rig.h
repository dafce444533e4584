// A small deployment on loopback addresses: entry hosts as processes, the
// routers before them, the store, targets and consumers.
#ifndef REVIEW_STANDIN_RIG_H_
#define REVIEW_STANDIN_RIG_H_

#include <signal.h>
#include <sys/types.h>

#include <utility>
// Boost 1.74 needs <utility> before it.
#include <boost/asio.hpp>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <stdexcept>
#include <string>
#include <vector>

#include "consumer.h"
#include "packet.h"
#include "store.h"
#include "target.h"

namespace review {

// The bounds of the small deployments.
inline constexpr milliseconds kStableWindow{4'000};
inline constexpr milliseconds kDrainBound{3'000};
inline constexpr milliseconds kEvacuationBound{5'000};

// The case could not run.
class SetupError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct RouteSpec {
  std::string service;
  Address address;
  std::string type = "safe";
};

struct ServiceSpec {
  std::string name;
  double cold_per_s = 0;
  size_t max_conns = 2'000;
};

class Rig {
 public:
  using Udp = boost::asio::ip::udp;
  using Tcp = boost::asio::ip::tcp;

  // `program` is the program of the deploy file, `record` the path of the
  // record.
  Rig(std::string program, const std::string& record);
  ~Rig();

  Rig(const Rig&) = delete;
  Rig& operator=(const Rig&) = delete;

  // One entry host of a zone.
  struct Host {
    std::string name;
    std::string zone;
    boost::asio::ip::address_v4 ip;
    bool is_seed = false;
    pid_t pid = 0;
    bool is_wanted = true;
    bool is_in_rotation = false;
    int misses = 0;
    // How often the process ended although nobody had told it to.
    int own_ends = 0;
    bool is_told_to_end = false;
    // The last start, signal or kill of the process.
    Clock::time_point disturbed;
    std::optional<Clock::time_point> restart_at;
  };

  MetadataStore& store() { return *m_store; }
  std::vector<Host>& hosts() { return m_hosts; }
  std::vector<std::unique_ptr<Target>>& targets() { return m_targets; }

  void AddHosts(const std::string& zone, int count, int seeds);
  // Starts all hosts, and waits until the routers use all of them.
  void StartHosts();
  Target* AddTarget(const std::string& service,
                    const std::string& zone,
                    const std::string& state = "ready",
                    int64_t cold_left_ms = 0,
                    size_t max_conns = 2'000);
  // The store's answer to either is what acknowledges the change.
  void WriteEntry(const Target& target,
                  const std::string& state,
                  int64_t cold_left_ms = 0);
  void WriteConfig();
  std::vector<RouteSpec> routes;
  std::vector<ServiceSpec> services;

  // Opens one flow from the zone's consumers.
  void OpenFlow(const std::string& zone,
                const FlowPlan& plan,
                Consumer::DoneHook done);

  void Terminate(Host* host);
  void Kill(Host* host);
  // Share of the targets' datagrams that the network loses; for targets that
  // are added later.
  double loss = 0;
  // The platform restarts a process that has ended after this time.
  milliseconds restart_delay{300};

  Host* FindHost(const std::string& ip);
  // When the consumer sent the first SYN of the flow.
  Clock::time_point OpenedAt(const FlowId& flow) const {
    const auto found = m_opened.find(flow);
    return found == m_opened.end() ? Clock::time_point() : found->second;
  }
  // Whether no start, signal or kill hit the host within the stable window.
  bool IsInTouch(const Host& host) const {
    return Clock::now() - host.disturbed >= kStableWindow;
  }

  void After(milliseconds delay, std::function<void()> action);
  void RunFor(milliseconds time);
  void Log(const std::string& text);

  // Checks of a case.
  Target::OpeningHook on_opening =
      [](const Target&, const FlowId&, const std::string&, bool) {};
  std::function<void(const AcceptedReset&)> on_reset =
      [](const AcceptedReset&) {};
  uint64_t served = 0;
  uint64_t unserved = 0;

 private:
  void ChooseNetwork();
  std::string Ip(int group, int number) const;
  void WriteSettings(const Host& host) const;
  void StartHost(Host* host);
  void Supervise();
  void Probe(Host* host);
  void ProbeAll();
  Udp::endpoint Route(const std::string& zone, const FlowId& flow) const;
  bool IsUsed(const Host& host) const;

  std::string m_program;
  std::string m_directory;
  std::ofstream m_record;
  Clock::time_point m_start = Clock::now();
  boost::asio::io_context m_context;
  boost::asio::signal_set m_signals{m_context, SIGTERM, SIGINT};
  std::mt19937_64 m_random{std::random_device()()};
  int m_network = 0;
  uint16_t m_port = 0;
  std::unique_ptr<MetadataStore> m_store;
  std::vector<Host> m_hosts;
  std::vector<std::unique_ptr<Target>> m_targets;
  std::map<std::string, std::unique_ptr<Consumer>> m_consumers;
  std::map<FlowId, Clock::time_point> m_opened;
  uint64_t m_next_target = 0x7f3a0001;
  uint16_t m_next_target_port = 0;
  int64_t m_config_version = 7;
};

std::string ToText(const FlowId& flow);
std::string ToText(uint32_t ip);

}  // namespace review

#endif  // REVIEW_STANDIN_RIG_H_
