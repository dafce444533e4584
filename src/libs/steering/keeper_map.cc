#include "steering/keeper_map.h"

#include <algorithm>
#include <functional>
#include <set>
#include <utility>

#include <xxhash.h>

namespace poplarsail::steering {

namespace {

// Finalizer of splitmix64: mixes two well-spread numbers cheaply.
uint64_t Mix(uint64_t a, uint64_t b) {
  uint64_t x = a ^ (b * 0x9e3779b97f4a7c15ULL);
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

using Scores = std::vector<std::pair<uint64_t, MemberIndex>>;

// Puts the highest scores first, as far as `count`.
void SortBest(Scores* scores, size_t count) {
  std::partial_sort(scores->begin(),
                    scores->begin() + std::min(count, scores->size()),
                    scores->end(), std::greater<>());
}

// Takes in turn from both, starting with `first`, until there are `count`.
void AppendInTurn(const Scores& first,
                  const Scores& second,
                  size_t count,
                  std::vector<MemberIndex>* result) {
  size_t next_first = 0;
  size_t next_second = 0;
  for (size_t i = 0; i < count; ++i) {
    const bool wants_first = i % 2 == 0;
    const bool has_first = next_first < first.size();
    const bool has_second = next_second < second.size();
    if ((wants_first && has_first) || !has_second) {
      result->push_back(first[next_first++].second);
    } else {
      result->push_back(second[next_second++].second);
    }
  }
}

}  // namespace

std::vector<Member> KeepersAt(const std::vector<Member>& members,
                              TimePoint now) {
  std::vector<Member> keepers;
  for (const Member& member : members) {
    if (member.keeper_from <= now && now < member.keeper_until) {
      keepers.push_back(member);
    }
  }
  return keepers;
}

TimePoint NextKeeperChange(const std::vector<Member>& members, TimePoint now) {
  TimePoint next = TimePoint::max();
  for (const Member& member : members) {
    for (const TimePoint boundary : {member.keeper_from, member.keeper_until}) {
      if (boundary > now) {
        next = std::min(next, boundary);
      }
    }
  }
  return next;
}

uint16_t TagOfName(const std::string& name) {
  return static_cast<uint16_t>(XXH3_64bits(name.data(), name.size()) | 1);
}

KeeperMap::KeeperMap(std::vector<Member> members,
                     const std::vector<std::string>& failure_domains)
    : m_members(std::move(members)),
      m_width(std::min(kKeeperCandidates, m_members.size())) {
  std::sort(m_members.begin(), m_members.end(),
            [](const Member& a, const Member& b) { return a.name < b.name; });
  std::set<std::string> domains(failure_domains.begin(), failure_domains.end());
  domains.insert("");
  for (const Member& member : m_members) {
    m_member_hashes.push_back(
        XXH3_64bits(member.name.data(), member.name.size()));
    m_tags.push_back(TagOfName(member.name));
    domains.insert(member.failure_domain);
  }
  for (const std::string& domain : domains) {
    m_groups.push_back(BuildGroup(domain));
  }
}

GroupIndex KeeperMap::GroupOf(const std::string& failure_domain) const {
  const auto found =
      std::lower_bound(m_groups.begin(), m_groups.end(), failure_domain,
                       [](const Group& group, const std::string& wanted) {
                         return group.failure_domain < wanted;
                       });
  if (found == m_groups.end() || found->failure_domain != failure_domain) {
    return 0;
  }
  return static_cast<GroupIndex>(found - m_groups.begin());
}

uint32_t KeeperMap::SlotOf(uint64_t service_hash, uint32_t bucket) {
  return static_cast<uint32_t>(Mix(service_hash, bucket) % kKeeperSlots);
}

KeeperMap::Group KeeperMap::BuildGroup(
    const std::string& failure_domain) const {
  Group group{.failure_domain = failure_domain,
              .tag = TagOfName(failure_domain)};
  group.candidates.reserve(m_width * kKeeperSlots);
  Scores own;
  Scores others;
  for (uint32_t slot = 0; slot < kKeeperSlots; ++slot) {
    own.clear();
    others.clear();
    for (size_t i = 0; i < m_members.size(); ++i) {
      const bool is_own = m_members[i].failure_domain == failure_domain;
      (is_own ? own : others)
          .emplace_back(Mix(m_member_hashes[i], slot),
                        static_cast<MemberIndex>(i));
    }
    SortBest(&own, m_width);
    SortBest(&others, m_width);
    AppendInTurn(own, others, m_width, &group.candidates);
  }
  return group;
}

int KeeperMap::IndexOf(const std::string& name) const {
  const auto found =
      std::lower_bound(m_members.begin(), m_members.end(), name,
                       [](const Member& member, const std::string& wanted) {
                         return member.name < wanted;
                       });
  if (found == m_members.end() || found->name != name) {
    return -1;
  }
  return static_cast<int>(found - m_members.begin());
}

}  // namespace poplarsail::steering
