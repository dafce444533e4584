#include "steering/replica_role.h"

#include <algorithm>
#include <utility>

namespace poplarsail::steering {

namespace {

constexpr TimePoint kNever = TimePoint::max();

bool Contains(std::span<const MemberIndex> members, int member) {
  return std::find(members.begin(), members.end(), member) != members.end();
}

}  // namespace

ReplicaRole::ReplicaRole(std::string self)
    : m_self(std::move(self)), m_self_tag(TagOfName(m_self)) {
  const std::vector<std::string> no_domains;
  SetMembers(std::make_shared<ReplicaMap>(std::vector<Member>{}, no_domains),
             TimePoint::min());
}

void ReplicaRole::SetMembers(std::shared_ptr<const ReplicaMap> members,
                             TimePoint now) {
  const std::shared_ptr<const ReplicaMap> previous = std::move(m_members);
  m_members = std::move(members);
  m_self_index = m_members->IndexOf(m_self);
  std::vector<std::vector<TimePoint>> replica_since;
  for (size_t domain = 0; domain < m_members->domain_count(); ++domain) {
    replica_since.push_back(ReplicaSinceTimes(static_cast<DomainIndex>(domain),
                                              previous.get(), now));
  }
  m_replica_since = std::move(replica_since);
}

// Returns since when this host has been a replica of each slot of a failure
// domain. A slot keeps its time if this host was a replica of it before.
std::vector<TimePoint> ReplicaRole::ReplicaSinceTimes(
    DomainIndex domain,
    const ReplicaMap* previous,
    TimePoint now) const {
  std::vector<TimePoint> times(kReplicaSlots, kNever);
  if (previous != nullptr) {
    times =
        m_replica_since[previous->DomainIndexOf(m_members->DomainName(domain))];
  }
  for (uint32_t slot = 0; slot < kReplicaSlots; ++slot) {
    times[slot] = IsReplica(domain, slot) ? std::min(times[slot], now) : kNever;
  }
  return times;
}

void ReplicaRole::MarkRecordsIncomplete(TimePoint now) {
  for (std::vector<TimePoint>& times : m_replica_since) {
    for (TimePoint& since : times) {
      since = since == kNever ? kNever : now;
    }
  }
}

bool ReplicaRole::IsReplica(DomainIndex domain, uint32_t slot) const {
  const auto candidates = m_members->Candidates(domain, slot);
  const size_t copies = std::min(candidates.size(), kReplicaCount);
  return Contains(candidates.first(copies), m_self_index);
}

bool ReplicaRole::IsCandidate(DomainIndex domain, uint32_t slot) const {
  return Contains(m_members->Candidates(domain, slot), m_self_index);
}

int ReplicaRole::OtherReplica(DomainIndex domain, uint32_t slot) const {
  for (const MemberIndex candidate : m_members->Candidates(domain, slot)) {
    if (candidate != m_self_index) {
      return candidate;
    }
  }
  return kNoMember;
}

bool ReplicaRole::HasAllRecordsSince(TimePoint announced_at,
                                     DomainIndex domain,
                                     uint32_t slot,
                                     TimePoint now) const {
  const TimePoint since = m_replica_since[domain][slot];
  if (since == kNever) {
    return false;
  }
  // Older records have expired by now, or were renewed through this host.
  if (since + kIdleTimeout <= now) {
    return true;
  }
  return since + kMembershipPropagationTime <= announced_at;
}

}  // namespace poplarsail::steering
