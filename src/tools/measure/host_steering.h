#ifndef MEASURE_HOST_STEERING_H_
#define MEASURE_HOST_STEERING_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "steering/steering.h"

namespace poplarsail::measure {

using steering::TimePoint;

// The packet steering strategies to compare.
enum class SteeringStrategy : uint8_t {
  // Consistent hashing table, and a local flow table on each host.
  kLocalTable,
  // Tables with ownership history; flows without a record belong to the oldest
  // owner.
  kHistory,
  // Like kHistory; each host sends digests of deviating flows to all others.
  kDigests,
  // Like kHistory; replica hosts on the packet path record deviating flows.
  kReplicas,
};
inline constexpr SteeringStrategy kAllStrategies[] = {
    SteeringStrategy::kLocalTable, SteeringStrategy::kHistory,
    SteeringStrategy::kDigests, SteeringStrategy::kReplicas};
std::string_view ToString(SteeringStrategy strategy);

// Records of flows whose upstream differs from the one that other hosts would
// assume; sent to all other hosts.
struct Digest {
  std::vector<steering::FlowRecord> records;
  size_t wire_bytes = 0;
};

// A steering strategy as run by one entry host.
class HostSteering {
 public:
  virtual ~HostSteering() = default;

  virtual void SetPlan(steering::ServicePlanPtr plan) = 0;
  virtual void SetMembers(std::shared_ptr<const steering::ReplicaMap> members,
                          TimePoint now) = 0;
  virtual void MarkRecordsIncomplete(TimePoint now) = 0;
  virtual steering::Decision Decide(const steering::PacketSummary& packet,
                                    const steering::RelayHeader* relay,
                                    TimePoint now) = 0;
  // Returns and clears the records to send to all other hosts; empty for most
  // strategies.
  virtual Digest TakeDigest() { return {}; }
  virtual void ReceiveDigest(const Digest&, TimePoint) {}
  // The members that relay decisions refer to; null for most strategies.
  virtual const steering::ReplicaMap* members() const { return nullptr; }
  // Number of live flow records on this host.
  virtual size_t CountRecords(TimePoint now) const = 0;
};

std::unique_ptr<HostSteering> CreateHostSteering(SteeringStrategy strategy,
                                                 const std::string& host,
                                                 size_t flow_capacity);

}  // namespace poplarsail::measure

#endif  // MEASURE_HOST_STEERING_H_
