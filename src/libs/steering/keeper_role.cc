#include "steering/keeper_role.h"

#include <algorithm>
#include <utility>

namespace poplarsail::steering {

namespace {

constexpr TimePoint kNever = TimePoint::max();

bool Contains(std::span<const MemberIndex> members, int member) {
  return std::find(members.begin(), members.end(), member) != members.end();
}

}  // namespace

KeeperRole::KeeperRole(std::string self)
    : m_self(std::move(self)), m_self_tag(TagOfName(m_self)) {
  const std::vector<std::string> no_domains;
  SetMembers(std::make_shared<ReplicaMap>(std::vector<Member>{}, no_domains),
             TimePoint::min());
}

void KeeperRole::SetMembers(std::shared_ptr<const ReplicaMap> members,
                            TimePoint now) {
  const std::shared_ptr<const ReplicaMap> previous = std::move(m_members);
  m_members = std::move(members);
  m_self_index = m_members->IndexOf(m_self);
  std::vector<std::vector<TimePoint>> keeper_since;
  for (size_t group = 0; group < m_members->group_count(); ++group) {
    keeper_since.push_back(
        KeeperTimes(static_cast<GroupIndex>(group), previous.get(), now));
  }
  m_keeper_since = std::move(keeper_since);
}

// Since when this host keeps each slot of a group, carried over from the
// previous members.
std::vector<TimePoint> KeeperRole::KeeperTimes(GroupIndex group,
                                               const ReplicaMap* previous,
                                               TimePoint now) const {
  std::vector<TimePoint> times(kKeeperSlots, kNever);
  if (previous != nullptr) {
    times = m_keeper_since[previous->GroupOf(m_members->DomainOf(group))];
  }
  for (uint32_t slot = 0; slot < kKeeperSlots; ++slot) {
    times[slot] = IsKeeper(group, slot) ? std::min(times[slot], now) : kNever;
  }
  return times;
}

void KeeperRole::ForgetHistory(TimePoint now) {
  for (std::vector<TimePoint>& times : m_keeper_since) {
    for (TimePoint& since : times) {
      since = since == kNever ? kNever : now;
    }
  }
}

bool KeeperRole::IsKeeper(GroupIndex group, uint32_t slot) const {
  const auto candidates = m_members->Candidates(group, slot);
  const size_t copies = std::min(candidates.size(), kKeeperCopies);
  return Contains(candidates.first(copies), m_self_index);
}

bool KeeperRole::IsCandidate(GroupIndex group, uint32_t slot) const {
  return Contains(m_members->Candidates(group, slot), m_self_index);
}

int KeeperRole::OtherKeeper(GroupIndex group, uint32_t slot) const {
  for (const MemberIndex candidate : m_members->Candidates(group, slot)) {
    if (candidate != m_self_index) {
      return candidate;
    }
  }
  return kNobody;
}

bool KeeperRole::KnowsAllFlowsSince(TimePoint announced_at,
                                    GroupIndex group,
                                    uint32_t slot,
                                    TimePoint now) const {
  const TimePoint since = m_keeper_since[group][slot];
  if (since == kNever) {
    return false;
  }
  // Records from before have expired or were renewed through this host.
  if (since + kIdleTimeout <= now) {
    return true;
  }
  return since + kMembershipSettle <= announced_at;
}

}  // namespace poplarsail::steering
