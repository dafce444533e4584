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

// An upstream of a plan.
struct PlannedUpstream {
  UpstreamId id = kNoUpstream;
  std::string name;
  model::Endpoint address;
  std::string failure_domain;
  // Buckets are distributed in proportion to weights. 0 while the upstream
  // drains.
  uint32_t weight = 0;
  // From this time on the upstream receives no packets and its flows are
  // abandoned. Before that it already receives no new flows. TimePoint::max()
  // for an upstream that is not leaving.
  TimePoint leaves_at = TimePoint::max();

  bool is_leaving() const { return leaves_at != TimePoint::max(); }

  friend bool operator==(const PlannedUpstream&,
                         const PlannedUpstream&) = default;
};

// A change of a bucket's owner. The new owner receives first packets from
// `active_from` on.
struct OwnerChange {
  // The new owner. kNoUpstream if no upstream may receive new flows.
  UpstreamId upstream = kNoUpstream;
  TimePoint announced_at;
  TimePoint active_from;

  friend bool operator==(const OwnerChange&, const OwnerChange&) = default;
};

// The owners of one bucket. Packets of flows without a record belong to
// `oldest_owner`. Flows that began at a later owner are recorded.
struct OwnerChain {
  UpstreamId oldest_owner = kNoUpstream;
  std::vector<OwnerChange> changes;

  friend bool operator==(const OwnerChain&, const OwnerChain&) = default;
};

// What an entry host needs to steer the packets of one service. Immutable: a
// change results in a plan of the next generation.
class ServicePlan {
 public:
  // `upstreams` must be sorted by id, and the number of chains must be a power
  // of two.
  ServicePlan(std::string service,
              model::Endpoint address,
              model::Protocol protocol,
              uint32_t generation,
              uint64_t hash_seed,
              UpstreamId next_upstream_id,
              std::vector<PlannedUpstream> upstreams,
              std::vector<OwnerChain> chains);

  const std::string& service() const { return m_service; }
  const model::Endpoint& address() const { return m_address; }
  model::Protocol protocol() const { return m_protocol; }
  uint32_t generation() const { return m_generation; }
  uint64_t hash_seed() const { return m_hash_seed; }
  UpstreamId next_upstream_id() const { return m_next_upstream_id; }
  const std::vector<PlannedUpstream>& upstreams() const { return m_upstreams; }
  uint32_t bucket_count() const {
    return static_cast<uint32_t>(m_oldest_owners.size());
  }

  uint32_t BucketOf(uint64_t flow_hash) const {
    // Uses the low bits, since the flow table chooses its sets by higher ones.
    return static_cast<uint32_t>(flow_hash) & (bucket_count() - 1);
  }
  // Returns the oldest owner even if it has left.
  UpstreamId OldestOwner(uint32_t bucket) const {
    return m_oldest_owners[bucket];
  }
  // Returns the owner of flows without a record at time `now`: the oldest owner
  // that has not left.
  UpstreamId OwnerOfUnrecorded(uint32_t bucket, TimePoint now) const;
  // Returns the owner changes of a bucket, oldest first. Empty if the bucket is
  // not in transition.
  std::span<const OwnerChange> OwnerChanges(uint32_t bucket) const {
    const size_t first = m_owner_change_offsets[bucket];
    return {m_owner_changes.data() + first,
            m_owner_change_offsets[bucket + 1] - first};
  }
  // Index of the bucket's first owner change in AllOwnerChanges().
  size_t FirstOwnerChangeIndex(uint32_t bucket) const {
    return m_owner_change_offsets[bucket];
  }
  std::span<const OwnerChange> AllOwnerChanges() const {
    return m_owner_changes;
  }
  OwnerChain Chain(uint32_t bucket) const;
  // Returns the owner of new flows at time `now`, or kNoUpstream if no upstream
  // may receive them.
  UpstreamId OwnerOfNewFlows(uint32_t bucket, TimePoint now) const;

  // Returns null if the plan has no such upstream, or if it has left by `now`.
  const PlannedUpstream* FindUpstreamAt(UpstreamId id, TimePoint now) const;
  // Returns null if the plan has no such upstream.
  const PlannedUpstream* FindUpstream(UpstreamId id) const;

  size_t owner_change_count() const { return m_owner_changes.size(); }
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
  // The ids of m_upstreams, in a separate array to make the binary search
  // cache-friendly.
  std::vector<UpstreamId> m_upstream_ids;
  std::vector<UpstreamId> m_oldest_owners;
  std::vector<uint32_t> m_owner_change_offsets;
  std::vector<OwnerChange> m_owner_changes;
};

using ServicePlanPtr = std::shared_ptr<const ServicePlan>;

// Returns the spec of a Plan object.
nlohmann::json ToJson(const ServicePlan& plan);

// Parses the spec of a Plan object. Throws model::ValidationError, whose
// message contains `source`.
ServicePlan ServicePlanFromJson(const nlohmann::json& json,
                                const std::string& source);

}  // namespace poplarsail::steering

#endif  // STEERING_SERVICE_PLAN_H_
