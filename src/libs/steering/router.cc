#include "steering/router.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace poplarsail::steering {

namespace {

constexpr TimePoint kNever = TimePoint::max();
// In place of a member's index.
constexpr int kNobody = -1;

bool IsAmongKeepers(std::span<const MemberIndex> candidates, int member) {
  const size_t copies = std::min(candidates.size(), kKeeperCopies);
  const auto keepers = candidates.first(copies);
  return std::find(keepers.begin(), keepers.end(), member) != keepers.end();
}

Decision Drop(DropReason reason) {
  Decision decision;
  decision.drop_reason = reason;
  return decision;
}

}  // namespace

std::string_view ToString(DropReason reason) {
  switch (reason) {
    case DropReason::kNone:
      return "none";
    case DropReason::kUnknownService:
      return "unknown_service";
    case DropReason::kNoServingUpstream:
      return "no_upstream";
    case DropReason::kUnknownUpstream:
      return "unknown_upstream";
    case DropReason::kTableFull:
      return "table_full";
  }
  return "unknown";
}

std::string_view ToString(DecisionCause cause) {
  switch (cause) {
    case DecisionCause::kStableBucket:
      return "stable_bucket";
    case DecisionCause::kRecord:
      return "record";
    case DecisionCause::kBase:
      return "base";
    case DecisionCause::kFirstPacket:
      return "first_packet";
    case DecisionCause::kRecordCopy:
      return "record_copy";
    case DecisionCause::kAskKeeper:
      return "ask_keeper";
    case DecisionCause::kDropped:
      return "dropped";
  }
  return "unknown";
}

size_t Router::ServiceKeyHash::operator()(const ServiceKey& key) const {
  std::array<uint8_t, 19> packed;
  std::copy(key.address.begin(), key.address.end(), packed.begin());
  packed[16] = static_cast<uint8_t>(key.port >> 8);
  packed[17] = static_cast<uint8_t>(key.port);
  packed[18] = key.protocol;
  return XXH3_64bits(packed.data(), packed.size());
}

Router::Router(std::string self, size_t flow_capacity, TimePoint started_at)
    : m_self(std::move(self)), m_flows(flow_capacity) {
  SetMembers(std::make_shared<KeeperMap>(std::vector<Member>{}), started_at);
}

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
  RemoveService(plan->service());
  const std::string& name = plan->service();
  const uint64_t service_hash = XXH3_64bits(name.data(), name.size());
  m_missed_generation = 0;
  const ServiceKey key = KeyOf(*plan);
  Entry entry{std::move(plan), service_hash, {}};
  AssignGroups(&entry);
  m_services[key] = std::move(entry);
  return true;
}

void Router::RemoveService(const std::string& service) {
  std::erase_if(m_services, [&service](const auto& item) {
    return item.second.plan->service() == service;
  });
}

ServicePlanPtr Router::FindPlan(const std::string& service) const {
  for (const auto& [key, entry] : m_services) {
    if (entry.plan->service() == service) {
      return entry.plan;
    }
  }
  return nullptr;
}

void Router::AssignGroups(Entry* entry) const {
  entry->groups.clear();
  for (const PlannedUpstream& upstream : entry->plan->upstreams()) {
    entry->groups.push_back(m_members->GroupOf(upstream.failure_domain));
  }
}

void Router::SetMembers(std::shared_ptr<const KeeperMap> members,
                        TimePoint now) {
  const std::shared_ptr<const KeeperMap> previous = std::move(m_members);
  m_members = std::move(members);
  m_self_index = m_members->IndexOf(m_self);
  std::vector<std::vector<TimePoint>> keeper_since;
  for (size_t group = 0; group < m_members->group_count(); ++group) {
    keeper_since.push_back(
        KeeperTimes(static_cast<GroupIndex>(group), previous.get(), now));
  }
  m_keeper_since = std::move(keeper_since);
  for (auto& [key, entry] : m_services) {
    AssignGroups(&entry);
  }
}

// Since when this host keeps each slot of a group, carried over from the
// previous members.
std::vector<TimePoint> Router::KeeperTimes(GroupIndex group,
                                           const KeeperMap* previous,
                                           TimePoint now) const {
  std::vector<TimePoint> times(kKeeperSlots, kNever);
  if (previous != nullptr) {
    const std::string& domain = m_members->DomainOf(group);
    const GroupIndex old_group = previous->GroupOf(domain);
    if (previous->DomainOf(old_group) == domain) {
      times = m_keeper_since[old_group];
    }
  }
  for (uint32_t slot = 0; slot < kKeeperSlots; ++slot) {
    const auto candidates = m_members->Candidates(group, slot);
    times[slot] = IsAmongKeepers(candidates, m_self_index)
                      ? std::min(times[slot], now)
                      : kNever;
  }
  return times;
}

void Router::NotePause(TimePoint now) {
  for (std::vector<TimePoint>& times : m_keeper_since) {
    for (TimePoint& since : times) {
      since = since == kNever ? kNever : now;
    }
  }
}

Router::Context Router::MakeContext(const Entry& entry,
                                    const PacketSummary& packet,
                                    const RelayHeader* relay,
                                    TimePoint now) const {
  const ServicePlan& plan = *entry.plan;
  const uint64_t hash = HashFlow(packet.key, plan.hash_seed());
  const uint32_t bucket = plan.BucketOf(hash);
  return {.plan = plan,
          .groups = entry.groups,
          .packet = packet,
          .hash = hash,
          .bucket = bucket,
          .slot = KeeperMap::SlotOf(entry.service_hash, bucket),
          .hops = relay == nullptr ? uint8_t{0} : relay->hops,
          .now = now};
}

Decision Router::Decide(const PacketSummary& packet,
                        const RelayHeader* relay,
                        TimePoint now) {
  const auto found =
      m_services.find({packet.key.destination, packet.key.destination_port,
                       packet.key.protocol});
  if (found == m_services.end()) {
    return Drop(DropReason::kUnknownService);
  }
  const Entry& entry = found->second;
  NoteGeneration(*entry.plan, relay);
  const Context context = MakeContext(entry, packet, relay, now);
  if (relay != nullptr && relay->purpose == RelayPurpose::kRecord) {
    return StoreCopy(context, *relay);
  }
  if (entry.plan->Links(context.bucket).empty()) {
    return Forward(context, entry.plan->Base(context.bucket),
                   DecisionCause::kStableBucket);
  }
  return DecideInTransition(context, relay);
}

Decision Router::Explain(const PacketSummary& packet, TimePoint now) const {
  const auto found =
      m_services.find({packet.key.destination, packet.key.destination_port,
                       packet.key.protocol});
  if (found == m_services.end()) {
    return Drop(DropReason::kUnknownService);
  }
  const Context context = MakeContext(found->second, packet, nullptr, now);
  if (context.plan.Links(context.bucket).empty()) {
    return Forward(context, context.plan.Base(context.bucket),
                   DecisionCause::kStableBucket);
  }
  if (const auto record = FindRecord(context)) {
    return Forward(context, record->upstream, DecisionCause::kRecord);
  }
  return AskOnward(context);
}

void Router::NoteGeneration(const ServicePlan& plan, const RelayHeader* relay) {
  if (relay != nullptr && relay->generation > plan.generation()) {
    m_missed_generation = std::max(m_missed_generation, relay->generation);
  }
}

Decision Router::DecideInTransition(const Context& context,
                                    const RelayHeader* relay) {
  if (context.packet.is_first) {
    const auto keepers = Candidates(context, NewestGroup(context));
    const bool asked = relay != nullptr;
    const bool decides = keepers.empty() || keepers[0] == m_self_index ||
                         (asked && IsAmongKeepers(keepers, m_self_index)) ||
                         context.hops >= kMaxRelayHops;
    if (decides) {
      return DecideFirst(context);
    }
    return Relay(context, keepers[0], RelayPurpose::kResolve, kNoUpstream,
                 false, DecisionCause::kAskKeeper);
  }
  if (const auto record = FindRecord(context)) {
    return ForwardRecorded(context, *record);
  }
  return AskOnward(context);
}

std::optional<FlowRecord> Router::FindRecord(const Context& context) const {
  const auto record = m_flows.Find(context.hash, context.now);
  if (!record || context.plan.FindUpstream(record->upstream) == nullptr) {
    return std::nullopt;
  }
  return record;
}

Decision Router::DecideFirst(const Context& context) {
  const auto known = FindRecord(context);
  const bool is_repeat = known && !known->is_established;
  UpstreamId upstream =
      is_repeat ? known->upstream
                : context.plan.OwnerOfNewFlows(context.bucket, context.now);
  if (upstream == kNoUpstream) {
    return Drop(DropReason::kNoServingUpstream);
  }
  return RecordAndPassOn(context, upstream, false);
}

// Stores the record here and, by passing the packet on, at the other keeper.
Decision Router::RecordAndPassOn(const Context& context,
                                 UpstreamId upstream,
                                 bool is_established) {
  const int other = OtherKeeper(context);
  const FlowRecord record{context.hash, upstream, is_established, TagOf(other)};
  const auto lifetime = is_established ? kIdleTimeout : kHalfOpenTimeout;
  const InsertResult result =
      m_flows.Insert(record, context.now + lifetime, context.now);
  if (result == InsertResult::kFull && !is_established) {
    // Without a record only the base is safe: unrecorded packets go there.
    const UpstreamId base = context.plan.Base(context.bucket);
    const PlannedUpstream* planned = context.plan.FindUpstream(base);
    if (planned == nullptr || planned->weight == 0) {
      return Drop(DropReason::kTableFull);
    }
    return Forward(context, base, DecisionCause::kBase);
  }
  const DecisionCause cause =
      is_established ? DecisionCause::kRecord : DecisionCause::kFirstPacket;
  if (other == kNobody) {
    return Forward(context, upstream, cause);
  }
  Decision decision =
      Relay(context, static_cast<MemberIndex>(other), RelayPurpose::kRecord,
            upstream, is_established, cause);
  decision.header.sender_keeps_copy = true;
  return decision;
}

Decision Router::StoreCopy(const Context& context, const RelayHeader& header) {
  if (context.plan.FindUpstream(header.upstream) == nullptr) {
    return Drop(DropReason::kUnknownUpstream);
  }
  const int holder = header.sender_keeps_copy ? OtherKeeper(context) : kNobody;
  const FlowRecord record{context.hash, header.upstream, header.is_established,
                          TagOf(holder)};
  const auto lifetime = header.is_established ? kIdleTimeout : kHalfOpenTimeout;
  m_flows.Insert(record, context.now + lifetime, context.now);
  return Forward(context, header.upstream, DecisionCause::kRecordCopy);
}

Decision Router::ForwardRecorded(const Context& context,
                                 const FlowRecord& record) {
  const auto deadline = m_flows.Deadline(context.hash, context.now);
  const bool is_fresh =
      record.is_established && deadline &&
      *deadline > context.now + kIdleTimeout - kIdleTimeout / 4;
  const bool has_backup = record.backup_tag == TagOf(OtherKeeper(context));
  if ((is_fresh && has_backup) || context.hops >= kMaxRelayHops) {
    return Forward(context, record.upstream, DecisionCause::kRecord);
  }
  const auto candidates = Candidates(context, GroupOfSelf(context));
  if (candidates.empty() || IsAmongKeepers(candidates, m_self_index)) {
    // Renews this record and the other copy by passing the packet through.
    return RecordAndPassOn(context, record.upstream, true);
  }
  // A keeper lacks this record: passes it on with the packet.
  return Relay(context, candidates[0], RelayPurpose::kRecord, record.upstream,
               true, DecisionCause::kRecord);
}

// No record here: asks the next host that may have one.
Decision Router::AskOnward(const Context& context) const {
  if (context.hops >= kMaxRelayHops) {
    return ForwardToBase(context);
  }
  const Path path = BuildPath(context);
  const auto self = std::find_if(
      path.begin(), path.end(),
      [this](const PathStep& step) { return step.host == m_self_index; });
  const bool starts_here = context.hops == 0 && self != path.begin();
  auto next = path.begin();
  if (self != path.end() && !starts_here) {
    next = self + 1;
  }
  const uint32_t known_stages = KnownStages(context);
  for (; next != path.end(); ++next) {
    const bool may_know_more = (next->stage_mask & ~known_stages) != 0;
    if (next->host == m_self_index || !may_know_more) {
      continue;
    }
    return Relay(context, next->host, RelayPurpose::kResolve, kNoUpstream,
                 false, DecisionCause::kAskKeeper);
  }
  return ForwardToBase(context);
}

GroupIndex Router::GroupOf(const Context& context, UpstreamId upstream) const {
  const PlannedUpstream* planned = context.plan.FindUpstream(upstream);
  if (planned == nullptr) {
    return 0;
  }
  return context.groups[planned - context.plan.upstreams().data()];
}

GroupIndex Router::NewestGroup(const Context& context) const {
  return GroupOf(context, context.plan.Links(context.bucket).back().upstream);
}

Router::Stages Router::StagesOf(const Context& context) const {
  Stages stages;
  const auto links = context.plan.Links(context.bucket);
  for (auto link = links.rbegin(); link != links.rend(); ++link) {
    const GroupIndex group = GroupOf(context, link->upstream);
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

// The stages of which this host recorded every flow.
uint32_t Router::KnownStages(const Context& context) const {
  uint32_t known = 0;
  uint32_t stage_bit = 1;
  for (const GroupIndex group : StagesOf(context)) {
    known |= KnowsAllFlows(context, group) ? stage_bit : 0;
    stage_bit <<= 1;
  }
  return known;
}

// Whether this host recorded each flow of the bucket that the group's keepers
// had to record.
bool Router::KnowsAllFlows(const Context& context, GroupIndex group) const {
  const TimePoint since = m_keeper_since[group][context.slot];
  if (since == kNever) {
    return false;
  }
  if (since + kIdleTimeout <= context.now) {
    return true;
  }
  return since + kMembershipSettle <=
         context.plan.Links(context.bucket).front().announced_at;
}

// The newest of the bucket's groups in which this host is a candidate.
GroupIndex Router::GroupOfSelf(const Context& context) const {
  for (const GroupIndex group : StagesOf(context)) {
    const auto candidates = Candidates(context, group);
    if (std::find(candidates.begin(), candidates.end(), m_self_index) !=
        candidates.end()) {
      return group;
    }
  }
  return NewestGroup(context);
}

// The best keeper of that group other than this host.
int Router::OtherKeeper(const Context& context) const {
  if (context.plan.Links(context.bucket).empty()) {
    return kNobody;
  }
  for (const MemberIndex candidate :
       Candidates(context, GroupOfSelf(context))) {
    if (candidate != m_self_index) {
      return candidate;
    }
  }
  return kNobody;
}

uint8_t Router::TagOf(int member) const {
  if (member == kNobody) {
    return 0;
  }
  const std::string& name = m_members->members()[member].name;
  return static_cast<uint8_t>(XXH3_64bits(name.data(), name.size()) | 1);
}

Decision Router::Forward(const Context& context,
                         UpstreamId upstream,
                         DecisionCause cause) const {
  const PlannedUpstream* planned = context.plan.FindUpstream(upstream);
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
  return Forward(context, context.plan.Base(context.bucket),
                 DecisionCause::kBase);
}

Decision Router::Relay(const Context& context,
                       MemberIndex host,
                       RelayPurpose purpose,
                       UpstreamId upstream,
                       bool is_established,
                       DecisionCause cause) const {
  Decision decision;
  decision.action = Action::kRelay;
  decision.cause = cause;
  decision.next_host = host;
  decision.header = {.purpose = purpose,
                     .hops = static_cast<uint8_t>(context.hops + 1),
                     .is_established = is_established,
                     .generation = context.plan.generation(),
                     .upstream = upstream};
  return decision;
}

}  // namespace poplarsail::steering
