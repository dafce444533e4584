#include "steering/replica_map.h"

#include <algorithm>
#include <boost/container/small_vector.hpp>
#include <functional>
#include <set>
#include <utility>

#include <xxhash.h>

#include "steering/flow_key.h"

namespace poplarsail::steering {

namespace {

using Scores =
    boost::container::small_vector<std::pair<uint64_t, MemberIndex>, 16>;

// Inserts a score into a list of at most `max_count` scores in descending
// order.
void InsertBest(const Scores::value_type& score,
                size_t max_count,
                Scores* best) {
  if (best->size() == max_count) {
    if (score < best->back()) {
      return;
    }
    best->pop_back();
  }
  best->insert(
      std::upper_bound(best->begin(), best->end(), score, std::greater<>()),
      score);
}

// Appends `count` members, alternating between both lists and starting with
// `first`. Once one list is used up, the rest comes from the other one.
void AppendAlternating(const Scores& first,
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

std::vector<Member> ReplicaHostsAt(const std::vector<Member>& members,
                                   TimePoint now) {
  std::vector<Member> hosts;
  for (const Member& member : members) {
    if (member.replica_from <= now && now < member.replica_until) {
      hosts.push_back(member);
    }
  }
  return hosts;
}

TimePoint NextReplicaChange(const std::vector<Member>& members, TimePoint now) {
  TimePoint next = TimePoint::max();
  for (const Member& member : members) {
    for (const TimePoint boundary :
         {member.replica_from, member.replica_until}) {
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

ReplicaMap::ReplicaMap(std::vector<Member> members,
                       const std::vector<std::string>& failure_domains)
    : m_members(std::move(members)),
      m_candidate_count(std::min(kReplicaCandidates, m_members.size())) {
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
    m_domains.push_back({domain, TagOfName(domain), {}});
    m_domains.back().candidates.reserve(m_candidate_count * kReplicaSlots);
  }
  for (const Member& member : m_members) {
    m_member_domains.push_back(DomainIndexOf(member.failure_domain));
  }
  for (uint32_t slot = 0; slot < kReplicaSlots; ++slot) {
    ChooseCandidates(slot);
  }
}

DomainIndex ReplicaMap::DomainIndexOf(const std::string& failure_domain) const {
  const auto found = std::lower_bound(
      m_domains.begin(), m_domains.end(), failure_domain,
      [](const Domain& domain_index, const std::string& wanted) {
        return domain_index.failure_domain < wanted;
      });
  if (found == m_domains.end() || found->failure_domain != failure_domain) {
    return 0;
  }
  return static_cast<DomainIndex>(found - m_domains.begin());
}

uint32_t ReplicaMap::SlotOf(uint64_t service_hash, uint32_t bucket) {
  return static_cast<uint32_t>(MixHashes(service_hash, bucket) % kReplicaSlots);
}

// Chooses the candidates of all failure domains for one slot. A host's score is
// the same for all domains, so the best hosts of each domain are found only
// once.
void ReplicaMap::ChooseCandidates(uint32_t slot) {
  std::vector<Scores> best(m_domains.size());
  for (size_t i = 0; i < m_members.size(); ++i) {
    Scores& own = best[m_member_domains[i]];
    InsertBest(
        {MixHashes(m_member_hashes[i], slot), static_cast<MemberIndex>(i)},
        m_candidate_count, &own);
  }
  for (size_t domain_index = 0; domain_index < m_domains.size();
       ++domain_index) {
    Scores others;
    for (size_t other = 0; other < m_domains.size(); ++other) {
      if (other != domain_index) {
        others.insert(others.end(), best[other].begin(), best[other].end());
      }
    }
    std::sort(others.begin(), others.end(), std::greater<>());
    AppendAlternating(best[domain_index], others, m_candidate_count,
                      &m_domains[domain_index].candidates);
  }
}

int ReplicaMap::IndexOf(const std::string& name) const {
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
