#ifndef STEERING_DECISION_H_
#define STEERING_DECISION_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "steering/relay_header.h"
#include "steering/replica_map.h"
#include "steering/service_plan.h"

namespace poplarsail::steering {

enum class Action : uint8_t { kForward, kRelay, kDrop };

enum class DropReason : uint8_t {
  kNone,
  kUnknownService,
  // The service has no upstream that accepts new flows, or the flow's upstream
  // has left.
  kNoServingUpstream,
  // Another host recorded an upstream that is missing from this host's plan.
  kUnknownUpstream,
  // A flow record was required, but the flow table had no free entry for it.
  kTableFull,
};
inline constexpr size_t kDropReasonCount = 5;

// Reason for a decision, shown by `explain` and in the counters.
enum class DecisionCause : uint8_t {
  // The bucket has one owner.
  kStableBucket,
  // The flow's upstream was taken from its flow record.
  kRecord,
  // No host has a record of the flow, so it belongs to the oldest owner of the
  // bucket that has not left. Written out as "base".
  kOldestOwner,
  // The first packet of a flow, decided on this host.
  kFirstPacket,
  // Another host decided, and this host stores the second copy of the record.
  kRecordCopy,
  // The packet is relayed to a host that may have a record of the flow. Written
  // out as "ask_keeper".
  kAskReplica,
  kDropped,
};
inline constexpr size_t kDecisionCauseCount = 7;

std::string_view ToString(DropReason reason);
std::string_view ToString(DecisionCause cause);

// What to do with one packet.
struct Decision {
  Action action = Action::kDrop;
  DecisionCause cause = DecisionCause::kDropped;
  DropReason drop_reason = DropReason::kNone;
  // The upstream to forward to (kForward). Valid until the plan is replaced.
  const PlannedUpstream* upstream = nullptr;
  // The entry host to relay the packet to, with `header` prepended (kRelay).
  MemberIndex next_host = 0;
  RelayHeader header;

  friend bool operator==(const Decision&, const Decision&) = default;
};

}  // namespace poplarsail::steering

#endif  // STEERING_DECISION_H_
