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

}  // namespace

KeeperMap::KeeperMap(std::vector<Member> members)
    : m_members(std::move(members)),
      m_width(std::min(kKeeperCandidates, m_members.size())) {
  std::sort(m_members.begin(), m_members.end(),
            [](const Member& a, const Member& b) { return a.name < b.name; });
  std::set<std::string> domains = {""};
  for (const Member& member : m_members) {
    m_member_hashes.push_back(
        XXH3_64bits(member.name.data(), member.name.size()));
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
  // Scores of members of the domain stay above all others.
  constexpr uint64_t kOwnDomainBit = uint64_t{1} << 63;
  Group group{.failure_domain = failure_domain};
  group.candidates.reserve(m_width * kKeeperSlots);
  std::vector<std::pair<uint64_t, MemberIndex>> scores(m_members.size());
  for (uint32_t slot = 0; slot < kKeeperSlots; ++slot) {
    for (size_t i = 0; i < m_members.size(); ++i) {
      const bool is_own = m_members[i].failure_domain == failure_domain;
      const uint64_t score = Mix(m_member_hashes[i], slot) >> 1;
      scores[i] = {is_own ? score | kOwnDomainBit : score,
                   static_cast<MemberIndex>(i)};
    }
    std::partial_sort(scores.begin(), scores.begin() + m_width, scores.end(),
                      std::greater<>());
    for (size_t i = 0; i < m_width; ++i) {
      group.candidates.push_back(scores[i].second);
    }
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
