#ifndef MEASURE_HOST_STEERING_H_
#define MEASURE_HOST_STEERING_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "steering/steering.h"

namespace poplarsail::measure {

using steering::TimePoint;

// The ways of steering packets that are weighed against each other.
enum class SteeringStrategy : uint8_t {
  // Consistent table and a local flow table on each host.
  kLocalTable,
  // Tables with history: unrecorded flows belong to the oldest owner.
  kHistory,
  // As kHistory; hosts send digests of deviating flows to all others.
  kDigests,
  // As kHistory; keepers record deviating flows in the packets' way.
  kReplicas,
};
inline constexpr SteeringStrategy kAllWays[] = {
    SteeringStrategy::kLocalTable, SteeringStrategy::kHistory,
    SteeringStrategy::kDigests, SteeringStrategy::kReplicas};
std::string_view ToString(SteeringStrategy way);

// Flows that deviate from what others would assume, for all other hosts.
struct Digest {
  std::vector<steering::FlowRecord> records;
  size_t wire_bytes = 0;
};

// One way of steering on one entry host.
class HostSteering {
 public:
  virtual ~HostSteering() = default;

  virtual void SetPlan(steering::ServicePlanPtr plan) = 0;
  virtual void SetMembers(std::shared_ptr<const steering::ReplicaMap> members,
                          TimePoint now) = 0;
  virtual void HandleProcessPause(TimePoint now) = 0;
  virtual steering::Decision Decide(const steering::PacketSummary& packet,
                                    const steering::RelayHeader* relay,
                                    TimePoint now) = 0;
  // Takes what is to be sent to all other hosts; empty for most ways.
  virtual Digest TakeDigest() { return {}; }
  virtual void ReceiveDigest(const Digest&, TimePoint) {}
  // The members that relayed decisions refer to; null for most ways.
  virtual const steering::ReplicaMap* members() const { return nullptr; }
  // Live flow records on this host.
  virtual size_t CountRecords(TimePoint now) const = 0;
};

std::unique_ptr<HostSteering> MakeHostSteering(SteeringStrategy way,
                                               const std::string& host,
                                               size_t flow_capacity);

}  // namespace poplarsail::measure

#endif  // MEASURE_HOST_STEERING_H_
