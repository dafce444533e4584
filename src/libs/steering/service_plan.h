#ifndef STEERING_SERVICE_PLAN_H_
#define STEERING_SERVICE_PLAN_H_

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "model/model.h"
#include "steering/flow_key.h"
#include "steering/flow_table.h"

namespace poplarsail::steering {

// An upstream as a plan sees it.
struct PlannedUpstream {
  UpstreamId id = kNoUpstream;
  std::string name;
  model::Endpoint address;
  std::string failure_domain;
  // Buckets are shared out in proportion; 0 while the upstream drains.
  uint32_t weight = 0;
  // From then on no packet goes there and its flows are given up; until then
  // it gets no new flows. The far future for an upstream that stays.
  TimePoint leaves_at = TimePoint::max();

  bool is_leaving() const { return leaves_at != TimePoint::max(); }

  friend bool operator==(const PlannedUpstream&,
                         const PlannedUpstream&) = default;
};

// A later owner of a bucket. First packets go to it from `active_from` on.
struct BucketLink {
  // kNoUpstream: no upstream may take new flows.
  UpstreamId upstream = kNoUpstream;
  TimePoint announced_at;
  TimePoint active_from;

  friend bool operator==(const BucketLink&, const BucketLink&) = default;
};

// The owners of one bucket, oldest first. Packets of flows that nobody
// recorded belong to `base`; flows that began at a link are recorded.
struct BucketChain {
  UpstreamId base = kNoUpstream;
  std::vector<BucketLink> links;

  friend bool operator==(const BucketChain&, const BucketChain&) = default;
};

// What every entry host needs to steer the packets of one service. Immutable;
// a change makes the plan of the next generation.
class ServicePlan {
 public:
  // `upstreams` is sorted by id; the number of chains is a power of two.
  ServicePlan(std::string service,
              model::Endpoint address,
              model::Protocol protocol,
              uint32_t generation,
              uint64_t hash_seed,
              UpstreamId next_upstream_id,
              std::vector<PlannedUpstream> upstreams,
              std::vector<BucketChain> chains);

  const std::string& service() const { return m_service; }
  const model::Endpoint& address() const { return m_address; }
  model::Protocol protocol() const { return m_protocol; }
  uint32_t generation() const { return m_generation; }
  uint64_t hash_seed() const { return m_hash_seed; }
  UpstreamId next_upstream_id() const { return m_next_upstream_id; }
  const std::vector<PlannedUpstream>& upstreams() const { return m_upstreams; }
  uint32_t bucket_count() const { return static_cast<uint32_t>(m_base.size()); }

  uint32_t BucketOf(uint64_t flow_hash) const {
    // The low bits: the flow table chooses its sets by higher ones.
    return static_cast<uint32_t>(flow_hash) & (bucket_count() - 1);
  }
  // The oldest owner, whether or not it has left.
  UpstreamId OldestOwner(uint32_t bucket) const { return m_base[bucket]; }
  // The owner at time `now` of flows that nobody recorded: the oldest one that
  // has not left.
  UpstreamId OwnerOfUnrecorded(uint32_t bucket, TimePoint now) const;
  // Later owners, oldest first; empty where the bucket is not in transition.
  std::span<const BucketLink> OwnerChanges(uint32_t bucket) const {
    const size_t first = m_link_offsets[bucket];
    return {m_links.data() + first, m_link_offsets[bucket + 1] - first};
  }
  // Position of the bucket's first link among all links of the plan.
  size_t FirstLink(uint32_t bucket) const { return m_link_offsets[bucket]; }
  std::span<const BucketLink> AllLinks() const { return m_links; }
  BucketChain Chain(uint32_t bucket) const;
  // The owner of new flows at time `now`; kNoUpstream while none may take them.
  UpstreamId OwnerOfNewFlows(uint32_t bucket, TimePoint now) const;

  // Returns null where the plan has no such upstream or it has left.
  const PlannedUpstream* FindPresent(UpstreamId id, TimePoint now) const;
  // Returns null where the plan has no such upstream.
  const PlannedUpstream* FindUpstream(UpstreamId id) const;

  size_t link_count() const { return m_links.size(); }
  size_t memory_bytes() const;

  friend bool operator==(const ServicePlan&, const ServicePlan&) = default;

 private:
  std::string m_service;
  model::Endpoint m_address;
  model::Protocol m_protocol;
  uint32_t m_generation;
  uint64_t m_hash_seed;
  UpstreamId m_next_upstream_id;
  std::vector<PlannedUpstream> m_upstreams;
  // The ids of m_upstreams, close together for the search.
  std::vector<UpstreamId> m_ids;
  std::vector<UpstreamId> m_base;
  std::vector<uint32_t> m_link_offsets;
  std::vector<BucketLink> m_links;
};

using ServicePlanPtr = std::shared_ptr<const ServicePlan>;

// The form of a plan in the object API.
nlohmann::json ToJson(const ServicePlan& plan);

// Throws model::ValidationError; `source` names the object in its text.
ServicePlan ServicePlanFromJson(const nlohmann::json& json,
                                const std::string& source);

}  // namespace poplarsail::steering

#endif  // STEERING_SERVICE_PLAN_H_
