#ifndef EMULATOR_FLEET_H_
#define EMULATOR_FLEET_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "emulator/host_model.h"
#include "emulator/recorder.h"
#include "emulator/scenario.h"
#include "emulator/upstream_model.h"

namespace poplarsail::emulator {

// The deployment of a scenario: entry hosts, upstreams, the belief that all
// hosts share, and the links between them.
class Fleet {
 public:
  // What callers get back.
  struct CallerLinks {
    // An upstream took the flow; `tag` is to be repeated.
    std::function<void(const flows::FlowKey&, uint32_t tag)> opened;
    // `is_last` where the upstream then closes the flow.
    std::function<void(const flows::FlowKey&, bool has_run, bool is_last)>
        answered;
    std::function<void(const flows::FlowKey&)> reset;
  };

  Fleet(EventQueue* events,
        const Scenario& scenario,
        PlacementFactory placement,
        uint64_t seed);

  void set_caller_links(CallerLinks links) { m_callers = std::move(links); }

  // Where callers reach the service.
  static flows::Ipv4Endpoint ListenerOf(size_t service);

  // A caller in the failure domain sends a packet; `work` is what the upstream
  // has to do for a packet with data.
  void Send(const flows::FlowPacket& packet,
            size_t failure_domain,
            milliseconds work);

  // Begins a trouble that hits hosts or upstreams.
  void Begin(const Trouble& trouble);

  // Requests run by each upstream of a service that is still there.
  std::vector<uint64_t> RunsOf(size_t service) const;

  // When an upstream crashed; nothing while it lives.
  std::optional<SteadyTime> CrashTime(uint64_t upstream_id) const;
  void set_on_flow_to_crashed(std::function<void(SteadyTime::duration)> call) {
    m_on_flow_to_crashed = std::move(call);
  }

 private:
  std::string DomainName(size_t index) const;
  void AddUpstream(size_t service, size_t domain, SteadyTime cold_until);
  void AddHost(size_t index);
  // Tells all hosts of a change, as late as their watches do.
  void PublishUpstream(const cluster_state::UpstreamRecord& record, bool is_removed);
  void UpdateHosts();
  void Tick();
  HostModel* HostFor(const flows::FlowKey& key, size_t failure_domain);
  SteadyTime::duration DelayBetween(const std::string& from,
                                    const std::string& to) const;

  void ToUpstream(const std::string& from,
                  const flows::FlowPacket& packet,
                  uint64_t upstream_id,
                  uint32_t tag);
  void Arrive(UpstreamModel* upstream,
              const flows::FlowPacket& packet,
              uint32_t tag,
              SteadyTime::duration way_back);
  void Check(const std::string& from,
             uint64_t upstream_id,
             const std::function<void(bool)>& callback);
  void Crash(uint64_t upstream_id);
  void CrashFirst(size_t count);
  void CrashDomain(milliseconds length);
  // The living upstreams of the first service.
  std::vector<uint64_t> FirstService() const;
  void Slow(const Trouble& trouble);
  void Flap(const Trouble& trouble);
  void Reuse(const Trouble& trouble);
  // Replaces the first of `left`, then the next ones.
  void ReplaceNext(const Trouble& trouble, std::vector<uint64_t> left);
  void RestartAll(milliseconds length);

  EventQueue* m_events;
  Scenario m_scenario;
  PlacementFactory m_placement;
  std::mt19937_64 m_random;
  cluster_state::ClusterState m_belief;
  uint64_t m_revision = 1;
  uint64_t m_next_id = 1;
  std::map<uint64_t, std::unique_ptr<UpstreamModel>> m_upstreams;
  std::map<uint64_t, SteadyTime> m_crash_times;
  // Upstreams that ended and whose addresses others took.
  std::set<uint64_t> m_succeeded;
  std::vector<std::unique_ptr<HostModel>> m_hosts;
  // Hosts that were stopped; events may still name them.
  std::vector<std::unique_ptr<HostModel>> m_stopped_hosts;
  bool m_are_hosts_down = false;
  // Work that each flow's current request asks for.
  std::map<flows::FlowKey, milliseconds> m_work;
  CallerLinks m_callers;
  std::function<void(SteadyTime::duration)> m_on_flow_to_crashed;
};

}  // namespace poplarsail::emulator

#endif  // EMULATOR_FLEET_H_
