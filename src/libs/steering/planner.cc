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

UpstreamId OwnerAtLast(const BucketChain& chain) {
  return chain.links.empty() ? chain.base : chain.links.back().upstream;
}

// Gives each goal its number: that of the previous plan while name and address
// stay, else a fresh one.
std::vector<PlannedUpstream> NumberUpstreams(const ServicePlan* previous,
                                             const ServiceGoal& goal,
                                             UpstreamId* next_id) {
  std::map<std::pair<std::string, model::Endpoint>, UpstreamId> known;
  if (previous != nullptr) {
    for (const PlannedUpstream& upstream : previous->upstreams()) {
      known[{upstream.name, upstream.address}] = upstream.id;
    }
  }
  std::vector<UpstreamGoal> goals = goal.upstreams;
  std::sort(goals.begin(), goals.end(),
            [](const UpstreamGoal& a, const UpstreamGoal& b) {
              return a.name < b.name;
            });
  std::vector<PlannedUpstream> upstreams;
  for (const UpstreamGoal& wanted : goals) {
    const auto found = known.find({wanted.name, wanted.address});
    const UpstreamId id = found != known.end() ? found->second : (*next_id)++;
    upstreams.push_back({id, wanted.name, wanted.address, wanted.failure_domain,
                         wanted.weight});
  }
  std::sort(upstreams.begin(), upstreams.end(),
            [](const PlannedUpstream& a, const PlannedUpstream& b) {
              return a.id < b.id;
            });
  return upstreams;
}

// Removes upstreams that are gone, and neighbours that became equal. A last
// link without an upstream stays. An empty chain has base kNoUpstream.
BucketChain WithoutGone(const BucketChain& chain,
                        const std::set<UpstreamId>& present) {
  std::vector<BucketLink> owners = {{chain.base, {}, {}}};
  owners.insert(owners.end(), chain.links.begin(), chain.links.end());
  std::vector<BucketLink> kept;
  for (const BucketLink& owner : owners) {
    const bool refuses_new_flows = owner.upstream == kNoUpstream &&
                                   &owner == &owners.back() && !kept.empty();
    if (!present.contains(owner.upstream) && !refuses_new_flows) {
      continue;
    }
    if (!kept.empty() && kept.back().upstream == owner.upstream) {
      continue;
    }
    kept.push_back(owner);
  }
  BucketChain result;
  if (kept.empty()) {
    return result;
  }
  result.base = kept.front().upstream;
  result.links.assign(kept.begin() + 1, kept.end());
  return result;
}

// The number of buckets that each upstream should own: proportional to its
// weight, with the remainder where it moves the fewest buckets.
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
  int64_t left = bucket_count;
  std::vector<std::pair<int64_t, UpstreamId>> by_excess;
  for (const PlannedUpstream& upstream : upstreams) {
    if (upstream.weight == 0) {
      continue;
    }
    const int64_t quota = bucket_count * upstream.weight / total_weight;
    quotas[upstream.id] = quota;
    left -= quota;
    const auto own = owned.find(upstream.id);
    const int64_t excess = (own == owned.end() ? 0 : own->second) - quota;
    by_excess.emplace_back(-excess, upstream.id);
  }
  std::sort(by_excess.begin(), by_excess.end());
  for (const auto& [negative_excess, id] : by_excess) {
    if (left == 0) {
      break;
    }
    ++quotas[id];
    --left;
  }
  return quotas;
}

// Changes chains until each upstream owns its quota.
class Rebalancer {
 public:
  Rebalancer(std::vector<BucketChain>* chains,
             const std::vector<PlannedUpstream>& upstreams,
             TimePoint now,
             TimePoint active_from)
      : m_chains(*chains), m_now(now), m_active_from(active_from) {
    for (const BucketChain& chain : m_chains) {
      ++m_owned[OwnerAtLast(chain)];
    }
    m_quotas = ComputeQuotas(upstreams, m_owned,
                             static_cast<int64_t>(m_chains.size()));
  }

  void Run() {
    // Buckets that must move come first, then those that only balance.
    for (const uint32_t bucket : BucketsInMoveOrder()) {
      MoveIfNeeded(bucket);
    }
  }

 private:
  bool MustMove(uint32_t bucket) const {
    return !m_quotas.contains(OwnerAtLast(m_chains[bucket]));
  }

  // Forced moves first; then short chains, so that chains stay short.
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
          return m_chains[a].links.size() < m_chains[b].links.size();
        });
    return order;
  }

  void MoveIfNeeded(uint32_t bucket) {
    BucketChain& chain = m_chains[bucket];
    const UpstreamId owner = OwnerAtLast(chain);
    if (!MustMove(bucket)) {
      const bool has_surplus = m_owned[owner] > m_quotas[owner];
      if (!has_surplus || chain.links.size() >= kMaxLinksForBalance) {
        return;
      }
    }
    const UpstreamId receiver = ChooseReceiver(bucket);
    if (receiver == owner) {
      return;
    }
    --m_owned[owner];
    ++m_owned[receiver];
    Append(&chain, receiver);
  }

  // An upstream below its quota: one that the chain names already, else by
  // rendezvous hashing. Without any, kNoUpstream.
  UpstreamId ChooseReceiver(uint32_t bucket) {
    UpstreamId best = kNoUpstream;
    uint64_t best_score = 0;
    for (const auto& [id, quota] : m_quotas) {
      if (m_owned[id] >= quota) {
        continue;
      }
      const std::pair<uint64_t, uint64_t> input{id, bucket};
      uint64_t score = XXH3_64bits(&input, sizeof(input)) >> 1;
      if (Names(m_chains[bucket], id)) {
        score |= uint64_t{1} << 63;
      }
      if (best == kNoUpstream || score > best_score) {
        best = id;
        best_score = score;
      }
    }
    return best;
  }

  static bool Names(const BucketChain& chain, UpstreamId id) {
    return chain.base == id ||
           std::any_of(
               chain.links.begin(), chain.links.end(),
               [id](const BucketLink& link) { return link.upstream == id; });
  }

  void Append(BucketChain* chain, UpstreamId receiver) {
    const bool has_no_flows =
        chain->links.empty() && chain->base == kNoUpstream;
    if (has_no_flows) {
      chain->base = receiver;
      return;
    }
    if (OwnerAtLast(*chain) == kNoUpstream) {
      chain->links.pop_back();
    }
    chain->links.push_back({receiver, m_now, m_active_from});
  }

  std::vector<BucketChain>& m_chains;
  TimePoint m_now;
  TimePoint m_active_from;
  Quotas m_owned;
  Quotas m_quotas;
};

std::vector<BucketChain> CarryOver(const ServicePlan* previous,
                                   const std::vector<PlannedUpstream>& now) {
  if (previous == nullptr) {
    return std::vector<BucketChain>(BucketCountFor(now.size()));
  }
  std::set<UpstreamId> present;
  for (const PlannedUpstream& upstream : now) {
    present.insert(upstream.id);
  }
  std::vector<BucketChain> chains;
  for (uint32_t bucket = 0; bucket < previous->bucket_count(); ++bucket) {
    chains.push_back(WithoutGone(previous->Chain(bucket), present));
  }
  return chains;
}

}  // namespace

std::optional<ServicePlan> NextPlan(const ServicePlan* previous,
                                    const ServiceGoal& goal,
                                    TimePoint now,
                                    TimePoint active_from) {
  UpstreamId next_id = previous == nullptr ? 1 : previous->next_upstream_id();
  std::vector<PlannedUpstream> upstreams =
      NumberUpstreams(previous, goal, &next_id);
  std::vector<BucketChain> chains = CarryOver(previous, upstreams);
  Rebalancer(&chains, upstreams, now, active_from).Run();
  const uint32_t generation =
      previous == nullptr ? 1 : previous->generation() + 1;
  const uint64_t seed =
      previous == nullptr ? goal.hash_seed : previous->hash_seed();
  ServicePlan plan(goal.service, goal.address, goal.protocol, generation, seed,
                   next_id, std::move(upstreams), chains);
  if (previous == nullptr) {
    return plan;
  }
  const ServicePlan unchanged(
      goal.service, previous->address(), previous->protocol(), generation, seed,
      next_id, previous->upstreams(), [&] {
        std::vector<BucketChain> old;
        for (uint32_t i = 0; i < previous->bucket_count(); ++i) {
          old.push_back(previous->Chain(i));
        }
        return old;
      }());
  if (plan == unchanged) {
    return std::nullopt;
  }
  return plan;
}

}  // namespace poplarsail::steering
