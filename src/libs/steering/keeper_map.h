#ifndef STEERING_KEEPER_MAP_H_
#define STEERING_KEEPER_MAP_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "model/model.h"
#include "steering/relay_header.h"
#include "steering/steering_constants.h"

namespace poplarsail::steering {

using model::TimePoint;

// An entry host that takes part in steering.
struct Member {
  std::string name;
  std::string failure_domain;
  // Where the host takes packets that others pass on to it.
  model::Endpoint relay;
  // The host keeps flow records from then, and until then. Hosts learn of a
  // change at different times; a stored deadline lets them act on it together.
  TimePoint replica_from = TimePoint::min();
  TimePoint replica_until = TimePoint::max();

  friend bool operator==(const Member&, const Member&) = default;
};

// The members that keep flow records at time `now`.
std::vector<Member> ReplicaHostsAt(const std::vector<Member>& members,
                              TimePoint now);

// The next time after `now` at which ReplicaHostsAt changes by itself; the far
// future where it does not.
TimePoint NextReplicaChange(const std::vector<Member>& members, TimePoint now);

// A short name of a host or failure domain; never 0.
uint16_t TagOfName(const std::string& name);

// Position of a member in its ReplicaMap.
using MemberIndex = uint16_t;

// Names a failure domain within one ReplicaMap; 0 is for domains without
// members.
using GroupIndex = uint16_t;

// Chooses, for each slot and failure domain, the entry hosts that keep the
// flow records (rendezvous hashing). Hosts with the same members choose alike.
// Immutable; a change of members makes a new map.
class ReplicaMap {
 public:
  // `failure_domains` names all domains that upstreams stand in; one without
  // members is served by the others.
  ReplicaMap(std::vector<Member> members,
            const std::vector<std::string>& failure_domains);

  const std::vector<Member>& members() const { return m_members; }

  // The slot of a bucket. Buckets of all services share kKeeperSlots slots.
  static uint32_t SlotOf(uint64_t service_hash, uint32_t bucket);

  GroupIndex GroupOf(const std::string& failure_domain) const;
  size_t group_count() const { return m_groups.size(); }
  // The failure domain of a group; empty for group 0.
  const std::string& DomainOf(GroupIndex group) const {
    return m_groups[group].failure_domain;
  }
  DomainTag DomainTagOf(GroupIndex group) const { return m_groups[group].tag; }

  // Members in order of preference, kKeeperCandidates at most: in turn one of
  // the failure domain and one of another, so that a record is found on both
  // sides when the domain is cut off.
  std::span<const MemberIndex> Candidates(GroupIndex group,
                                          uint32_t slot) const {
    const Group& found = m_groups[group];
    return {found.candidates.data() + slot * m_width, m_width};
  }

  // A short name of a member, for records and relay headers.
  HostTag TagOf(MemberIndex member) const { return m_tags[member]; }

  // Returns -1 for a name that is no member.
  int IndexOf(const std::string& name) const;

 private:
  struct Group {
    std::string failure_domain;
    DomainTag tag = 0;
    // The candidates of all slots, m_width entries for each.
    std::vector<MemberIndex> candidates;
  };

  void ChooseCandidates(uint32_t slot);

  std::vector<Member> m_members;
  std::vector<uint64_t> m_member_hashes;
  std::vector<HostTag> m_tags;
  std::vector<GroupIndex> m_member_groups;
  size_t m_width = 0;
  std::vector<Group> m_groups;
};

}  // namespace poplarsail::steering

#endif  // STEERING_KEEPER_MAP_H_
