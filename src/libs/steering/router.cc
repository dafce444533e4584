#include "steering/router.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace poplarsail::steering {

namespace {

// A packet that is not the first shows that the flow is open.
FlowPhase PhaseAfter(FlowPhase phase, const PacketSummary& packet) {
  if (!packet.is_connection_oriented) {
    return FlowPhase::kUnmarked;
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

Router::ServiceKey Router::KeyOf(const ServicePlan& plan) {
  return {
      ToAddressBytes(plan.address().address), plan.address().port,
      plan.protocol() == model::Protocol::kTcp ? kProtocolTcp : kProtocolUdp};
}

bool Router::SetPlan(ServicePlanPtr plan) {
  const ServicePlanPtr present = FindPlan(plan->service());
  if (present != nullptr && present->generation() >= plan->generation()) {
    return false;
  }
  if (present != nullptr && KeyOf(*present) != KeyOf(*plan)) {
    RemoveService(plan->service());
  }
  const std::string& name = plan->service();
  const uint64_t service_hash = XXH3_64bits(name.data(), name.size());
  const ServiceKey key = KeyOf(*plan);
  Entry entry{plan, service_hash, {}};
  AssignGroups(&entry);
  m_keys_by_name[name] = key;
  m_services[key] = std::move(entry);
  return true;
}

void Router::RemoveService(const std::string& service) {
  const auto found = m_keys_by_name.find(service);
  if (found == m_keys_by_name.end()) {
    return;
  }
  // Another service may have taken the address over.
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

void Router::AssignGroups(Entry* entry) const {
  entry->link_groups.clear();
  for (const BucketLink& link : entry->plan->AllLinks()) {
    const PlannedUpstream* upstream = entry->plan->FindUpstream(link.upstream);
    entry->link_groups.push_back(
        upstream == nullptr
            ? GroupIndex{0}
            : m_role.members().GroupOf(upstream->failure_domain));
  }
}

void Router::SetMembers(std::shared_ptr<const ReplicaMap> members,
                        TimePoint now) {
  m_role.SetMembers(std::move(members), now);
  for (auto& [key, entry] : m_services) {
    AssignGroups(&entry);
  }
}

void Router::HandleProcessPause(TimePoint now) {
  m_role.ForgetHistory(now);
}

Router::Context Router::MakeContext(const Entry& entry,
                                    const PacketSummary& packet,
                                    const RelayHeader* relay,
                                    TimePoint now) const {
  const ServicePlan& plan = *entry.plan;
  static const RelayHeader from_fabric;
  const uint64_t hash = HashFlow(packet.key, plan.hash_seed());
  const uint32_t bucket = plan.BucketOf(hash);
  return {.plan = plan,
          .links = plan.OwnerChanges(bucket),
          .link_groups = entry.link_groups.data() + plan.FirstLink(bucket),
          .packet = packet,
          .hash = hash,
          .bucket = bucket,
          .slot = ReplicaMap::SlotOf(entry.service_hash, bucket),
          .relay = relay == nullptr ? from_fabric : *relay,
          .now = now};
}

const Router::Entry* Router::FindService(const PacketSummary& packet) const {
  const auto found =
      m_services.find({packet.key.destination, packet.key.destination_port,
                       packet.key.protocol});
  return found == m_services.end() ? nullptr : &found->second;
}

Decision Router::Decide(const PacketSummary& packet,
                        const RelayHeader* relay,
                        TimePoint now) {
  const Entry* entry = FindService(packet);
  if (entry == nullptr) {
    return Drop(DropReason::kUnknownService);
  }
  const Context context = MakeContext(*entry, packet, relay, now);
  if (relay != nullptr && relay->purpose == RelayPurpose::kRecord) {
    return StoreCopy(context, *relay);
  }
  if (context.links.empty()) {
    return Forward(context, context.plan.OldestOwner(context.bucket),
                   DecisionCause::kStableBucket);
  }
  return DecideInTransition(context);
}

Decision Router::Explain(const PacketSummary& packet, TimePoint now) const {
  const Entry* entry = FindService(packet);
  if (entry == nullptr) {
    return Drop(DropReason::kUnknownService);
  }
  const Context context = MakeContext(*entry, packet, nullptr, now);
  if (context.links.empty()) {
    return Forward(context, context.plan.OldestOwner(context.bucket),
                   DecisionCause::kStableBucket);
  }
  if (const auto found_record = FindRecord(context)) {
    return Forward(context, found_record->record.upstream,
                   DecisionCause::kRecord);
  }
  return AskOnward(context).value_or(ForwardToBase(context));
}

Decision Router::DecideInTransition(const Context& context) {
  if (context.packet.opens_flow) {
    return DecideFirst(context);
  }
  if (const auto found = FindRecord(context)) {
    return ForwardRecorded(context, *found);
  }
  if (const auto decision = AskOnward(context)) {
    return *decision;
  }
  return context.packet.is_connection_oriented ? ForwardToBase(context)
                                    : DecideUnmarked(context);
}

std::optional<FoundRecord> Router::FindRecord(const Context& context) const {
  const auto found = m_flows.Find(context.hash, context.now);
  if (!found || context.plan.FindPresent(found->record.upstream, context.now) ==
                    nullptr) {
    return std::nullopt;
  }
  return found;
}

// A keeper that knows all flows of the bucket decides. While none does, the
// packet passes all candidates, since one may know it as a repeat.
Decision Router::DecideFirst(const Context& context) {
  const GroupIndex group = DecidingGroup(context);
  const auto known = FindRecord(context);
  if (known && known->record.phase == FlowPhase::kOpening) {
    return RecordAndPassOn(context, GroupOfSelf(context),
                           known->record.upstream, FlowPhase::kOpening);
  }
  const auto candidates = Candidates(context, group);
  const bool is_keeper = m_role.IsKeeper(group, context.slot);
  const bool may_decide = is_keeper && KnowsAllFlows(context, group);
  const bool may_pass_on = context.relay.hops < kMaxRelayHops;
  if (const auto previous = PreviousDecider(context);
      previous && may_decide && may_pass_on) {
    return Ask(context, *previous);
  }
  if (!may_decide && may_pass_on) {
    for (const MemberIndex candidate : candidates) {
      if (candidate == m_role.self_index() || WasVisited(context, candidate)) {
        continue;
      }
      return Ask(context, candidate);
    }
  }
  const UpstreamId upstream =
      context.plan.OwnerOfNewFlows(context.bucket, context.now);
  if (upstream == kNoUpstream) {
    return Drop(DropReason::kNoServingUpstream);
  }
  return RecordNew(context, upstream, FlowPhase::kOpening);
}

// Nobody recorded the flow of a packet without marks: it may be old or new.
Decision Router::DecideUnmarked(const Context& context) {
  const UpstreamId upstream = OwnerOfUnmarked(context);
  if (upstream == kNoUpstream) {
    return Drop(DropReason::kNoServingUpstream);
  }
  return RecordNew(context, upstream, FlowPhase::kUnmarked);
}

// While a change is announced, flows that send are recorded at their old owner.
// Then an unrecorded packet counts as new: at once where the owner before
// drains, after a quiet time where the bucket moved for balance.
UpstreamId Router::OwnerOfUnmarked(const Context& context) const {
  const size_t deciding = DecidingLink(context);
  const UpstreamId before = deciding == 0
                                ? context.plan.OldestOwner(context.bucket)
                                : context.links[deciding - 1].upstream;
  const PlannedUpstream* planned =
      context.plan.FindPresent(before, context.now);
  const bool moved_for_balance = planned != nullptr && planned->weight > 0;
  const bool is_quiet_time =
      context.now < context.links[deciding].active_from + kUnmarkedQuiet;
  if (moved_for_balance && is_quiet_time) {
    return before;
  }
  return context.plan.OwnerOfNewFlows(context.bucket, context.now);
}

// Records a flow that began here at the keepers of the deciding link.
Decision Router::RecordNew(const Context& context,
                           UpstreamId upstream,
                           FlowPhase phase) {
  const GroupIndex group = DecidingGroup(context);
  const auto candidates = Candidates(context, group);
  if (candidates.empty() || m_role.IsKeeper(group, context.slot)) {
    return RecordAndPassOn(context, group, upstream, phase);
  }
  return RelayRecord(context, candidates[0], group,
                     {context.hash, upstream, phase, 0},
                     DecisionCause::kFirstPacket);
}

// Stores the record here and, by passing the packet on, at the group's other
// keeper.
Decision Router::RecordAndPassOn(const Context& context,
                                 GroupIndex group,
                                 UpstreamId upstream,
                                 FlowPhase phase) {
  const int other = m_role.OtherKeeper(group, context.slot);
  const FlowRecord record{context.hash, upstream, phase, TagOf(other)};
  const InsertResult result =
      m_flows.Insert(record, context.now + LifetimeOf(phase), context.now);
  const bool is_opening =
      phase == FlowPhase::kOpening || phase == FlowPhase::kUnmarked;
  if (result == InsertResult::kFull && is_opening) {
    return ForwardUnrecorded(context);
  }
  const DecisionCause cause =
      is_opening ? DecisionCause::kFirstPacket : DecisionCause::kRecord;
  if (other == kNobody || context.relay.hops >= kMaxRelayHops) {
    return Forward(context, upstream, cause);
  }
  Decision decision = RelayRecord(context, static_cast<MemberIndex>(other),
                                  group, record, cause);
  decision.header.sender_keeps_copy = true;
  return decision;
}

// A first packet without a place for its record: only the owner of unrecorded
// flows is safe, where it takes new flows.
Decision Router::ForwardUnrecorded(const Context& context) const {
  const UpstreamId owner =
      context.plan.OwnerOfUnrecorded(context.bucket, context.now);
  const PlannedUpstream* planned = context.plan.FindUpstream(owner);
  if (planned == nullptr || planned->weight == 0) {
    return Drop(DropReason::kTableFull);
  }
  return Forward(context, owner, DecisionCause::kBase);
}

Decision Router::StoreCopy(const Context& context, const RelayHeader& header) {
  if (context.plan.FindUpstream(header.upstream) == nullptr) {
    return Drop(DropReason::kUnknownUpstream);
  }
  const GroupIndex group = GroupOfTag(context, header.keeper_domain);
  if (!header.sender_keeps_copy) {
    // The sender is no keeper: the other keeper needs the record, too.
    return RecordAndPassOn(context, group, header.upstream, header.phase);
  }
  const FlowRecord record{context.hash, header.upstream, header.phase,
                          TagOf(m_role.OtherKeeper(group, context.slot))};
  m_flows.Insert(record, context.now + LifetimeOf(header.phase), context.now);
  return Forward(context, header.upstream, DecisionCause::kRecordCopy);
}

Decision Router::ForwardRecorded(const Context& context,
                                 const FoundRecord& found) {
  const FlowRecord& record = found.record;
  const GroupIndex group = GroupOfSelf(context);
  const FlowPhase phase = PhaseAfter(record.phase, context.packet);
  const auto lifetime = LifetimeOf(phase);
  const bool is_fresh = phase == record.phase &&
                        found.deadline > context.now + lifetime - lifetime / 4;
  const bool has_backup =
      record.backup_tag == TagOf(m_role.OtherKeeper(group, context.slot));
  if ((is_fresh && has_backup) || context.relay.hops >= kMaxRelayHops) {
    return Forward(context, record.upstream, DecisionCause::kRecord);
  }
  const auto candidates = Candidates(context, group);
  if (candidates.empty() || m_role.IsKeeper(group, context.slot)) {
    // Renews this record and the other copy by passing the packet through.
    return RecordAndPassOn(context, group, record.upstream, phase);
  }
  // A keeper lacks this record: passes it on with the packet.
  return RelayRecord(context, candidates[0], group,
                     {context.hash, record.upstream, phase, 0},
                     DecisionCause::kRecord);
}

// No record here: asks the next host that may have one.
std::optional<Decision> Router::AskOnward(const Context& context) const {
  if (context.relay.hops >= kMaxRelayHops) {
    return std::nullopt;
  }
  const uint32_t searched = SearchedStages(context);
  for (const PathStep& step : BuildPath(context)) {
    const bool may_know_more = (step.stage_mask & ~searched) != 0;
    if (step.host == m_role.self_index() || !may_know_more ||
        WasVisited(context, step.host)) {
      continue;
    }
    Decision decision = Ask(context, step.host);
    NoteSearched(context, &decision.header);
    return decision;
  }
  return std::nullopt;
}

bool Router::WasVisited(const Context& context, MemberIndex host) const {
  const auto& visited = context.relay.visited;
  return std::find(visited.begin(), visited.end(),
                   m_role.members().TagOf(host)) != visited.end();
}

// The link whose keepers decide on first packets: the newest that is active.
// Where none is, the bucket's base takes new flows, and the first link's
// keepers record them for repeats that come after its activation.
size_t Router::DecidingLink(const Context& context) const {
  size_t index = 0;
  while (index + 1 < context.links.size() &&
         context.links[index + 1].active_from <= context.now) {
    ++index;
  }
  return index;
}

GroupIndex Router::DecidingGroup(const Context& context) const {
  return context.link_groups[DecidingLink(context)];
}

// A keeper that decided until a short while ago and was not asked yet: the
// packet may repeat one that it recorded.
std::optional<MemberIndex> Router::PreviousDecider(
    const Context& context) const {
  const size_t deciding = DecidingLink(context);
  const bool is_settled =
      context.links[deciding].active_from + kFirstPacketRepeat <= context.now;
  if (is_settled || deciding == 0) {
    return std::nullopt;
  }
  const auto keepers = Candidates(context, context.link_groups[deciding - 1]);
  const bool is_other = !keepers.empty() && keepers[0] != m_role.self_index() &&
                        !WasVisited(context, keepers[0]);
  return is_other ? std::optional(keepers[0]) : std::nullopt;
}

Router::Stages Router::StagesOf(const Context& context) const {
  Stages stages;
  for (size_t i = context.links.size(); i > 0; --i) {
    if (context.links[i - 1].upstream == kNoUpstream) {
      continue;
    }
    const GroupIndex group = context.link_groups[i - 1];
    if (std::find(stages.begin(), stages.end(), group) == stages.end()) {
      stages.push_back(group);
    }
  }
  return stages;
}

// For each stage its candidates; a host stands where it is met first.
Router::Path Router::BuildPath(const Context& context) const {
  Path path;
  uint32_t stage_bit = 1;
  for (const GroupIndex group : StagesOf(context)) {
    for (const MemberIndex host : Candidates(context, group)) {
      const auto known = std::find_if(
          path.begin(), path.end(),
          [host](const PathStep& step) { return step.host == host; });
      if (known == path.end()) {
        path.push_back({host, stage_bit});
      } else {
        known->stage_mask |= stage_bit;
      }
    }
    stage_bit <<= 1;
  }
  return path;
}

bool Router::WasSearched(const Context& context, GroupIndex group) const {
  const auto& searched = context.relay.searched;
  return std::find(searched.begin(), searched.end(),
                   m_role.members().DomainTagOf(group)) != searched.end();
}

// The stages of which this host, or one before it, knows every flow.
uint32_t Router::SearchedStages(const Context& context) const {
  uint32_t searched = 0;
  uint32_t stage_bit = 1;
  for (const GroupIndex group : StagesOf(context)) {
    const bool is_done =
        WasSearched(context, group) || KnowsAllFlows(context, group);
    searched |= is_done ? stage_bit : 0;
    stage_bit <<= 1;
  }
  return searched;
}

// Tells the next host which domains need not be searched again.
void Router::NoteSearched(const Context& context, RelayHeader* header) const {
  for (const GroupIndex group : StagesOf(context)) {
    if (WasSearched(context, group) || !KnowsAllFlows(context, group)) {
      continue;
    }
    const auto free_place =
        std::find(header->searched.begin(), header->searched.end(), 0);
    if (free_place != header->searched.end()) {
      *free_place = m_role.members().DomainTagOf(group);
    }
  }
}

// Whether this host recorded each flow of the bucket that the group's keepers
// had to record.
bool Router::KnowsAllFlows(const Context& context, GroupIndex group) const {
  return m_role.KnowsAllFlowsSince(context.links.front().announced_at, group,
                                   context.slot, context.now);
}

// The newest of the bucket's groups in which this host is a keeper, else in
// which it is a candidate.
GroupIndex Router::GroupOfSelf(const Context& context) const {
  const Stages stages = StagesOf(context);
  for (const GroupIndex group : stages) {
    if (m_role.IsKeeper(group, context.slot)) {
      return group;
    }
  }
  for (const GroupIndex group : stages) {
    if (m_role.IsCandidate(group, context.slot)) {
      return group;
    }
  }
  return 0;
}

GroupIndex Router::GroupOfTag(const Context& context, DomainTag tag) const {
  for (const GroupIndex group : StagesOf(context)) {
    if (m_role.members().DomainTagOf(group) == tag) {
      return group;
    }
  }
  return GroupOfSelf(context);
}

uint8_t Router::TagOf(int member) const {
  if (member == kNobody) {
    return 0;
  }
  return static_cast<uint8_t>(
      m_role.members().TagOf(static_cast<MemberIndex>(member)));
}

Decision Router::Forward(const Context& context,
                         UpstreamId upstream,
                         DecisionCause cause) const {
  const PlannedUpstream* planned =
      context.plan.FindPresent(upstream, context.now);
  if (planned == nullptr) {
    return Drop(DropReason::kNoServingUpstream);
  }
  Decision decision;
  decision.action = Action::kForward;
  decision.cause = cause;
  decision.upstream = planned;
  return decision;
}

Decision Router::ForwardToBase(const Context& context) const {
  return Forward(context,
                 context.plan.OwnerOfUnrecorded(context.bucket, context.now),
                 DecisionCause::kBase);
}

Decision Router::Relay(const Context& context,
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

// Passes the packet to a host that may have a record or may decide.
Decision Router::Ask(const Context& context, MemberIndex host) const {
  return Relay(context, host, RelayPurpose::kResolve, kNoUpstream,
               FlowPhase::kOpening, DecisionCause::kAskKeeper);
}

Decision Router::RelayRecord(const Context& context,
                             MemberIndex host,
                             GroupIndex group,
                             const FlowRecord& record,
                             DecisionCause cause) const {
  Decision decision = Relay(context, host, RelayPurpose::kRecord,
                            record.upstream, record.phase, cause);
  decision.header.keeper_domain = m_role.members().DomainTagOf(group);
  return decision;
}

}  // namespace poplarsail::steering
