#ifndef EMULATOR_FLEET_H_
#define EMULATOR_FLEET_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

#include "emulator/host_model.h"
#include "emulator/oracle.h"
#include "emulator/recorder.h"
#include "emulator/scenario.h"
#include "emulator/upstream_model.h"
#include "emulator/upstream_totals.h"

namespace poplarsail::emulator {

class SchedulingNetwork;

enum class ResponseKind : uint8_t {
  kProcessed,
  // The queue of the upstream is full.
  kRejected,
  kError,
};

// The deployment of a scenario: entry hosts, upstreams, the cluster state known
// to all hosts, and the network between them.
class Fleet {
 public:
  // Called when a packet from the system reaches a client.
  struct ClientCallbacks {
    // An upstream accepted the flow. The client repeats `tag` in each packet.
    std::function<void(const flows::FlowKey&, uint32_t tag)> flow_opened;
    // `closes_flow` is true if the upstream closes the flow after this
    // response.
    std::function<void(const flows::FlowKey&, ResponseKind, bool closes_flow)>
        response_received;
    std::function<void(const flows::FlowKey&)> flow_reset;
  };

  Fleet(EventQueue* events,
        const Scenario& scenario,
        PlacementFactory placement,
        uint64_t seed,
        SchedulingMode mode = SchedulingMode::kNone);
  ~Fleet();

  void set_client_callbacks(ClientCallbacks callbacks) {
    m_client_callbacks = std::move(callbacks);
  }

  // Returns the address of a listener.
  static flows::Ipv4Endpoint ListenerEndpoint(size_t listener);

  // Sends a packet from a client in the failure domain. `work` is the
  // processing time of the request if the packet carries data.
  void Send(const flows::FlowPacket& packet,
            size_t failure_domain,
            SteadyTime::duration work);

  // Starts a disturbance of hosts or upstreams; those of the load are ignored.
  void StartDisturbance(const Disturbance& disturbance);

  // Returns the number of requests processed by each live upstream of a
  // service.
  std::vector<uint64_t> CompletedRequests(size_t service) const;

  UpstreamTotals Totals(size_t service) const;

  // Returns when an upstream crashed, or std::nullopt if it did not.
  std::optional<SteadyTime> CrashTime(uint64_t upstream_id) const;
  void set_on_flow_to_crashed(std::function<void(SteadyTime::duration)> call) {
    m_on_flow_to_crashed = std::move(call);
  }

 private:
  std::string DomainName(size_t index) const;
  size_t DomainIndex(const std::string& name) const;
  std::vector<cluster_state::ListenerRecord> MakeListeners() const;
  void AddUpstream(size_t service, size_t domain, SteadyTime cold_until);
  void AddHost(size_t index);
  void SetUpScheduling();
  // Returns nullptr if flows are placed by the policy of the host.
  std::unique_ptr<FlowScheduling> MakeFlowScheduling(HostModel* host,
                                                     size_t host_index);
  Oracle::Request DescribeRequest(const flows::FlowKey& key,
                                  size_t failure_domain);
  std::vector<OracleUpstream> OracleUpstreams() const;
  // Notifies all hosts of a change after the delay of their watches.
  void PublishUpstream(const cluster_state::UpstreamRecord& record,
                       bool is_removed);
  void UpdateHosts();
  void Tick();
  HostModel* SelectHost(const flows::FlowKey& key, size_t failure_domain);
  SteadyTime::duration DelayBetween(const std::string& from,
                                    const std::string& to) const;

  void ForwardToUpstream(const std::string& from,
                         const flows::FlowPacket& packet,
                         uint64_t upstream_id,
                         uint32_t tag);
  void HandleAtUpstream(UpstreamModel* upstream,
                        const flows::FlowPacket& packet,
                        uint32_t tag,
                        SteadyTime::duration return_delay);
  void SendResponse(const flows::FlowKey& key,
                    ResponseKind kind,
                    bool closes_flow,
                    SteadyTime::duration delay);
  void RunHealthCheck(const std::string& from,
                      uint64_t upstream_id,
                      const std::function<void(bool)>& callback);
  void Crash(uint64_t upstream_id);
  void CrashUpstreams(size_t count);
  void CrashDomain(milliseconds length);
  std::vector<uint64_t> LiveUpstreamsOfFirstService() const;
  void SlowDownUpstreams(const Disturbance& disturbance);
  void FlapUpstreams(const Disturbance& disturbance);
  void ReuseAddresses(const Disturbance& disturbance);
  void ReplaceUpstream(uint64_t id);
  // Replaces the first `disturbance.count` upstreams of `remaining` and then
  // schedules the next batch.
  void ReplaceUpstreams(const Disturbance& disturbance,
                        std::vector<uint64_t> remaining);
  void StartRollingRelease(const Disturbance& disturbance);
  void ReturnErrors(const Disturbance& disturbance);
  void RestartHosts(milliseconds length);

  EventQueue* m_events;
  Scenario m_scenario;
  PlacementFactory m_placement;
  std::mt19937_64 m_random;
  SchedulingMode m_mode;
  std::unique_ptr<SchedulingNetwork> m_scheduling_network;
  std::unique_ptr<Oracle> m_oracle;
  cluster_state::ClusterState m_cluster_state;
  uint64_t m_revision = 1;
  uint64_t m_next_id = 1;
  size_t m_added_upstreams = 0;
  uint64_t m_arrivals = 0;
  uint64_t m_sheds = 0;
  std::map<uint64_t, std::unique_ptr<UpstreamModel>> m_upstreams;
  std::map<uint64_t, SteadyTime> m_crash_times;
  // Ids of terminated upstreams whose addresses are in use by other upstreams.
  std::set<uint64_t> m_reused_address_ids;
  std::vector<std::unique_ptr<HostModel>> m_hosts;
  // Kept alive because scheduled events may still refer to them.
  std::vector<std::unique_ptr<HostModel>> m_stopped_hosts;
  bool m_are_hosts_down = false;
  // Processing time of the current request of each flow.
  std::unordered_map<flows::FlowKey, SteadyTime::duration, flows::FlowKeyHash>
      m_work;
  ClientCallbacks m_client_callbacks;
  std::function<void(SteadyTime::duration)> m_on_flow_to_crashed;
};

}  // namespace poplarsail::emulator

#endif  // EMULATOR_FLEET_H_
