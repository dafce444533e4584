#include "steering/keeper_map.h"

#include <algorithm>
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
    : m_members(std::move(members)) {
  std::sort(m_members.begin(), m_members.end(),
            [](const Member& a, const Member& b) { return a.name < b.name; });
  std::map<std::string, std::vector<MemberIndex>> pools;
  std::vector<MemberIndex> everyone;
  for (size_t i = 0; i < m_members.size(); ++i) {
    const Member& member = m_members[i];
    m_member_hashes.push_back(
        XXH3_64bits(member.name.data(), member.name.size()));
    pools[member.failure_domain].push_back(static_cast<MemberIndex>(i));
    everyone.push_back(static_cast<MemberIndex>(i));
  }
  for (const auto& [domain, pool] : pools) {
    m_groups.emplace(domain, BuildGroup(pool));
  }
  m_everyone = BuildGroup(everyone);
}

uint32_t KeeperMap::SlotOf(uint64_t service_hash, uint32_t bucket) {
  return static_cast<uint32_t>(Mix(service_hash, bucket) % kKeeperSlots);
}

KeeperMap::Group KeeperMap::BuildGroup(
    const std::vector<MemberIndex>& pool) const {
  Group group;
  group.width = std::min(kKeeperCandidates, pool.size());
  group.candidates.reserve(group.width * kKeeperSlots);
  std::vector<std::pair<uint64_t, MemberIndex>> scores(pool.size());
  for (uint32_t slot = 0; slot < kKeeperSlots; ++slot) {
    for (size_t i = 0; i < pool.size(); ++i) {
      scores[i] = {Mix(m_member_hashes[pool[i]], slot), pool[i]};
    }
    std::partial_sort(scores.begin(), scores.begin() + group.width,
                      scores.end(), std::greater<>());
    for (size_t i = 0; i < group.width; ++i) {
      group.candidates.push_back(scores[i].second);
    }
  }
  return group;
}

std::span<const MemberIndex> KeeperMap::Candidates(
    const std::string& failure_domain,
    uint32_t slot) const {
  const auto found = m_groups.find(failure_domain);
  const Group& group = found == m_groups.end() ? m_everyone : found->second;
  return {group.candidates.data() + slot * group.width, group.width};
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
