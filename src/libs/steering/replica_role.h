#ifndef STEERING_REPLICA_ROLE_H_
#define STEERING_REPLICA_ROLE_H_

#include <memory>
#include <span>
#include <string>
#include <vector>

#include "steering/replica_map.h"

namespace poplarsail::steering {

// Returned in place of a member's index where there is no such member.
inline constexpr int kNoMember = -1;

// The replica assignment as seen by one entry host, and for which slots this
// host holds a complete set of flow records.
class ReplicaRole {
 public:
  explicit ReplicaRole(std::string self);

  void SetMembers(std::shared_ptr<const ReplicaMap> members, TimePoint now);

  // Called when this host may have missed flows that it should have recorded:
  // its records count as complete only from `now` on.
  void MarkRecordsIncomplete(TimePoint now);

  const ReplicaMap& members() const { return *m_members; }
  HostTag self_tag() const { return m_self_tag; }
  // kNoMember if this host is not a member.
  int self_index() const { return m_self_index; }

  // Whether this host is among the first kReplicaCount candidates.
  bool IsReplica(DomainIndex domain, uint32_t slot) const;
  // Whether this host is among the candidates.
  bool IsCandidate(DomainIndex domain, uint32_t slot) const;
  // Returns the first candidate other than this host, or kNoMember.
  int OtherReplica(DomainIndex domain, uint32_t slot) const;
  // Whether this host has a record of every flow that the replica hosts had to
  // record since `announced_at`.
  bool HasAllRecordsSince(TimePoint announced_at,
                          DomainIndex domain,
                          uint32_t slot,
                          TimePoint now) const;

 private:
  std::vector<TimePoint> ReplicaSinceTimes(DomainIndex domain,
                                           const ReplicaMap* previous,
                                           TimePoint now) const;

  std::string m_self;
  HostTag m_self_tag;
  int m_self_index = kNoMember;
  std::shared_ptr<const ReplicaMap> m_members;
  // For each failure domain and slot, the time since which this host has been a
  // replica without a gap, or TimePoint::max() if it is not a replica.
  std::vector<std::vector<TimePoint>> m_replica_since;
};

}  // namespace poplarsail::steering

#endif  // STEERING_REPLICA_ROLE_H_
