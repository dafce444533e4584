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
    : m_self(std::move(self)),
      m_flows(flow_capacity),
      m_keeper_since(kKeeperSlots, kNever) {
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
  m_services[key] = {std::move(plan), service_hash};
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

void Router::SetMembers(std::shared_ptr<const KeeperMap> members,
                        TimePoint now) {
  m_members = std::move(members);
  m_self_index = m_members->IndexOf(m_self);
  if (m_self_index < 0) {
    std::fill(m_keeper_since.begin(), m_keeper_since.end(), kNever);
    return;
  }
  m_self_domain = m_members->members()[m_self_index].failure_domain;
  for (uint32_t slot = 0; slot < kKeeperSlots; ++slot) {
    const auto candidates = m_members->Candidates(m_self_domain, slot);
    if (!IsAmongKeepers(candidates, m_self_index)) {
      m_keeper_since[slot] = kNever;
      continue;
    }
    m_keeper_since[slot] = std::min(m_keeper_since[slot], now);
  }
}

void Router::NotePause(TimePoint now) {
  for (TimePoint& since : m_keeper_since) {
    if (since != kNever) {
      since = now;
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
    const auto keepers = KeepersOfNewest(context);
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
  const auto candidates = OwnCandidates(context);
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
  const Path& path = BuildPath(context);
  const auto self = std::find_if(
      path.begin(), path.end(),
      [this](const PathStep& step) { return step.host == m_self_index; });
  const bool starts = context.hops == 0;
  const bool is_next_at_start = !path.empty() && path[0].host == m_self_index;
  if (self == path.end() || (starts && !is_next_at_start)) {
    if (path.empty()) {
      return ForwardToBase(context);
    }
    return Relay(context, path[0].host, RelayPurpose::kResolve, kNoUpstream,
                 false, DecisionCause::kAskKeeper);
  }
  const bool knows_all = KnowsAllFlows(context, self->stage);
  for (auto step = self + 1; step != path.end(); ++step) {
    if (step->host == m_self_index) {
      continue;
    }
    if (knows_all && step->stage == self->stage) {
      continue;
    }
    return Relay(context, step->host, RelayPurpose::kResolve, kNoUpstream,
                 false, DecisionCause::kAskKeeper);
  }
  return ForwardToBase(context);
}

std::span<const MemberIndex> Router::KeepersOf(const Context& context,
                                               UpstreamId upstream) const {
  const PlannedUpstream* planned = context.plan.FindUpstream(upstream);
  static const std::string no_domain;
  return m_members->Candidates(
      planned == nullptr ? no_domain : planned->failure_domain, context.slot);
}

std::span<const MemberIndex> Router::KeepersOfNewest(
    const Context& context) const {
  return KeepersOf(context, context.plan.Links(context.bucket).back().upstream);
}

// The hosts that may hold the flow's record: for each failure domain of the
// links, newest first, its candidates.
const Router::Path& Router::BuildPath(const Context& context) const {
  m_path.clear();
  const auto links = context.plan.Links(context.bucket);
  uint8_t stage = 0;
  for (auto link = links.rbegin(); link != links.rend(); ++link) {
    const auto candidates = KeepersOf(context, link->upstream);
    const bool is_listed =
        candidates.empty() ||
        std::any_of(m_path.begin(), m_path.end(),
                    [&candidates](const PathStep& step) {
                      return step.host == candidates[0] && step.rank == 0;
                    });
    if (is_listed) {
      continue;
    }
    for (size_t rank = 0; rank < candidates.size(); ++rank) {
      m_path.push_back({candidates[rank], stage, static_cast<uint8_t>(rank)});
    }
    ++stage;
  }
  return m_path;
}

// Whether this host recorded each flow of the bucket that the stage's keepers
// had to record.
bool Router::KnowsAllFlows(const Context& context, uint8_t stage) const {
  const auto candidates = std::find_if(
      m_path.begin(), m_path.end(),
      [stage](const PathStep& step) { return step.stage == stage; });
  const bool is_own_domain =
      m_members->members()[candidates->host].failure_domain == m_self_domain;
  const TimePoint since = m_keeper_since[context.slot];
  if (!is_own_domain || since == kNever) {
    return false;
  }
  if (since + kIdleTimeout <= context.now) {
    return true;
  }
  return since + kMembershipSettle <=
         context.plan.Links(context.bucket).front().announced_at;
}

std::span<const MemberIndex> Router::OwnCandidates(
    const Context& context) const {
  return m_members->Candidates(m_self_domain, context.slot);
}

// The best candidate of the own failure domain other than this host.
int Router::OtherKeeper(const Context& context) const {
  for (const MemberIndex candidate : OwnCandidates(context)) {
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
