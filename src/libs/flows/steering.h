// Decides where to forward each packet from a client. Does no I/O: the packets,
// the cluster state and the time are passed in.
#ifndef FLOWS_STEERING_H_
#define FLOWS_STEERING_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "cluster_state/cluster_state.h"
#include "flows/flow_admission.h"
#include "flows/flow_packet.h"
#include "flows/flow_scheduler.h"
#include "flows/flow_table.h"
#include "flows/loss_counts.h"
#include "flows/overdue_monitor.h"
#include "flows/peer_placements.h"
#include "flows/placement.h"
#include "flows/response_timeouts.h"
#include "flows/routing_table.h"
#include "telemetry/telemetry.h"

namespace poplarsail::flows {

// Maximum number of flows that a host observes; about 100 bytes each.
inline constexpr size_t kFlowTableCapacity = 50'000;
// Records of flows without packets are evicted after this time unless the
// configuration sets another.
inline constexpr std::chrono::seconds kDefaultFlowIdleTimeout{15};
// The record of a flow that its client has ended is kept for this time. The
// upstream sends its last packets again for longer, but the client's
// acknowledgements of them then count for a single new flow at most.
inline constexpr milliseconds kClosedFlowRetention{2'000};
// A tag that identifies no known upstream may belong to one that this host has
// not learned of yet, up to the delay between two watches after the others.
// Packets of such a flow are dropped for this time before the flow is reset.
inline constexpr milliseconds kUnknownTagGracePeriod{900};

// A listener that this host does not know may have been added since its last
// watch of the configuration, up to the longest delay between two watches after
// the other hosts. Packets of open flows are dropped for this time before such
// a flow is reset.
inline constexpr milliseconds kUnknownListenerGracePeriod{1'300};

enum class Action : uint8_t {
  // Forward the packet to the upstream, with the tag.
  kForward,
  // Reset the flow, since it has no upstream.
  kReset,
  kDrop,
  // Keep the packet and decide again once the cluster state is complete and
  // current.
  kHold,
  // Keep the packet until the scheduler answers the request with `token`.
  kAwaitPlacement,
};

enum class Reason : uint8_t {
  kPlaced,
  kPlacedAgain,
  kTagged,
  kNoListener,
  kNoUpstream,
  kUpstreamGone,
  kUpstreamDead,
  kUnknownTag,
  kNoTag,
  kStateIncomplete,
  // The scheduler placed the flow, or was asked to.
  kScheduled,
  // Retransmission of a SYN that waits for the scheduler.
  kHeld,
  // The scheduler refused the flow, or the service takes few new flows because
  // its upstreams refuse requests.
  kNoRoom,
  // This host's listeners or upstreams may be older than its start and lack
  // what the packet needs.
  kStateNotCurrent,
  // A flow is open on a listener that this host does not know, as yet.
  kUnknownListener,
  // The SYN had no response, but its upstream is alive and may still answer.
  kSentAgain,
  // Copy of a SYN that another host has placed.
  kPlacedByPeer,
};
inline constexpr size_t kReasonCount = 17;

std::string_view ToString(Reason reason);

struct Decision {
  Action action = Action::kDrop;
  Reason reason = Reason::kNoTag;
  const Upstream* upstream = nullptr;
  uint32_t tag = 0;
  // When the response to the packet is overdue, or nullopt if none is expected.
  std::optional<SteadyTime> response_deadline;
  // For a SYN, when to find out whether the upstream is alive if there is no
  // response by then.
  std::optional<SteadyTime> probe_time;
  // Set for kAwaitPlacement.
  uint32_t token = 0;
};

// What to do about a packet without a timely response.
struct ResponseTimeoutDecision {
  // Where to send the SYN again.
  std::optional<Decision> resend;
  // The upstream to check, or nullptr.
  const Upstream* check = nullptr;
  // The upstream to connect to, or nullptr. Report the connection by
  // RecordConnection().
  const Upstream* probe = nullptr;
  // When to decide again, or nullopt.
  std::optional<SteadyTime> next_deadline;
};

// What to do after the check of an upstream.
struct CheckResultDecision {
  // Packets to answer with a reset, one for each flow of the failed upstream.
  std::vector<FlowPacket> flows_to_reset;
  // Whether to report the failure to the other hosts.
  bool should_notify_peers = false;
};

// A packet whose sequence number is farther than this from the last one of its
// flow belongs to another flow with the same ports. Four times the 16 packets
// of 1,200 bytes that may be in flight.
inline constexpr int32_t kSequenceWindow = 76'800;
// Minimum interval between two checks of an upstream, and after a refused one.
inline constexpr milliseconds kCheckInterval{1'000};
inline constexpr milliseconds kRefusedCheckInterval{250};
// Minimum interval between two connections that show whether an upstream is
// alive.
inline constexpr milliseconds kProbeInterval{25};
// Weight of a new sample in the moving average of response times.
inline constexpr double kResponseTimeWeight = 0.15;

class Steering {
 public:
  explicit Steering(std::unique_ptr<Placement> placement);

  // Applies the changes of `cluster_state` since the last call.
  void Update(const cluster_state::ClusterState& cluster_state, SteadyTime now);

  Decision Decide(const FlowPacket& packet, SteadyTime now);

  // Places the flows of some services, or nullptr. Outlives this object.
  void set_scheduler(FlowScheduler* scheduler) { m_scheduler = scheduler; }

  // Whether the SYN still waits for the answer to the request with `token`.
  bool IsHeld(const FlowPacket& syn, uint32_t token) {
    return FindHeldFlow(syn, token) != nullptr;
  }
  // Execute the scheduler's answer for the SYN that Decide kept. The decision
  // is kDrop if the SYN is no longer kept or, for a placement, if the upstream
  // is unknown or may not take new flows.
  Decision PlaceHeldFlow(const FlowPacket& syn,
                         uint32_t token,
                         uint64_t upstream_id,
                         SteadyTime now);
  Decision PlaceHeldFlowLocally(const FlowPacket& syn,
                                uint32_t token,
                                SteadyTime now);
  Decision RefuseHeldFlow(const FlowPacket& syn,
                          uint32_t token,
                          Reason reason,
                          SteadyTime now);

  // Call at the probe time of `packet` and when its response is overdue.
  ResponseTimeoutDecision DecideOnTimeout(const FlowPacket& packet,
                                          SteadyTime now);

  // The upstream accepted a connection.
  void RecordConnection(uint64_t upstream_id, SteadyTime now);

  // Another host has placed a flow whose SYN has had no response so far. If a
  // copy arrives here, it goes to the same upstream.
  void RecordPeerPlacement(const FlowKey& key,
                           uint64_t upstream_id,
                           SteadyTime now) {
    m_peer_placements.Record(key, upstream_id, now);
  }

  // Applies the result of a check. If the upstream has failed, its idle flows
  // are reset as well: clients keep flows idle, and the next request on one
  // would be lost. After a reset the client opens a new flow for it.
  CheckResultDecision HandleCheckResult(uint64_t upstream_id,
                                        CheckOutcome outcome,
                                        SteadyTime now);

  // Sets whether the registrations of upstreams are known to be current,
  // because the store is reachable.
  void set_registrations_current(bool are_current) {
    m_are_registrations_current = are_current;
  }

  // Sets whether the listeners and upstreams are known as of the start of this
  // host or later. Until then no flow is reset for the lack of one.
  void set_current(bool are_listeners_current, bool are_upstreams_current) {
    m_are_listeners_current = are_listeners_current;
    m_are_upstreams_current = are_upstreams_current;
  }

  // Returns the upstream other than `checked` that responded last, or nullptr
  // if none did. It should respond to a check if this host's own link works.
  const Upstream* FindReferenceUpstream(const Upstream& checked) const;

  // Returns how long a connection of a check of `checked` may take, or of one
  // to `reference` if it is not nullptr.
  milliseconds ConnectTimeout(const Upstream& checked,
                              const Upstream* reference) const;

  // Handles another host's report that the upstream does not respond: new flows
  // avoid the upstream. Returns the upstream if it should be checked, because
  // flows of this host depend on the result, else nullptr.
  const Upstream* HandleFailureReport(uint64_t upstream_id, SteadyTime now);

  // Marks the due checks of unregistered or unhealthy upstreams as started and
  // returns these upstreams. Upstreams without open flows at this host are not
  // checked: new flows avoid them and try them one at a time, and in a large
  // fleet the checks of all hosts would add up.
  std::vector<const Upstream*> StartDueChecks(SteadyTime now);

  // Returns the overdue requests since the last call, for the other hosts of
  // the failure domain, and adds those that they report.
  std::vector<OverdueCount> TakeOverdueRequests() {
    return m_overdue_monitor.TakeCounts();
  }
  void AddOverdueRequests(const std::vector<OverdueCount>& counts,
                          SteadyTime now);
  // Judges by the overdue requests which upstreams are unresponsive, and by
  // their refusals how many new flows a service takes. Call several times a
  // second.
  std::vector<UnresponsiveChange> JudgeUpstreams(SteadyTime now) {
    m_admission.Update(m_routing_table, now);
    return OverdueMonitor::Update(m_routing_table, now);
  }

  // Removes the records of idle flows. Call about once a second.
  void EvictIdleFlows(SteadyTime now);

  RoutingTable& routing_table() { return m_routing_table; }
  // Lost requests; the caller adds the flows that it resets.
  LossCounts& losses() { return m_losses; }
  const LossCounts& losses() const { return m_losses; }
  const FlowTable& flow_table() const { return m_flows; }
  // Time from a SYN to the first packet on the established flow.
  const telemetry::LatencyHistogram& handshake_times() const {
    return m_handshake_times;
  }
  // Time from a packet of a request to the first sign of its response.
  const telemetry::LatencyHistogram& response_times() const {
    return m_response_times;
  }

 private:
  Decision DecideSyn(const FlowPacket& packet,
                     const Listener& listener,
                     SteadyTime now);
  // Asks the scheduler to place the flow.
  Decision RequestPlacement(const FlowPacket& packet,
                            const Service& service,
                            FlowRecord* flow,
                            SteadyTime now);
  // Starts the record of a flow whose SYN arrives.
  void StartRecord(FlowRecord* flow);
  Decision ForwardSyn(const FlowPacket& packet,
                      FlowRecord* flow,
                      Upstream* upstream,
                      Reason reason,
                      SteadyTime now);
  // Returns the upstream that the flow's SYN was sent to if it may still
  // answer, else nullptr. A SYN at two upstreams could leave the client with
  // the tag of the one that does not hold the flow.
  Upstream* FindLiveUpstream(const FlowPacket& syn,
                             const Listener& listener,
                             const FlowRecord& flow);
  // Returns the upstream that another host chose for the SYN, or nullptr.
  Upstream* FindPeerPlacement(const FlowPacket& syn,
                              const Listener& listener,
                              SteadyTime now);
  Decision ResendSyn(const FlowPacket& syn,
                     FlowRecord* flow,
                     Upstream* upstream,
                     SteadyTime now);
  // Returns the record if its SYN waits for the answer to `token`.
  FlowRecord* FindHeldFlow(const FlowPacket& syn, uint32_t token);
  bool IsScheduled(const std::string& service) const {
    return m_scheduler != nullptr && m_scheduler->IsScheduled(service);
  }
  // Tells the scheduler that the flow no longer occupies its upstream.
  void ReleasePlace(FlowRecord* flow,
                    scheduling::Outcome outcome,
                    SteadyTime::duration response_time = {});
  // Tells the scheduler that a flow of a scheduled service was placed, with a
  // new token unless it has one.
  void ReportPlacement(FlowRecord* flow, const Upstream& upstream);
  void CountRequest(const FlowKey& key, FlowRecord* flow);
  Decision DecideWithoutListener(const FlowPacket& packet, SteadyTime now);
  Decision DecideTagged(const FlowPacket& packet, SteadyTime now);
  Decision DecideUntagged(const FlowPacket& packet, SteadyTime now);
  // Whether the first packet of a flow whose target is unknown arrived `period`
  // ago. Starts a record for the first one.
  bool IsGracePeriodOver(FlowRecord* flow, milliseconds period, SteadyTime now);
  const Service* ChooseService(const FlowPacket& packet,
                               const Listener& listener) const;
  // Updates the flow's record. Returns when the response to the packet is
  // overdue, or nullopt if none is expected.
  std::optional<SteadyTime> TrackPacket(const FlowPacket& packet,
                                        FlowRecord* flow,
                                        Upstream* upstream,
                                        SteadyTime now);
  // Records how much of an answer its first acknowledgement covers.
  void RecordAnswer(const FlowPacket& packet,
                    FlowRecord* flow,
                    Upstream* upstream,
                    SteadyTime now);
  // Resets a new flow and remembers it as closed.
  Decision RefuseFlow(FlowRecord* flow, Reason reason, SteadyTime now);
  // Decides on a SYN that had no response in time.
  ResponseTimeoutDecision DecideOnSynTimeout(const FlowPacket& syn,
                                             FlowRecord* flow,
                                             Upstream* upstream,
                                             SteadyTime now);
  ResponseTimeoutDecision ProbeUpstream(const FlowRecord& flow,
                                        Upstream* upstream,
                                        SteadyTime now);
  // Places the flow at an upstream other than the one that did not answer.
  std::optional<Decision> PlaceAgain(const FlowPacket& syn,
                                     FlowRecord* flow,
                                     SteadyTime now);
  Upstream* FindPinnedUpstream(const FlowPacket& packet,
                               const FlowRecord* flow,
                               Upstream* tagged);
  bool StartCheck(Upstream* upstream, SteadyTime now);
  // Marks the flow as waiting for a response to a packet that is sent now.
  void AwaitResponse(FlowRecord* flow,
                     Upstream* upstream,
                     milliseconds timeout,
                     SteadyTime now);
  void RecordFlowTimeout(FlowRecord* flow, SteadyTime now);
  void RecordFlowResponse(const FlowKey& key,
                          FlowRecord* flow,
                          Upstream* upstream,
                          SteadyTime now);
  // Counts the request that the flow waits for as unanswered.
  void RecordEndOfFlow(const FlowKey& key, const FlowRecord& flow);
  // Whether a refused connection shows that the flows of the upstream have
  // ended.
  bool DoesRefusalEndFlows(const Upstream& upstream, SteadyTime now) const;
  // `upstream` is the upstream of `flow`.
  static void SetAwaitingResponse(FlowRecord* flow,
                                  Upstream* upstream,
                                  bool is_awaiting_response);
  void DetachFlow(const FlowRecord& flow);
  void AttachFlow(FlowRecord* flow, Upstream* upstream);

  std::unique_ptr<Placement> m_placement;
  FlowAdmission m_admission;
  OverdueMonitor m_overdue_monitor;
  LossCounts m_losses;
  FlowScheduler* m_scheduler = nullptr;
  RoutingTable m_routing_table;
  FlowTable m_flows;
  PeerPlacements m_peer_placements;
  ResponseTimeouts m_response_timeouts;
  telemetry::LatencyHistogram m_handshake_times;
  telemetry::LatencyHistogram m_response_times;
  bool m_has_complete_state = false;
  int64_t m_configuration_version = 0;
  bool m_are_registrations_current = true;
  bool m_are_listeners_current = true;
  bool m_are_upstreams_current = true;
  std::chrono::milliseconds m_flow_idle_timeout{kDefaultFlowIdleTimeout};
};

}  // namespace poplarsail::flows

#endif  // FLOWS_STEERING_H_
