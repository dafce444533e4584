#ifndef STEERING_ROUTER_H_
#define STEERING_ROUTER_H_

#include <array>
#include <boost/container/small_vector.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "steering/decision.h"
#include "steering/flow_key.h"
#include "steering/flow_table.h"
#include "steering/keeper_map.h"
#include "steering/keeper_role.h"
#include "steering/packet_parser.h"
#include "steering/relay_header.h"
#include "steering/service_plan.h"
#include "steering/steering_constants.h"

namespace poplarsail::steering {

// Decides where packets go on one entry host. Buckets with one owner need no
// state. In a bucket with several owners, the two keepers of the newest
// owner's failure domain record each new flow: its first packet passes through
// both on its way, so records cost no control message. Packets without a
// record belong to the bucket's oldest owner.
class Router {
 public:
  Router(std::string self, size_t flow_capacity);

  // Takes a plan; one of an older generation than the present one is ignored.
  // Returns whether it was taken.
  bool SetPlan(ServicePlanPtr plan);
  void RemoveService(const std::string& service);
  void SetMembers(std::shared_ptr<const ReplicaMap> members, TimePoint now);

  // The process did not run for a while: flows may have begun that it should
  // have recorded.
  void HandleProcessPause(TimePoint now);

  // `relay` is null for a packet from the fabric.
  Decision Decide(const PacketSummary& packet,
                  const RelayHeader* relay,
                  TimePoint now);

  // As Decide for a packet that opens no flow, without changing anything.
  Decision Explain(const PacketSummary& packet, TimePoint now) const;

  const ReplicaMap& members() const { return m_role.members(); }
  ServicePlanPtr FindPlan(const std::string& service) const;
  FlowTable& flows() { return m_flows; }
  const FlowTable& flows() const { return m_flows; }

 private:
  struct ServiceKey {
    AddressBytes address{};
    uint16_t port = 0;
    uint8_t protocol = 0;
    friend bool operator==(const ServiceKey&, const ServiceKey&) = default;
  };
  struct ServiceKeyHash {
    size_t operator()(const ServiceKey& key) const;
  };
  struct Entry {
    ServicePlanPtr plan;
    uint64_t service_hash = 0;
    // The keepers' group of each of the plan's links.
    std::vector<GroupIndex> link_groups;
  };
  // One packet on its way through the decision.
  struct Context {
    const ServicePlan& plan;
    // The bucket's links and the keepers' group of each.
    std::span<const BucketLink> links;
    const GroupIndex* link_groups = nullptr;
    const PacketSummary& packet;
    uint64_t hash = 0;
    uint32_t bucket = 0;
    uint32_t slot = 0;
    // Of the host that passed the packet on; empty from the fabric.
    const RelayHeader& relay;
    TimePoint now;
  };
  // Groups of the bucket's links without repetition, newest first.
  using Stages = boost::container::small_vector<GroupIndex, 8>;
  // A host that may hold a record, in the order in which hosts are asked.
  struct PathStep {
    MemberIndex host = 0;
    // The stages for which the host is a candidate, a bit each.
    uint32_t stage_mask = 0;
  };
  using Path = boost::container::small_vector<PathStep, 16>;

  void AssignGroups(Entry* entry) const;
  static ServiceKey KeyOf(const ServicePlan& plan);
  // Returns null for a packet of no service.
  const Entry* FindService(const PacketSummary& packet) const;
  Context MakeContext(const Entry& entry,
                      const PacketSummary& packet,
                      const RelayHeader* relay,
                      TimePoint now) const;
  Decision DecideInTransition(const Context& context);
  Decision DecideFirst(const Context& context);
  Decision RecordAndPassOn(const Context& context,
                           GroupIndex group,
                           UpstreamId upstream,
                           FlowPhase phase);
  Decision ForwardUnrecorded(const Context& context) const;
  Decision StoreCopy(const Context& context, const RelayHeader& header);
  Decision ForwardRecorded(const Context& context, const FoundRecord& found);
  // Nothing where no further host may have a record.
  std::optional<Decision> AskOnward(const Context& context) const;
  Decision DecideUnmarked(const Context& context);
  Decision RecordNew(const Context& context,
                     UpstreamId upstream,
                     FlowPhase phase);
  UpstreamId OwnerOfUnmarked(const Context& context) const;
  std::optional<FoundRecord> FindRecord(const Context& context) const;

  bool WasVisited(const Context& context, MemberIndex host) const;
  Stages StagesOf(const Context& context) const;
  Path BuildPath(const Context& context) const;
  std::span<const MemberIndex> Candidates(const Context& context,
                                          GroupIndex group) const {
    return m_role.members().Candidates(group, context.slot);
  }
  size_t DecidingLink(const Context& context) const;
  GroupIndex DecidingGroup(const Context& context) const;
  std::optional<MemberIndex> PreviousDecider(const Context& context) const;
  bool WasSearched(const Context& context, GroupIndex group) const;
  void NoteSearched(const Context& context, RelayHeader* header) const;
  GroupIndex GroupOfSelf(const Context& context) const;
  bool KnowsAllFlows(const Context& context, GroupIndex group) const;
  uint32_t SearchedStages(const Context& context) const;
  GroupIndex GroupOfTag(const Context& context, DomainTag tag) const;
  uint8_t TagOf(int member) const;

  Decision Forward(const Context& context,
                   UpstreamId upstream,
                   DecisionCause cause) const;
  Decision ForwardToBase(const Context& context) const;
  Decision Relay(const Context& context,
                 MemberIndex host,
                 RelayPurpose purpose,
                 UpstreamId upstream,
                 FlowPhase phase,
                 DecisionCause cause) const;
  Decision Ask(const Context& context, MemberIndex host) const;
  Decision RelayRecord(const Context& context,
                       MemberIndex host,
                       GroupIndex group,
                       const FlowRecord& record,
                       DecisionCause cause) const;

  KeeperRole m_role;
  std::unordered_map<ServiceKey, Entry, ServiceKeyHash> m_services;
  std::unordered_map<std::string, ServiceKey> m_keys_by_name;
  FlowTable m_flows;
};

}  // namespace poplarsail::steering

#endif  // STEERING_ROUTER_H_
