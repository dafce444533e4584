// Decides for each packet of a caller where it goes. Pure: packets, beliefs and
// time come in, decisions go out.
#ifndef FLOWS_STEERING_H_
#define FLOWS_STEERING_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "cluster_state/cluster_state.h"
#include "flows/routing_table.h"
#include "flows/flow_packet.h"
#include "flows/flow_table.h"
#include "flows/placement.h"
#include "telemetry/telemetry.h"

namespace poplarsail::flows {

// Flows that a host observes at the most; about 100 bytes each.
inline constexpr size_t kFlowTableCapacity = 50'000;
// Records of flows without packets are dropped after this time where the
// configuration gives no other.
inline constexpr std::chrono::seconds kDefaultFlowIdle{15};
// An unanswered packet is held against its upstream after this time: the least
// distance of two copies by their sender is 200 ms, less jitter.
inline constexpr milliseconds kUnansweredAfter{150};
// A flow whose tag names no known upstream may belong to an upstream that this
// host has yet to hear of; its first packets are dropped for this time.
inline constexpr milliseconds kUnknownTagGrace{700};

enum class Action : uint8_t {
  // Pass it on to the upstream, with the tag.
  kForward,
  // Tell the caller that the flow has no upstream.
  kReset,
  kDrop,
  // Decide again when more is known.
  kHold,
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
};
inline constexpr size_t kReasonCount = 10;

std::string_view ToString(Reason reason);

struct Decision {
  Action action = Action::kDrop;
  Reason reason = Reason::kNoTag;
  const Upstream* upstream = nullptr;
  uint32_t tag = 0;
  // Ask again once the flow should have shown an answer.
  bool expects_response = false;
};

// What to do about a packet that has had no answer in time.
struct ResponseTimeoutDecision {
  // Where to send a copy of the opening packet.
  std::optional<Decision> resend;
  // The upstream that should be checked.
  const Upstream* check = nullptr;
};

// What the result of a check leads to.
struct CheckResultDecision {
  // The flows to reset at once since their upstream is gone, as the packets
  // that they wait with.
  std::vector<FlowPacket> flows_to_reset;
  // Other hosts should be told.
  bool should_notify_peers = false;
};

// A packet whose sequence is farther away than this from the last one of its
// flow belongs to another flow with the same ports: 16 packets of 1,200 bytes
// may be under way, four times over.
inline constexpr int32_t kSequenceWindow = 76'800;
// An upstream is checked at most this often.
inline constexpr milliseconds kCheckInterval{1'000};
// Weight of a new response time in the moving average.
inline constexpr double kResponseWeight = 0.15;

class Steering {
 public:
  explicit Steering(std::unique_ptr<Placement> placement);

  // Takes over what changed in `belief`.
  void Update(const cluster_state::ClusterState& cluster_state, SteadyTime now);

  Decision Decide(const FlowPacket& packet, SteadyTime now);

  // An answer that `packet` should have had until now.
  ResponseTimeoutDecision DecideOnTimeout(const FlowPacket& packet, SteadyTime now);

  // The result of checking an upstream. Load pattern: callers keep flows idle;
  // one that is reset with the others opens a new flow for its next request,
  // which would be lost on the old one.
  CheckResultDecision HandleCheckResult(uint64_t upstream_id,
                            bool is_alive,
                            SteadyTime now);

  // An upstream that should answer if this host's own link is in order: the one
  // that answered last, besides `checked`. Returns nullptr where none did.
  const Upstream* FindReferenceUpstream(const Upstream& checked) const;

  // Another host finds that the upstream does not answer. Returns it where it
  // should be checked.
  const Upstream* HandleFailureReport(uint64_t upstream_id, SteadyTime now);

  // The upstreams that are presumed dead and should be checked again.
  std::vector<const Upstream*> StartDueChecks(SteadyTime now);

  // Forgets flows that ended or fell silent; call about once a second.
  void EvictIdleFlows(SteadyTime now);

  RoutingTable& routing_table() { return m_directory; }
  const FlowTable& flow_table() const { return m_flows; }
  // From an opening packet to the first packet on the open flow.
  const telemetry::LatencyHistogram& handshake_times() const {
    return m_opening_times;
  }
  // From a request's first packet to the first sign of its answer.
  const telemetry::LatencyHistogram& response_times() const {
    return m_response_times;
  }

 private:
  Decision DecideOpening(const FlowPacket& packet,
                         const Listener& listener,
                         SteadyTime now);
  Decision DecideTagged(const FlowPacket& packet, SteadyTime now);
  Decision DecideUntagged(const FlowPacket& packet, SteadyTime now);
  const Service* ChooseService(const FlowPacket& packet,
                               const Listener& listener) const;
  // Returns whether the packet begins to wait for an answer.
  bool Observe(const FlowPacket& packet,
               FlowRecord* flow,
               Upstream* upstream,
               SteadyTime now);
  Upstream* PinnedUpstream(const FlowPacket& packet,
                           const FlowRecord* flow,
                           Upstream* tagged);
  bool StartCheck(Upstream* upstream, SteadyTime now);
  void CountUnanswered(FlowRecord* flow, SteadyTime now);
  void CountAnswered(const FlowRecord& flow,
                     Upstream* upstream,
                     SteadyTime now);
  bool IsPresumedDead(const Upstream& upstream, SteadyTime now) const;
  // `upstream` is the flow's.
  static void SetWaiting(FlowRecord* flow, Upstream* upstream, bool is_waiting);
  void Release(const FlowRecord& flow);
  void Attach(FlowRecord* flow, Upstream* upstream);

  std::unique_ptr<Placement> m_placement;
  RoutingTable m_directory;
  FlowTable m_flows;
  telemetry::LatencyHistogram m_opening_times;
  telemetry::LatencyHistogram m_response_times;
  bool m_is_complete = false;
  // When an answer last came as soon as it should.
  SteadyTime m_last_prompt_answer;
  std::chrono::milliseconds m_flow_idle{kDefaultFlowIdle};
};

}  // namespace poplarsail::flows

#endif  // FLOWS_STEERING_H_
