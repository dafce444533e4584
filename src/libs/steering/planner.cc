#include "steering/planner.h"

#include <algorithm>
#include <bit>
#include <map>
#include <set>
#include <utility>

#include <xxhash.h>

#include "steering/steering_constants.h"

namespace poplarsail::steering {

namespace {

using Quotas = std::map<UpstreamId, int64_t>;

uint32_t BucketCountFor(size_t upstream_count) {
  const auto wanted =
      static_cast<uint32_t>(upstream_count) * kBucketsPerUpstream;
  return std::clamp(std::bit_ceil(wanted), kMinBuckets, kMaxBuckets);
}

UpstreamId NewestOwner(const OwnerChain& chain) {
  return chain.changes.empty() ? chain.oldest_owner
                               : chain.changes.back().upstream;
}

using UpstreamIdentity = std::pair<std::string, model::Endpoint>;

// Returns the upstreams of the next plan. An upstream keeps its id if its name
// and address are unchanged, and gets a new one otherwise. Upstreams that are
// no longer desired are marked as leaving.
std::vector<PlannedUpstream> AssignUpstreamIds(const ServicePlan* previous,
                                               const DesiredService& desired,
                                               const PlanTiming& timing,
                                               UpstreamId* next_id) {
  std::map<UpstreamIdentity, PlannedUpstream> staying;
  std::vector<PlannedUpstream> upstreams;
  if (previous != nullptr) {
    for (const PlannedUpstream& upstream : previous->upstreams()) {
      if (!upstream.is_leaving()) {
        staying.emplace(UpstreamIdentity{upstream.name, upstream.address},
                        upstream);
      } else if (timing.now < upstream.leaves_at + kUpstreamRemovalDelay) {
        upstreams.push_back(upstream);
      }
    }
  }
  std::vector<DesiredUpstream> desired_upstreams = desired.upstreams;
  std::sort(desired_upstreams.begin(), desired_upstreams.end(),
            [](const DesiredUpstream& a, const DesiredUpstream& b) {
              return a.name < b.name;
            });
  for (const DesiredUpstream& wanted : desired_upstreams) {
    const auto found = staying.find({wanted.name, wanted.address});
    const bool is_known = found != staying.end();
    const UpstreamId id = is_known ? found->second.id : (*next_id)++;
    upstreams.push_back({id, wanted.name, wanted.address, wanted.failure_domain,
                         wanted.weight});
    if (is_known) {
      staying.erase(found);
    }
  }
  for (auto& [address, upstream] : staying) {
    upstream.weight = 0;
    upstream.leaves_at = timing.leaves_at;
    upstreams.push_back(upstream);
  }
  std::sort(upstreams.begin(), upstreams.end(),
            [](const PlannedUpstream& a, const PlannedUpstream& b) {
              return a.id < b.id;
            });
  return upstreams;
}

// Whether the owner change at `index` has no upstream and still keeps new flows
// from the previous owner.
bool BlocksNewFlows(const std::vector<OwnerChange>& owners,
                    size_t index,
                    TimePoint now) {
  const bool is_last = index + 1 == owners.size();
  return owners[index].upstream == kNoUpstream && index > 0 &&
         (is_last || owners[index + 1].active_from > now);
}

// Removes owners that are no longer in the plan, and merges adjacent owners
// that became equal as a result. The oldest owner of an empty chain is
// kNoUpstream.
OwnerChain RemoveAbsentOwners(const OwnerChain& chain,
                              const std::set<UpstreamId>& present,
                              TimePoint now) {
  std::vector<OwnerChange> owners = {{chain.oldest_owner, {}, {}}};
  owners.insert(owners.end(), chain.changes.begin(), chain.changes.end());
  std::vector<OwnerChange> remaining_owners;
  for (size_t i = 0; i < owners.size(); ++i) {
    const bool blocks =
        !remaining_owners.empty() && BlocksNewFlows(owners, i, now);
    if (!present.contains(owners[i].upstream) && !blocks) {
      continue;
    }
    if (!remaining_owners.empty() &&
        remaining_owners.back().upstream == owners[i].upstream) {
      continue;
    }
    remaining_owners.push_back(owners[i]);
  }
  OwnerChain result;
  if (remaining_owners.empty()) {
    return result;
  }
  result.oldest_owner = remaining_owners.front().upstream;
  result.changes.assign(remaining_owners.begin() + 1, remaining_owners.end());
  return result;
}

// Returns the number of buckets that each upstream should own: proportional to
// its weight, with the remainder distributed so that the fewest buckets move.
Quotas ComputeQuotas(const std::vector<PlannedUpstream>& upstreams,
                     const Quotas& owned,
                     int64_t bucket_count) {
  int64_t total_weight = 0;
  for (const PlannedUpstream& upstream : upstreams) {
    total_weight += upstream.weight;
  }
  Quotas quotas;
  if (total_weight == 0) {
    return quotas;
  }
  int64_t remaining = bucket_count;
  std::vector<std::pair<int64_t, UpstreamId>> by_excess;
  for (const PlannedUpstream& upstream : upstreams) {
    if (upstream.weight == 0) {
      continue;
    }
    const int64_t quota = bucket_count * upstream.weight / total_weight;
    quotas[upstream.id] = quota;
    remaining -= quota;
    const auto own = owned.find(upstream.id);
    const int64_t excess = (own == owned.end() ? 0 : own->second) - quota;
    by_excess.emplace_back(-excess, upstream.id);
  }
  std::sort(by_excess.begin(), by_excess.end());
  for (const auto& [negative_excess, id] : by_excess) {
    if (remaining == 0) {
      break;
    }
    ++quotas[id];
    --remaining;
  }
  return quotas;
}

// Moves buckets between upstreams until each upstream owns its quota.
class Rebalancer {
 public:
  Rebalancer(std::vector<OwnerChain>* chains,
             const std::vector<PlannedUpstream>& upstreams,
             const PlanTiming& timing)
      : m_chains(*chains), m_timing(timing) {
    for (const PlannedUpstream& upstream : upstreams) {
      if (upstream.is_leaving()) {
        m_leaving.emplace(upstream.id, upstream.leaves_at);
      }
    }
    for (const OwnerChain& chain : m_chains) {
      ++m_owned[NewestOwner(chain)];
    }
    m_quotas = ComputeQuotas(upstreams, m_owned,
                             static_cast<int64_t>(m_chains.size()));
  }

  void Run() {
    for (const uint32_t bucket : BucketsInMoveOrder()) {
      MoveIfNeeded(bucket);
    }
  }

 private:
  bool MustMove(uint32_t bucket) const {
    return !m_quotas.contains(NewestOwner(m_chains[bucket]));
  }

  // Buckets that must move come first, then those with short chains, so that
  // chains stay short.
  std::vector<uint32_t> BucketsInMoveOrder() const {
    std::vector<uint32_t> order(m_chains.size());
    for (uint32_t i = 0; i < order.size(); ++i) {
      order[i] = i;
    }
    std::stable_sort(
        order.begin(), order.end(), [this](uint32_t a, uint32_t b) {
          if (MustMove(a) != MustMove(b)) {
            return MustMove(a);
          }
          return m_chains[a].changes.size() < m_chains[b].changes.size();
        });
    return order;
  }

  void MoveIfNeeded(uint32_t bucket) {
    OwnerChain& chain = m_chains[bucket];
    const UpstreamId owner = NewestOwner(chain);
    if (!MustMove(bucket)) {
      const bool has_surplus = m_owned[owner] > m_quotas[owner];
      if (!has_surplus ||
          chain.changes.size() >= kMaxOwnerChangesForRebalance) {
        return;
      }
    }
    const UpstreamId new_owner = ChooseNewOwner(bucket);
    if (new_owner == owner) {
      return;
    }
    --m_owned[owner];
    ++m_owned[new_owner];
    AppendOwner(&chain, new_owner);
  }

  // Returns an upstream below its quota, or kNoUpstream if there is none.
  // Prefers upstreams that are already in the bucket's chain, then the highest
  // rendezvous hash.
  UpstreamId ChooseNewOwner(uint32_t bucket) {
    UpstreamId best = kNoUpstream;
    uint64_t best_score = 0;
    for (const auto& [id, quota] : m_quotas) {
      if (m_owned[id] >= quota) {
        continue;
      }
      const std::pair<uint64_t, uint64_t> input{id, bucket};
      uint64_t score = XXH3_64bits(&input, sizeof(input)) >> 1;
      if (HasOwner(m_chains[bucket], id)) {
        score |= uint64_t{1} << 63;
      }
      if (best == kNoUpstream || score > best_score) {
        best = id;
        best_score = score;
      }
    }
    return best;
  }

  static bool HasOwner(const OwnerChain& chain, UpstreamId id) {
    return chain.oldest_owner == id ||
           std::any_of(chain.changes.begin(), chain.changes.end(),
                       [id](const OwnerChange& change) {
                         return change.upstream == id;
                       });
  }

  void AppendOwner(OwnerChain* chain, UpstreamId new_owner) {
    const bool has_no_flows =
        chain->changes.empty() && chain->oldest_owner == kNoUpstream;
    if (has_no_flows) {
      chain->oldest_owner = new_owner;
      return;
    }
    const auto leaving = m_leaving.find(NewestOwner(*chain));
    const TimePoint active_from =
        leaving == m_leaving.end() ? m_timing.active_from : leaving->second;
    chain->changes.push_back({new_owner, m_timing.now, active_from});
  }

  std::vector<OwnerChain>& m_chains;
  PlanTiming m_timing;
  std::map<UpstreamId, TimePoint> m_leaving;
  Quotas m_owned;
  Quotas m_quotas;
};

// Removes owner changes to a leaving upstream that are not active yet: it never
// received flows through them.
void DropPendingChanges(OwnerChain* chain,
                        const std::set<UpstreamId>& leaving,
                        TimePoint now) {
  std::erase_if(chain->changes, [&](const OwnerChange& change) {
    return change.active_from > now && leaving.contains(change.upstream);
  });
}

std::vector<OwnerChain> CarryOverChains(
    const ServicePlan* previous,
    const std::vector<PlannedUpstream>& upstreams,
    TimePoint now) {
  if (previous == nullptr) {
    return std::vector<OwnerChain>(BucketCountFor(upstreams.size()));
  }
  std::set<UpstreamId> present;
  std::set<UpstreamId> leaving;
  for (const PlannedUpstream& upstream : upstreams) {
    present.insert(upstream.id);
    if (upstream.is_leaving()) {
      leaving.insert(upstream.id);
    }
  }
  std::vector<OwnerChain> chains;
  for (uint32_t bucket = 0; bucket < previous->bucket_count(); ++bucket) {
    OwnerChain chain = previous->Chain(bucket);
    DropPendingChanges(&chain, leaving, now);
    chains.push_back(RemoveAbsentOwners(chain, present, now));
  }
  return chains;
}

std::vector<OwnerChain> AllChains(const ServicePlan& plan) {
  std::vector<OwnerChain> chains;
  for (uint32_t bucket = 0; bucket < plan.bucket_count(); ++bucket) {
    chains.push_back(plan.Chain(bucket));
  }
  return chains;
}

}  // namespace

std::optional<ServicePlan> NextPlan(const ServicePlan* previous,
                                    const DesiredService& desired,
                                    const PlanTiming& timing) {
  UpstreamId next_id = previous == nullptr ? 1 : previous->next_upstream_id();
  std::vector<PlannedUpstream> upstreams =
      AssignUpstreamIds(previous, desired, timing, &next_id);
  std::vector<OwnerChain> chains =
      CarryOverChains(previous, upstreams, timing.now);
  Rebalancer(&chains, upstreams, timing).Run();
  if (previous == nullptr) {
    return ServicePlan(desired.service, desired.address, desired.protocol, 1,
                       desired.hash_seed, next_id, std::move(upstreams),
                       chains);
  }
  const bool is_unchanged = previous->address() == desired.address &&
                            previous->protocol() == desired.protocol &&
                            previous->upstreams() == upstreams &&
                            AllChains(*previous) == chains;
  if (is_unchanged) {
    return std::nullopt;
  }
  return ServicePlan(desired.service, desired.address, desired.protocol,
                     previous->generation() + 1, previous->hash_seed(), next_id,
                     std::move(upstreams), chains);
}

}  // namespace poplarsail::steering
