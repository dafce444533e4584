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
#include "steering/packet_parser.h"
#include "steering/relay_header.h"
#include "steering/replica_map.h"
#include "steering/replica_role.h"
#include "steering/service_plan.h"
#include "steering/steering_constants.h"

namespace poplarsail::steering {

// Decides where the packets that reach one entry host go. Buckets with a single
// owner need no flow state. In a bucket with several owners, each new flow is
// recorded by the two replica hosts of the newest owner's failure domain: its
// first packet is relayed through both of them, so that recording needs no
// control messages. Packets without a record belong to the bucket's oldest
// owner.
class Router {
 public:
  Router(std::string self, size_t flow_capacity);

  // Replaces the plan of a service. Ignores the plan and returns false if it is
  // not of a newer generation than the current one.
  bool SetPlan(ServicePlanPtr plan);
  void RemoveService(const std::string& service);
  void SetMembers(std::shared_ptr<const ReplicaMap> members, TimePoint now);

  // Call when the process did not run for a while, or other hosts considered
  // this host dead: flows may have begun that it should have recorded.
  void MarkRecordsIncomplete(TimePoint now);

  // `relay` is null for a packet that comes from the fabric.
  Decision Decide(const PacketSummary& packet,
                  const RelayHeader* relay,
                  TimePoint now);

  // Like Decide for a packet that opens no flow, but changes no state.
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
  struct ServiceEntry {
    ServicePlanPtr plan;
    uint64_t service_hash = 0;
    // For each of the plan's owner changes, the failure domain whose replica
    // hosts record flows of the new owner.
    std::vector<DomainIndex> change_domains;
  };
  // A packet together with what the decision on it depends on.
  struct PacketContext {
    const ServicePlan& plan;
    // The bucket's owner changes and the replica domain of each.
    std::span<const OwnerChange> changes;
    const DomainIndex* change_domains = nullptr;
    const PacketSummary& packet;
    uint64_t hash = 0;
    uint32_t bucket = 0;
    uint32_t slot = 0;
    // From the host that relayed the packet; default-constructed for a packet
    // from the fabric.
    const RelayHeader& relay;
    TimePoint now;
  };
  // The distinct replica domains of a bucket's owner changes, newest first.
  using ReplicaDomains = boost::container::small_vector<DomainIndex, 8>;
  // A host that may have a record of the flow.
  struct LookupStep {
    MemberIndex host = 0;
    // One bit for each of the bucket's replica domains, set if the host is a
    // candidate for it.
    uint32_t domain_mask = 0;
  };
  // The order in which hosts are asked for a record.
  using LookupOrder = boost::container::small_vector<LookupStep, 16>;

  void AssignReplicaDomains(ServiceEntry* entry) const;
  static ServiceKey ServiceKeyOf(const ServicePlan& plan);
  // Returns null if the packet is not addressed to a service.
  const ServiceEntry* FindService(const PacketSummary& packet) const;
  PacketContext MakeContext(const ServiceEntry& entry,
                            const PacketSummary& packet,
                            const RelayHeader* relay,
                            TimePoint now) const;
  Decision DecideInTransition(const PacketContext& context);
  Decision DecideFirstPacket(const PacketContext& context);
  Decision RecordAndRelay(const PacketContext& context,
                          DomainIndex domain,
                          UpstreamId upstream,
                          FlowPhase phase);
  Decision ForwardWithoutRecord(const PacketContext& context) const;
  Decision StoreRecordCopy(const PacketContext& context,
                           const RelayHeader& header);
  Decision ForwardRecorded(const PacketContext& context,
                           const FoundRecord& found);
  // Returns nothing if no other host may have a record.
  std::optional<Decision> RelayToNextCandidate(
      const PacketContext& context) const;
  Decision DecideConnectionless(const PacketContext& context);
  Decision RecordNewFlow(const PacketContext& context,
                         UpstreamId upstream,
                         FlowPhase phase);
  UpstreamId OwnerOfConnectionless(const PacketContext& context) const;
  std::optional<FoundRecord> FindRecord(const PacketContext& context) const;

  bool WasVisited(const PacketContext& context, MemberIndex host) const;
  ReplicaDomains ReplicaDomainsOf(const PacketContext& context) const;
  LookupOrder BuildLookupOrder(const PacketContext& context) const;
  std::span<const MemberIndex> Candidates(const PacketContext& context,
                                          DomainIndex domain) const {
    return m_role.members().Candidates(domain, context.slot);
  }
  size_t DecidingChange(const PacketContext& context) const;
  DomainIndex DecidingDomain(const PacketContext& context) const;
  std::optional<MemberIndex> PreviousDecidingReplica(
      const PacketContext& context) const;
  bool WasSearched(const PacketContext& context, DomainIndex domain) const;
  void AddSearchedDomains(const PacketContext& context,
                          RelayHeader* header) const;
  DomainIndex OwnReplicaDomain(const PacketContext& context) const;
  bool HasAllRecords(const PacketContext& context, DomainIndex domain) const;
  uint32_t SearchedDomainMask(const PacketContext& context) const;
  DomainIndex DomainOfTag(const PacketContext& context, DomainTag tag) const;
  uint8_t BackupTagOf(int member) const;

  Decision Forward(const PacketContext& context,
                   UpstreamId upstream,
                   DecisionCause cause) const;
  Decision ForwardToUnrecordedOwner(const PacketContext& context) const;
  Decision Relay(const PacketContext& context,
                 MemberIndex host,
                 RelayPurpose purpose,
                 UpstreamId upstream,
                 FlowPhase phase,
                 DecisionCause cause) const;
  Decision RelayToResolve(const PacketContext& context, MemberIndex host) const;
  Decision RelayRecord(const PacketContext& context,
                       MemberIndex host,
                       DomainIndex domain,
                       const FlowRecord& record,
                       DecisionCause cause) const;

  ReplicaRole m_role;
  std::unordered_map<ServiceKey, ServiceEntry, ServiceKeyHash> m_services;
  std::unordered_map<std::string, ServiceKey> m_keys_by_name;
  FlowTable m_flows;
};

}  // namespace poplarsail::steering

#endif  // STEERING_ROUTER_H_
