#include "measure/host_steering.h"

#include <map>
#include <utility>

namespace poplarsail::measure {

namespace {

using steering::Action;
using steering::Decision;
using steering::FlowRecord;
using steering::FlowTable;
using steering::PacketSummary;
using steering::PlannedUpstream;
using steering::RelayHeader;
using steering::ServicePlan;
using steering::ServicePlanPtr;
using steering::UpstreamId;

// Encoded size of one digest entry: hash and upstream.
constexpr size_t kDigestEntryBytes = 8 + 4;

// Base of the strategies without replica hosts: plans by destination and a flow
// table.
class TableSteering : public HostSteering {
 public:
  explicit TableSteering(size_t flow_capacity) : m_flows(flow_capacity) {}

  void SetPlan(ServicePlanPtr plan) override {
    ServicePlanPtr& present =
        m_plans[steering::ToAddressBytes(plan->address().address)];
    if (present == nullptr || present->generation() < plan->generation()) {
      present = std::move(plan);
    }
  }
  void SetMembers(std::shared_ptr<const steering::ReplicaMap>,
                  TimePoint) override {}
  void MarkRecordsIncomplete(TimePoint) override {}

  Decision Decide(const PacketSummary& packet,
                  const RelayHeader*,
                  TimePoint now) override {
    const auto found = m_plans.find(packet.key.destination);
    if (found == m_plans.end()) {
      return {};
    }
    const ServicePlan& plan = *found->second;
    const uint64_t hash = steering::HashFlow(packet.key, plan.hash_seed());
    const UpstreamId upstream = ChooseUpstream(plan, packet, hash, now);
    ShortenClosingFlow(packet, hash, now);
    Decision decision;
    decision.upstream = plan.FindUpstream(upstream);
    decision.action =
        decision.upstream == nullptr ? Action::kDrop : Action::kForward;
    return decision;
  }

  size_t CountRecords(TimePoint now) const override {
    return m_flows.CountLive(now);
  }

 protected:
  virtual UpstreamId ChooseUpstream(const ServicePlan& plan,
                                    const PacketSummary& packet,
                                    uint64_t hash,
                                    TimePoint now) = 0;

  // The last packet of a flow shortens the lifetime of its record.
  void ShortenClosingFlow(const PacketSummary& packet,
                          uint64_t hash,
                          TimePoint now) {
    const auto found = m_flows.Find(hash, now);
    if (!packet.ends_flow || !found) {
      return;
    }
    m_flows.Insert(found->record,
                   now + LifetimeOf(steering::FlowPhase::kClosing), now);
  }
  UpstreamId FindRecordedUpstream(const ServicePlan& plan,
                                  uint64_t hash,
                                  TimePoint now) const {
    const auto found = m_flows.Find(hash, now);
    const bool is_good =
        found && plan.FindUpstream(found->record.upstream) != nullptr;
    return is_good ? found->record.upstream : steering::kNoUpstream;
  }
  void InsertRecord(uint64_t hash, UpstreamId upstream, TimePoint now) {
    m_flows.Insert({hash, upstream, steering::FlowPhase::kOpen, 0},
                   now + steering::kIdleTimeout, now);
  }

  FlowTable m_flows;

 private:
  std::map<steering::AddressBytes, ServicePlanPtr> m_plans;
};

class LocalTableSteering : public TableSteering {
 public:
  using TableSteering::TableSteering;

 protected:
  UpstreamId ChooseUpstream(const ServicePlan& plan,
                            const PacketSummary& packet,
                            uint64_t hash,
                            TimePoint now) override {
    const UpstreamId known = FindRecordedUpstream(plan, hash, now);
    if (known != steering::kNoUpstream && !packet.opens_flow) {
      return known;
    }
    const UpstreamId owner = plan.OwnerOfNewFlows(plan.BucketOf(hash), now);
    if (owner != steering::kNoUpstream) {
      InsertRecord(hash, owner, now);
    }
    return owner;
  }
};

class HistorySteering : public TableSteering {
 public:
  using TableSteering::TableSteering;

 protected:
  UpstreamId ChooseUpstream(const ServicePlan& plan,
                            const PacketSummary& packet,
                            uint64_t hash,
                            TimePoint now) override {
    const uint32_t bucket = plan.BucketOf(hash);
    if (plan.OwnerChanges(bucket).empty()) {
      return plan.OldestOwner(bucket);
    }
    const UpstreamId known = FindRecordedUpstream(plan, hash, now);
    if (known != steering::kNoUpstream) {
      return known;
    }
    if (!packet.opens_flow) {
      return plan.OldestOwner(bucket);
    }
    const UpstreamId owner = plan.OwnerOfNewFlows(bucket, now);
    if (owner != plan.OldestOwner(bucket) && owner != steering::kNoUpstream) {
      InsertRecord(hash, owner, now);
      AddDeviation({hash, owner, steering::FlowPhase::kOpen, 0});
    }
    return owner;
  }

  virtual void AddDeviation(const FlowRecord&) {}
};

class DigestSteering : public HistorySteering {
 public:
  using HistorySteering::HistorySteering;

  Digest TakeDigest() override {
    Digest digest{std::exchange(m_deviations, {}), 0};
    digest.wire_bytes = digest.records.size() * kDigestEntryBytes;
    return digest;
  }
  void ReceiveDigest(const Digest& digest, TimePoint now) override {
    for (const FlowRecord& record : digest.records) {
      InsertRecord(record.hash, record.upstream, now);
    }
  }

 protected:
  void AddDeviation(const FlowRecord& record) override {
    m_deviations.push_back(record);
  }

 private:
  std::vector<FlowRecord> m_deviations;
};

// The router that the daemon uses in production.
class ReplicaSteering : public HostSteering {
 public:
  ReplicaSteering(const std::string& host, size_t flow_capacity)
      : m_router(host, flow_capacity) {}

  void SetPlan(ServicePlanPtr plan) override {
    m_router.SetPlan(std::move(plan));
  }
  void SetMembers(std::shared_ptr<const steering::ReplicaMap> members,
                  TimePoint now) override {
    m_router.SetMembers(std::move(members), now);
  }
  void MarkRecordsIncomplete(TimePoint now) override {
    m_router.MarkRecordsIncomplete(now);
  }
  Decision Decide(const PacketSummary& packet,
                  const RelayHeader* relay,
                  TimePoint now) override {
    return m_router.Decide(packet, relay, now);
  }
  const steering::ReplicaMap* members() const override {
    return &m_router.members();
  }
  size_t CountRecords(TimePoint now) const override {
    return m_router.flows().CountLive(now);
  }

 private:
  steering::Router m_router;
};

}  // namespace

std::string_view ToString(SteeringStrategy strategy) {
  switch (strategy) {
    case SteeringStrategy::kLocalTable:
      return "local-table";
    case SteeringStrategy::kHistory:
      return "history";
    case SteeringStrategy::kDigests:
      return "digests";
    case SteeringStrategy::kReplicas:
      return "keepers";
  }
  return "unknown";
}

std::unique_ptr<HostSteering> CreateHostSteering(SteeringStrategy strategy,
                                                 const std::string& host,
                                                 size_t flow_capacity) {
  switch (strategy) {
    case SteeringStrategy::kLocalTable:
      return std::make_unique<LocalTableSteering>(flow_capacity);
    case SteeringStrategy::kHistory:
      return std::make_unique<HistorySteering>(flow_capacity);
    case SteeringStrategy::kDigests:
      return std::make_unique<DigestSteering>(flow_capacity);
    case SteeringStrategy::kReplicas:
      return std::make_unique<ReplicaSteering>(host, flow_capacity);
  }
  return nullptr;
}

}  // namespace poplarsail::measure
