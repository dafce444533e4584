#ifndef STEERING_KEEPER_MAP_H_
#define STEERING_KEEPER_MAP_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "model/model.h"
#include "steering/steering_constants.h"

namespace poplarsail::steering {

// An entry host that takes part in steering.
struct Member {
  std::string name;
  std::string failure_domain;
  // Where the host takes packets that others pass on to it.
  model::Endpoint relay;

  friend bool operator==(const Member&, const Member&) = default;
};

// Position of a member in its KeeperMap.
using MemberIndex = uint16_t;

// Names a failure domain within one KeeperMap; 0 is for domains without
// members.
using GroupIndex = uint16_t;

// Chooses, for each slot and failure domain, the entry hosts that keep the
// flow records (rendezvous hashing). Hosts with the same members choose alike.
// Immutable; a change of members makes a new map.
class KeeperMap {
 public:
  explicit KeeperMap(std::vector<Member> members);

  const std::vector<Member>& members() const { return m_members; }

  // The slot of a bucket. Buckets of all services share kKeeperSlots slots.
  static uint32_t SlotOf(uint64_t service_hash, uint32_t bucket);

  GroupIndex GroupOf(const std::string& failure_domain) const;
  size_t group_count() const { return m_groups.size(); }
  // The failure domain of a group; empty for group 0.
  const std::string& DomainOf(GroupIndex group) const {
    return m_groups[group].failure_domain;
  }

  // Members in order of preference, kKeeperCandidates at most: those of the
  // failure domain first, then others.
  std::span<const MemberIndex> Candidates(GroupIndex group,
                                          uint32_t slot) const {
    const Group& found = m_groups[group];
    return {found.candidates.data() + slot * m_width, m_width};
  }

  // Returns -1 for a name that is no member.
  int IndexOf(const std::string& name) const;

 private:
  struct Group {
    std::string failure_domain;
    // The candidates of all slots, m_width entries for each.
    std::vector<MemberIndex> candidates;
  };

  Group BuildGroup(const std::string& failure_domain) const;

  std::vector<Member> m_members;
  std::vector<uint64_t> m_member_hashes;
  size_t m_width = 0;
  std::vector<Group> m_groups;
};

}  // namespace poplarsail::steering

#endif  // STEERING_KEEPER_MAP_H_
