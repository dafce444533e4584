#ifndef STEERING_KEEPER_ROLE_H_
#define STEERING_KEEPER_ROLE_H_

#include <memory>
#include <span>
#include <string>
#include <vector>

#include "steering/keeper_map.h"

namespace poplarsail::steering {

// In place of a member's index.
inline constexpr int kNobody = -1;

// What one entry host knows of the keepers of flow records, and of its own part
// among them.
class KeeperRole {
 public:
  explicit KeeperRole(std::string self);

  void SetMembers(std::shared_ptr<const ReplicaMap> members, TimePoint now);

  // Flows may have begun that this host should have recorded and did not.
  void ForgetHistory(TimePoint now);

  const ReplicaMap& members() const { return *m_members; }
  HostTag self_tag() const { return m_self_tag; }
  // kNobody where this host is no member.
  int self_index() const { return m_self_index; }

  // This host is among the first kKeeperCopies candidates.
  bool IsKeeper(GroupIndex group, uint32_t slot) const;
  // This host is among the candidates.
  bool IsCandidate(GroupIndex group, uint32_t slot) const;
  // The best keeper other than this host; kNobody for none.
  int OtherKeeper(GroupIndex group, uint32_t slot) const;
  // Whether this host recorded each flow that the keepers had to record since
  // `announced_at`.
  bool KnowsAllFlowsSince(TimePoint announced_at,
                          GroupIndex group,
                          uint32_t slot,
                          TimePoint now) const;

 private:
  std::vector<TimePoint> KeeperTimes(GroupIndex group,
                                     const ReplicaMap* previous,
                                     TimePoint now) const;

  std::string m_self;
  HostTag m_self_tag;
  int m_self_index = kNobody;
  std::shared_ptr<const ReplicaMap> m_members;
  // For each group and slot, since when this host has kept the records without
  // a gap; the far future where it does not keep them.
  std::vector<std::vector<TimePoint>> m_keeper_since;
};

}  // namespace poplarsail::steering

#endif  // STEERING_KEEPER_ROLE_H_
