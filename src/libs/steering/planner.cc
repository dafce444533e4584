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

using Address = std::pair<std::string, model::Endpoint>;

// Gives each goal its number: that of the previous plan while name and address
// stay, else a fresh one. Upstreams without a goal are marked as leaving.
std::vector<PlannedUpstream> NumberUpstreams(const ServicePlan* previous,
                                             const DesiredService& goal,
                                             const PlanTiming& timing,
                                             UpstreamId* next_id) {
  std::map<Address, PlannedUpstream> staying;
  std::vector<PlannedUpstream> upstreams;
  if (previous != nullptr) {
    for (const PlannedUpstream& upstream : previous->upstreams()) {
      if (!upstream.is_leaving()) {
        staying.emplace(Address{upstream.name, upstream.address}, upstream);
      } else if (timing.now < upstream.leaves_at + kLeavingSettle) {
        upstreams.push_back(upstream);
      }
    }
  }
  std::vector<UpstreamGoal> goals = goal.upstreams;
  std::sort(goals.begin(), goals.end(),
            [](const UpstreamGoal& a, const UpstreamGoal& b) {
              return a.name < b.name;
            });
  for (const UpstreamGoal& wanted : goals) {
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

// Whether a link without an upstream still keeps new flows off the owner
// before it.
bool RefusesNewFlows(const std::vector<BucketLink>& owners,
                     size_t index,
                     TimePoint now) {
  const bool is_last = index + 1 == owners.size();
  return owners[index].upstream == kNoUpstream && index > 0 &&
         (is_last || owners[index + 1].active_from > now);
}

// Removes upstreams that are gone, and neighbours that became equal. An empty
// chain has base kNoUpstream.
BucketChain WithoutGone(const BucketChain& chain,
                        const std::set<UpstreamId>& present,
                        TimePoint now) {
  std::vector<BucketLink> owners = {{chain.base, {}, {}}};
  owners.insert(owners.end(), chain.links.begin(), chain.links.end());
  std::vector<BucketLink> kept;
  for (size_t i = 0; i < owners.size(); ++i) {
    const bool refuses = !kept.empty() && RefusesNewFlows(owners, i, now);
    if (!present.contains(owners[i].upstream) && !refuses) {
      continue;
    }
    if (!kept.empty() && kept.back().upstream == owners[i].upstream) {
      continue;
    }
    kept.push_back(owners[i]);
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
             const PlanTiming& timing)
      : m_chains(*chains), m_timing(timing) {
    for (const PlannedUpstream& upstream : upstreams) {
      if (upstream.is_leaving()) {
        m_leaving.emplace(upstream.id, upstream.leaves_at);
      }
    }
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
    const auto leaving = m_leaving.find(OwnerAtLast(*chain));
    const TimePoint active_from =
        leaving == m_leaving.end() ? m_timing.active_from : leaving->second;
    chain->links.push_back({receiver, m_timing.now, active_from});
  }

  std::vector<BucketChain>& m_chains;
  PlanTiming m_timing;
  std::map<UpstreamId, TimePoint> m_leaving;
  Quotas m_owned;
  Quotas m_quotas;
};

// Links to a leaving upstream that never took flows are dropped.
void DropPendingLinks(BucketChain* chain,
                      const std::set<UpstreamId>& leaving,
                      TimePoint now) {
  std::erase_if(chain->links, [&](const BucketLink& link) {
    return link.active_from > now && leaving.contains(link.upstream);
  });
}

std::vector<BucketChain> CarryOver(
    const ServicePlan* previous,
    const std::vector<PlannedUpstream>& upstreams,
    TimePoint now) {
  if (previous == nullptr) {
    return std::vector<BucketChain>(BucketCountFor(upstreams.size()));
  }
  std::set<UpstreamId> present;
  std::set<UpstreamId> leaving;
  for (const PlannedUpstream& upstream : upstreams) {
    present.insert(upstream.id);
    if (upstream.is_leaving()) {
      leaving.insert(upstream.id);
    }
  }
  std::vector<BucketChain> chains;
  for (uint32_t bucket = 0; bucket < previous->bucket_count(); ++bucket) {
    BucketChain chain = previous->Chain(bucket);
    DropPendingLinks(&chain, leaving, now);
    chains.push_back(WithoutGone(chain, present, now));
  }
  return chains;
}

std::vector<BucketChain> AllChains(const ServicePlan& plan) {
  std::vector<BucketChain> chains;
  for (uint32_t bucket = 0; bucket < plan.bucket_count(); ++bucket) {
    chains.push_back(plan.Chain(bucket));
  }
  return chains;
}

}  // namespace

std::optional<ServicePlan> NextPlan(const ServicePlan* previous,
                                    const DesiredService& goal,
                                    const PlanTiming& timing) {
  UpstreamId next_id = previous == nullptr ? 1 : previous->next_upstream_id();
  std::vector<PlannedUpstream> upstreams =
      NumberUpstreams(previous, goal, timing, &next_id);
  std::vector<BucketChain> chains = CarryOver(previous, upstreams, timing.now);
  Rebalancer(&chains, upstreams, timing).Run();
  if (previous == nullptr) {
    return ServicePlan(goal.service, goal.address, goal.protocol, 1,
                       goal.hash_seed, next_id, std::move(upstreams), chains);
  }
  const bool is_unchanged = previous->address() == goal.address &&
                            previous->protocol() == goal.protocol &&
                            previous->upstreams() == upstreams &&
                            AllChains(*previous) == chains;
  if (is_unchanged) {
    return std::nullopt;
  }
  return ServicePlan(goal.service, goal.address, goal.protocol,
                     previous->generation() + 1, previous->hash_seed(), next_id,
                     std::move(upstreams), chains);
}

}  // namespace poplarsail::steering
