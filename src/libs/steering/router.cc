#include "steering/router.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace poplarsail::steering {

namespace {

// Any packet after the first one shows that the flow is open.
FlowPhase PhaseAfter(FlowPhase phase, const PacketSummary& packet) {
  if (!packet.is_connection_oriented) {
    return FlowPhase::kConnectionless;
  }
  if (packet.ends_flow || phase == FlowPhase::kClosing) {
    return FlowPhase::kClosing;
  }
  return FlowPhase::kOpen;
}

Decision Drop(DropReason reason) {
  Decision decision;
  decision.drop_reason = reason;
  return decision;
}

}  // namespace

size_t Router::ServiceKeyHash::operator()(const ServiceKey& key) const {
  std::array<uint8_t, 19> packed;
  std::copy(key.address.begin(), key.address.end(), packed.begin());
  packed[16] = static_cast<uint8_t>(key.port >> 8);
  packed[17] = static_cast<uint8_t>(key.port);
  packed[18] = key.protocol;
  return XXH3_64bits(packed.data(), packed.size());
}

Router::Router(std::string self, size_t flow_capacity)
    : m_role(std::move(self)), m_flows(flow_capacity) {}

Router::ServiceKey Router::ServiceKeyOf(const ServicePlan& plan) {
  return {
      ToAddressBytes(plan.address().address), plan.address().port,
      plan.protocol() == model::Protocol::kTcp ? kProtocolTcp : kProtocolUdp};
}

bool Router::SetPlan(ServicePlanPtr plan) {
  const ServicePlanPtr current = FindPlan(plan->service());
  if (current != nullptr && current->generation() >= plan->generation()) {
    return false;
  }
  if (current != nullptr && ServiceKeyOf(*current) != ServiceKeyOf(*plan)) {
    RemoveService(plan->service());
  }
  const std::string& name = plan->service();
  const uint64_t service_hash = XXH3_64bits(name.data(), name.size());
  const ServiceKey key = ServiceKeyOf(*plan);
  ServiceEntry entry{plan, service_hash, {}};
  AssignReplicaDomains(&entry);
  m_keys_by_name[name] = key;
  m_services[key] = std::move(entry);
  return true;
}

void Router::RemoveService(const std::string& service) {
  const auto found = m_keys_by_name.find(service);
  if (found == m_keys_by_name.end()) {
    return;
  }
  // Another service may use the address by now.
  const auto entry = m_services.find(found->second);
  if (entry != m_services.end() && entry->second.plan->service() == service) {
    m_services.erase(entry);
  }
  m_keys_by_name.erase(found);
}

ServicePlanPtr Router::FindPlan(const std::string& service) const {
  const auto found = m_keys_by_name.find(service);
  if (found == m_keys_by_name.end()) {
    return nullptr;
  }
  const auto entry = m_services.find(found->second);
  const bool is_own =
      entry != m_services.end() && entry->second.plan->service() == service;
  return is_own ? entry->second.plan : nullptr;
}

void Router::AssignReplicaDomains(ServiceEntry* entry) const {
  entry->change_domains.clear();
  for (const OwnerChange& change : entry->plan->AllOwnerChanges()) {
    const PlannedUpstream* upstream =
        entry->plan->FindUpstream(change.upstream);
    entry->change_domains.push_back(
        upstream == nullptr
            ? DomainIndex{0}
            : m_role.members().DomainIndexOf(upstream->failure_domain));
  }
}

void Router::SetMembers(std::shared_ptr<const ReplicaMap> members,
                        TimePoint now) {
  m_role.SetMembers(std::move(members), now);
  for (auto& [key, entry] : m_services) {
    AssignReplicaDomains(&entry);
  }
}

void Router::MarkRecordsIncomplete(TimePoint now) {
  m_role.MarkRecordsIncomplete(now);
}

Router::PacketContext Router::MakeContext(const ServiceEntry& entry,
                                          const PacketSummary& packet,
                                          const RelayHeader* relay,
                                          TimePoint now) const {
  const ServicePlan& plan = *entry.plan;
  static const RelayHeader no_relay;
  const uint64_t hash = HashFlow(packet.key, plan.hash_seed());
  const uint32_t bucket = plan.BucketOf(hash);
  return {.plan = plan,
          .changes = plan.OwnerChanges(bucket),
          .change_domains =
              entry.change_domains.data() + plan.FirstOwnerChangeIndex(bucket),
          .packet = packet,
          .hash = hash,
          .bucket = bucket,
          .slot = ReplicaMap::SlotOf(entry.service_hash, bucket),
          .relay = relay == nullptr ? no_relay : *relay,
          .now = now};
}

const Router::ServiceEntry* Router::FindService(
    const PacketSummary& packet) const {
  const auto found =
      m_services.find({packet.key.destination, packet.key.destination_port,
                       packet.key.protocol});
  return found == m_services.end() ? nullptr : &found->second;
}

Decision Router::Decide(const PacketSummary& packet,
                        const RelayHeader* relay,
                        TimePoint now) {
  const ServiceEntry* entry = FindService(packet);
  if (entry == nullptr) {
    return Drop(DropReason::kUnknownService);
  }
  const PacketContext context = MakeContext(*entry, packet, relay, now);
  if (relay != nullptr && relay->purpose == RelayPurpose::kRecord) {
    return StoreRecordCopy(context, *relay);
  }
  if (context.changes.empty()) {
    return Forward(context, context.plan.OldestOwner(context.bucket),
                   DecisionCause::kStableBucket);
  }
  return DecideInTransition(context);
}

Decision Router::Explain(const PacketSummary& packet, TimePoint now) const {
  const ServiceEntry* entry = FindService(packet);
  if (entry == nullptr) {
    return Drop(DropReason::kUnknownService);
  }
  const PacketContext context = MakeContext(*entry, packet, nullptr, now);
  if (context.changes.empty()) {
    return Forward(context, context.plan.OldestOwner(context.bucket),
                   DecisionCause::kStableBucket);
  }
  if (const auto found_record = FindRecord(context)) {
    return Forward(context, found_record->record.upstream,
                   DecisionCause::kRecord);
  }
  return RelayToNextCandidate(context).value_or(
      ForwardToUnrecordedOwner(context));
}

Decision Router::DecideInTransition(const PacketContext& context) {
  if (context.packet.opens_flow) {
    return DecideFirstPacket(context);
  }
  if (const auto found = FindRecord(context)) {
    return ForwardRecorded(context, *found);
  }
  if (const auto decision = RelayToNextCandidate(context)) {
    return *decision;
  }
  return context.packet.is_connection_oriented
             ? ForwardToUnrecordedOwner(context)
             : DecideConnectionless(context);
}

std::optional<FoundRecord> Router::FindRecord(
    const PacketContext& context) const {
  const auto found = m_flows.Find(context.hash, context.now);
  if (!found || context.plan.FindUpstreamAt(found->record.upstream,
                                            context.now) == nullptr) {
    return std::nullopt;
  }
  return found;
}

// A replica host that has all records of the bucket decides. If there is none,
// the packet is relayed to all candidates in turn, since it may be a
// retransmission that one of them has recorded.
Decision Router::DecideFirstPacket(const PacketContext& context) {
  const DomainIndex domain = DecidingDomain(context);
  const auto known = FindRecord(context);
  if (known && known->record.phase == FlowPhase::kOpening) {
    return RecordAndRelay(context, OwnReplicaDomain(context),
                          known->record.upstream, FlowPhase::kOpening);
  }
  const auto candidates = Candidates(context, domain);
  const bool is_replica = m_role.IsReplica(domain, context.slot);
  const bool may_decide = is_replica && HasAllRecords(context, domain);
  const bool may_relay = context.relay.hops < kMaxRelayHops;
  if (const auto previous = PreviousDecidingReplica(context);
      previous && may_decide && may_relay) {
    return RelayToResolve(context, *previous);
  }
  if (!may_decide && may_relay) {
    for (const MemberIndex candidate : candidates) {
      if (candidate == m_role.self_index() || WasVisited(context, candidate)) {
        continue;
      }
      return RelayToResolve(context, candidate);
    }
  }
  const UpstreamId upstream =
      context.plan.OwnerOfNewFlows(context.bucket, context.now);
  if (upstream == kNoUpstream) {
    return Drop(DropReason::kNoServingUpstream);
  }
  return RecordNewFlow(context, upstream, FlowPhase::kOpening);
}

// Decides on a connectionless packet without a record. Its flow may have begun
// before or after the bucket's owner changed.
Decision Router::DecideConnectionless(const PacketContext& context) {
  const UpstreamId upstream = OwnerOfConnectionless(context);
  if (upstream == kNoUpstream) {
    return Drop(DropReason::kNoServingUpstream);
  }
  return RecordNewFlow(context, upstream, FlowPhase::kConnectionless);
}

// Until an owner change becomes active, flows that send packets are recorded
// with their old owner. After that, a packet without a record counts as a new
// flow: at once if the previous owner drains, or after
// kConnectionlessQuietPeriod if the bucket was moved for load balance.
UpstreamId Router::OwnerOfConnectionless(const PacketContext& context) const {
  const size_t deciding = DecidingChange(context);
  const UpstreamId previous_owner =
      deciding == 0 ? context.plan.OldestOwner(context.bucket)
                    : context.changes[deciding - 1].upstream;
  const PlannedUpstream* planned =
      context.plan.FindUpstreamAt(previous_owner, context.now);
  const bool moved_for_balance = planned != nullptr && planned->weight > 0;
  const bool is_quiet_period =
      context.now <
      context.changes[deciding].active_from + kConnectionlessQuietPeriod;
  if (moved_for_balance && is_quiet_period) {
    return previous_owner;
  }
  return context.plan.OwnerOfNewFlows(context.bucket, context.now);
}

// Records a new flow on the replica hosts of the deciding owner change.
Decision Router::RecordNewFlow(const PacketContext& context,
                               UpstreamId upstream,
                               FlowPhase phase) {
  const DomainIndex domain = DecidingDomain(context);
  const auto candidates = Candidates(context, domain);
  if (candidates.empty() || m_role.IsReplica(domain, context.slot)) {
    return RecordAndRelay(context, domain, upstream, phase);
  }
  return RelayRecord(context, candidates[0], domain,
                     {context.hash, upstream, phase, 0},
                     DecisionCause::kFirstPacket);
}

// Stores the record on this host and, by relaying the packet, on the other
// replica host of the failure domain.
Decision Router::RecordAndRelay(const PacketContext& context,
                                DomainIndex domain,
                                UpstreamId upstream,
                                FlowPhase phase) {
  const int other = m_role.OtherReplica(domain, context.slot);
  const FlowRecord record{context.hash, upstream, phase, BackupTagOf(other)};
  const InsertResult result =
      m_flows.Insert(record, context.now + LifetimeOf(phase), context.now);
  const bool is_opening =
      phase == FlowPhase::kOpening || phase == FlowPhase::kConnectionless;
  if (result == InsertResult::kFull && is_opening) {
    return ForwardWithoutRecord(context);
  }
  const DecisionCause cause =
      is_opening ? DecisionCause::kFirstPacket : DecisionCause::kRecord;
  if (other == kNoMember || context.relay.hops >= kMaxRelayHops) {
    return Forward(context, upstream, cause);
  }
  Decision decision = RelayRecord(context, static_cast<MemberIndex>(other),
                                  domain, record, cause);
  decision.header.sender_has_copy = true;
  return decision;
}

// Decides on a first packet whose record does not fit into the flow table.
// Later packets of the flow go to the owner of unrecorded flows, so this is the
// only safe choice, provided that it accepts new flows.
Decision Router::ForwardWithoutRecord(const PacketContext& context) const {
  const UpstreamId owner =
      context.plan.OwnerOfUnrecorded(context.bucket, context.now);
  const PlannedUpstream* planned = context.plan.FindUpstream(owner);
  if (planned == nullptr || planned->weight == 0) {
    return Drop(DropReason::kTableFull);
  }
  return Forward(context, owner, DecisionCause::kOldestOwner);
}

Decision Router::StoreRecordCopy(const PacketContext& context,
                                 const RelayHeader& header) {
  if (context.plan.FindUpstream(header.upstream) == nullptr) {
    return Drop(DropReason::kUnknownUpstream);
  }
  const DomainIndex domain = DomainOfTag(context, header.replica_domain);
  if (!header.sender_has_copy) {
    // The sender stores no copy, so the other replica host needs the record,
    // too.
    return RecordAndRelay(context, domain, header.upstream, header.phase);
  }
  const FlowRecord record{
      context.hash, header.upstream, header.phase,
      BackupTagOf(m_role.OtherReplica(domain, context.slot))};
  m_flows.Insert(record, context.now + LifetimeOf(header.phase), context.now);
  return Forward(context, header.upstream, DecisionCause::kRecordCopy);
}

Decision Router::ForwardRecorded(const PacketContext& context,
                                 const FoundRecord& found) {
  const FlowRecord& record = found.record;
  const DomainIndex domain = OwnReplicaDomain(context);
  const FlowPhase phase = PhaseAfter(record.phase, context.packet);
  const auto lifetime = LifetimeOf(phase);
  const bool is_fresh = phase == record.phase &&
                        found.deadline > context.now + lifetime - lifetime / 4;
  const bool has_backup = record.backup_tag == BackupTagOf(m_role.OtherReplica(
                                                   domain, context.slot));
  if ((is_fresh && has_backup) || context.relay.hops >= kMaxRelayHops) {
    return Forward(context, record.upstream, DecisionCause::kRecord);
  }
  const auto candidates = Candidates(context, domain);
  if (candidates.empty() || m_role.IsReplica(domain, context.slot)) {
    // Renews this record, and the other copy by relaying the packet.
    return RecordAndRelay(context, domain, record.upstream, phase);
  }
  // This host is not a replica, and a replica host lacks the record: sends the
  // record along with the packet.
  return RelayRecord(context, candidates[0], domain,
                     {context.hash, record.upstream, phase, 0},
                     DecisionCause::kRecord);
}

// Relays a packet without a record on this host to the next host that may have
// one.
std::optional<Decision> Router::RelayToNextCandidate(
    const PacketContext& context) const {
  if (context.relay.hops >= kMaxRelayHops) {
    return std::nullopt;
  }
  const uint32_t searched = SearchedDomainMask(context);
  for (const LookupStep& step : BuildLookupOrder(context)) {
    const bool may_have_record = (step.domain_mask & ~searched) != 0;
    if (step.host == m_role.self_index() || !may_have_record ||
        WasVisited(context, step.host)) {
      continue;
    }
    Decision decision = RelayToResolve(context, step.host);
    AddSearchedDomains(context, &decision.header);
    return decision;
  }
  return std::nullopt;
}

bool Router::WasVisited(const PacketContext& context, MemberIndex host) const {
  const auto& visited = context.relay.visited;
  return std::find(visited.begin(), visited.end(),
                   m_role.members().TagOf(host)) != visited.end();
}

// Returns the index of the owner change whose replica hosts decide on first
// packets: the newest active one. If none is active, the oldest owner receives
// new flows, and the replica hosts of the first change record them for
// retransmissions that arrive after its activation.
size_t Router::DecidingChange(const PacketContext& context) const {
  size_t index = 0;
  while (index + 1 < context.changes.size() &&
         context.changes[index + 1].active_from <= context.now) {
    ++index;
  }
  return index;
}

DomainIndex Router::DecidingDomain(const PacketContext& context) const {
  return context.change_domains[DecidingChange(context)];
}

// Returns the replica host that decided on first packets before the deciding
// owner change became active, if that was recent and the host was not asked
// yet: the packet may be a retransmission of one that it recorded.
std::optional<MemberIndex> Router::PreviousDecidingReplica(
    const PacketContext& context) const {
  const size_t deciding = DecidingChange(context);
  const bool is_settled =
      context.changes[deciding].active_from + kFirstPacketRetransmitInterval <=
      context.now;
  if (is_settled || deciding == 0) {
    return std::nullopt;
  }
  const auto replicas =
      Candidates(context, context.change_domains[deciding - 1]);
  const bool is_other = !replicas.empty() &&
                        replicas[0] != m_role.self_index() &&
                        !WasVisited(context, replicas[0]);
  return is_other ? std::optional(replicas[0]) : std::nullopt;
}

Router::ReplicaDomains Router::ReplicaDomainsOf(
    const PacketContext& context) const {
  ReplicaDomains domains;
  for (size_t i = context.changes.size(); i > 0; --i) {
    if (context.changes[i - 1].upstream == kNoUpstream) {
      continue;
    }
    const DomainIndex domain = context.change_domains[i - 1];
    if (std::find(domains.begin(), domains.end(), domain) == domains.end()) {
      domains.push_back(domain);
    }
  }
  return domains;
}

// Lists the candidates of each replica domain. A host that is a candidate for
// several domains is listed once, at its first position.
Router::LookupOrder Router::BuildLookupOrder(
    const PacketContext& context) const {
  LookupOrder order;
  uint32_t domain_bit = 1;
  for (const DomainIndex domain : ReplicaDomainsOf(context)) {
    for (const MemberIndex host : Candidates(context, domain)) {
      const auto known = std::find_if(
          order.begin(), order.end(),
          [host](const LookupStep& step) { return step.host == host; });
      if (known == order.end()) {
        order.push_back({host, domain_bit});
      } else {
        known->domain_mask |= domain_bit;
      }
    }
    domain_bit <<= 1;
  }
  return order;
}

bool Router::WasSearched(const PacketContext& context,
                         DomainIndex domain) const {
  const auto& searched = context.relay.searched;
  return std::find(searched.begin(), searched.end(),
                   m_role.members().DomainTagOf(domain)) != searched.end();
}

// Returns a bit mask of the replica domains of which this host, or one that
// relayed the packet, has all records.
uint32_t Router::SearchedDomainMask(const PacketContext& context) const {
  uint32_t searched = 0;
  uint32_t domain_bit = 1;
  for (const DomainIndex domain : ReplicaDomainsOf(context)) {
    const bool is_searched =
        WasSearched(context, domain) || HasAllRecords(context, domain);
    searched |= is_searched ? domain_bit : 0;
    domain_bit <<= 1;
  }
  return searched;
}

// Adds the domains that the next host need not search to the relay header.
void Router::AddSearchedDomains(const PacketContext& context,
                                RelayHeader* header) const {
  for (const DomainIndex domain : ReplicaDomainsOf(context)) {
    if (WasSearched(context, domain) || !HasAllRecords(context, domain)) {
      continue;
    }
    const auto free_entry =
        std::find(header->searched.begin(), header->searched.end(), 0);
    if (free_entry != header->searched.end()) {
      *free_entry = m_role.members().DomainTagOf(domain);
    }
  }
}

// Whether this host has a record of every flow of the bucket that the domain's
// replica hosts had to record.
bool Router::HasAllRecords(const PacketContext& context,
                           DomainIndex domain) const {
  return m_role.HasAllRecordsSince(context.changes.front().announced_at, domain,
                                   context.slot, context.now);
}

// Returns the newest of the bucket's replica domains for which this host is a
// replica, or else for which it is a candidate.
DomainIndex Router::OwnReplicaDomain(const PacketContext& context) const {
  const ReplicaDomains domains = ReplicaDomainsOf(context);
  for (const DomainIndex domain : domains) {
    if (m_role.IsReplica(domain, context.slot)) {
      return domain;
    }
  }
  for (const DomainIndex domain : domains) {
    if (m_role.IsCandidate(domain, context.slot)) {
      return domain;
    }
  }
  return 0;
}

DomainIndex Router::DomainOfTag(const PacketContext& context,
                                DomainTag tag) const {
  for (const DomainIndex domain : ReplicaDomainsOf(context)) {
    if (m_role.members().DomainTagOf(domain) == tag) {
      return domain;
    }
  }
  return OwnReplicaDomain(context);
}

uint8_t Router::BackupTagOf(int member) const {
  if (member == kNoMember) {
    return 0;
  }
  return static_cast<uint8_t>(
      m_role.members().TagOf(static_cast<MemberIndex>(member)));
}

Decision Router::Forward(const PacketContext& context,
                         UpstreamId upstream,
                         DecisionCause cause) const {
  const PlannedUpstream* planned =
      context.plan.FindUpstreamAt(upstream, context.now);
  if (planned == nullptr) {
    return Drop(DropReason::kNoServingUpstream);
  }
  Decision decision;
  decision.action = Action::kForward;
  decision.cause = cause;
  decision.upstream = planned;
  return decision;
}

Decision Router::ForwardToUnrecordedOwner(const PacketContext& context) const {
  return Forward(context,
                 context.plan.OwnerOfUnrecorded(context.bucket, context.now),
                 DecisionCause::kOldestOwner);
}

Decision Router::Relay(const PacketContext& context,
                       MemberIndex host,
                       RelayPurpose purpose,
                       UpstreamId upstream,
                       FlowPhase phase,
                       DecisionCause cause) const {
  Decision decision;
  decision.action = Action::kRelay;
  decision.cause = cause;
  decision.next_host = host;
  decision.header = {.purpose = purpose,
                     .hops = static_cast<uint8_t>(context.relay.hops + 1),
                     .phase = phase,
                     .generation = context.plan.generation(),
                     .upstream = upstream,
                     .visited = context.relay.visited,
                     .searched = context.relay.searched};
  if (context.relay.hops < kMaxRelayHops) {
    decision.header.visited[context.relay.hops] = m_role.self_tag();
  }
  return decision;
}

// Relays the packet to a host that may have a record or may decide.
Decision Router::RelayToResolve(const PacketContext& context,
                                MemberIndex host) const {
  return Relay(context, host, RelayPurpose::kResolve, kNoUpstream,
               FlowPhase::kOpening, DecisionCause::kAskReplica);
}

Decision Router::RelayRecord(const PacketContext& context,
                             MemberIndex host,
                             DomainIndex domain,
                             const FlowRecord& record,
                             DecisionCause cause) const {
  Decision decision = Relay(context, host, RelayPurpose::kRecord,
                            record.upstream, record.phase, cause);
  decision.header.replica_domain = m_role.members().DomainTagOf(domain);
  return decision;
}

}  // namespace poplarsail::steering
