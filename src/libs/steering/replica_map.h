#ifndef STEERING_REPLICA_MAP_H_
#define STEERING_REPLICA_MAP_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "model/model.h"
#include "steering/relay_header.h"
#include "steering/steering_constants.h"

namespace poplarsail::steering {

using model::TimePoint;

// An entry host of the fleet, as seen by steering.
struct Member {
  std::string name;
  std::string failure_domain;
  // Where the host receives packets that other hosts relay to it.
  model::Endpoint relay;
  // The period in which the host stores replicas of flow records. Hosts learn
  // of a change at different times; a time set in advance lets them all apply
  // it at once.
  TimePoint replica_from = TimePoint::min();
  TimePoint replica_until = TimePoint::max();

  friend bool operator==(const Member&, const Member&) = default;
};

// Returns the members that store replicas of flow records at time `now`.
std::vector<Member> ReplicaHostsAt(const std::vector<Member>& members,
                                   TimePoint now);

// Returns the next time after `now` at which the result of ReplicaHostsAt
// changes for the same members, or TimePoint::max() if it does not.
TimePoint NextReplicaChange(const std::vector<Member>& members, TimePoint now);

// Returns a 16-bit hash of the name of a host or failure domain; never 0.
uint16_t TagOfName(const std::string& name);

// Index of a member in its ReplicaMap.
using MemberIndex = uint16_t;

// Index of a failure domain in its ReplicaMap. 0 stands for domains that the
// map does not know.
using DomainIndex = uint16_t;

// Assigns replica hosts for flow records to each slot and failure domain by
// rendezvous hashing. Hosts with the same members compute the same assignment.
// Immutable: a change of members requires a new map.
class ReplicaMap {
 public:
  // `failure_domains` lists the failure domains of all upstreams. For a domain
  // without members, the candidates are members of other domains.
  ReplicaMap(std::vector<Member> members,
             const std::vector<std::string>& failure_domains);

  const std::vector<Member>& members() const { return m_members; }

  // Returns the slot of a bucket. The buckets of all services share
  // kReplicaSlots slots.
  static uint32_t SlotOf(uint64_t service_hash, uint32_t bucket);

  DomainIndex DomainIndexOf(const std::string& failure_domain) const;
  size_t domain_count() const { return m_domains.size(); }
  // Returns an empty name for index 0.
  const std::string& DomainName(DomainIndex domain_index) const {
    return m_domains[domain_index].failure_domain;
  }
  DomainTag DomainTagOf(DomainIndex domain_index) const {
    return m_domains[domain_index].tag;
  }

  // Returns at most kReplicaCandidates members in order of preference,
  // alternating between members of the failure domain and of other domains, so
  // that a record is found on both sides of a network partition that cuts the
  // domain off.
  std::span<const MemberIndex> Candidates(DomainIndex domain_index,
                                          uint32_t slot) const {
    const Domain& found = m_domains[domain_index];
    return {found.candidates.data() + slot * m_candidate_count,
            m_candidate_count};
  }

  // Returns the tag that identifies a member in records and relay headers.
  HostTag TagOf(MemberIndex member) const { return m_tags[member]; }

  // Returns -1 if no member has this name.
  int IndexOf(const std::string& name) const;

 private:
  struct Domain {
    std::string failure_domain;
    DomainTag tag = 0;
    // The candidates of all slots, m_candidate_count entries per slot.
    std::vector<MemberIndex> candidates;
  };

  void ChooseCandidates(uint32_t slot);

  std::vector<Member> m_members;
  std::vector<uint64_t> m_member_hashes;
  std::vector<HostTag> m_tags;
  std::vector<DomainIndex> m_member_domains;
  size_t m_candidate_count = 0;
  std::vector<Domain> m_domains;
};

}  // namespace poplarsail::steering

#endif  // STEERING_REPLICA_MAP_H_
