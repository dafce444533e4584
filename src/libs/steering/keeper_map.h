#ifndef STEERING_KEEPER_MAP_H_
#define STEERING_KEEPER_MAP_H_

#include <cstdint>
#include <map>
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

// Chooses, for each slot and failure domain, the entry hosts that keep the
// flow records (rendezvous hashing). Hosts with the same members choose alike.
// Immutable; a change of members makes a new map.
class KeeperMap {
 public:
  explicit KeeperMap(std::vector<Member> members);

  const std::vector<Member>& members() const { return m_members; }

  // The slot of a bucket. Buckets of all services share kKeeperSlots slots.
  static uint32_t SlotOf(uint64_t service_hash, uint32_t bucket);

  // Members in order of preference, kKeeperCandidates at most. A domain
  // without members is served by the members of all domains.
  std::span<const MemberIndex> Candidates(const std::string& failure_domain,
                                          uint32_t slot) const;

  // Returns -1 for a name that is no member.
  int IndexOf(const std::string& name) const;

 private:
  // The candidates of all slots, one run of m_width entries for each.
  struct Group {
    size_t width = 0;
    std::vector<MemberIndex> candidates;
  };

  Group BuildGroup(const std::vector<MemberIndex>& pool) const;

  std::vector<Member> m_members;
  std::vector<uint64_t> m_member_hashes;
  std::map<std::string, Group, std::less<>> m_groups;
  Group m_everyone;
};

}  // namespace poplarsail::steering

#endif  // STEERING_KEEPER_MAP_H_
