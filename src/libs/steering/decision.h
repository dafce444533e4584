#ifndef STEERING_DECISION_H_
#define STEERING_DECISION_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "steering/keeper_map.h"
#include "steering/relay_header.h"
#include "steering/service_plan.h"

namespace poplarsail::steering {

enum class Action : uint8_t { kForward, kRelay, kDrop };

enum class DropReason : uint8_t {
  kNone,
  kUnknownService,
  // The service has no upstream that takes new flows.
  kNoServingUpstream,
  // Another host recorded an upstream that this host's plan does not have yet.
  kUnknownUpstream,
  // A flow record was needed and the table had no place.
  kTableFull,
};
inline constexpr size_t kDropReasonCount = 5;

// Why a decision was taken; `explain` and the counters show it.
enum class DecisionCause : uint8_t {
  // The bucket has one owner.
  kStableBucket,
  // A record names the flow's upstream.
  kRecord,
  // Nobody recorded the flow: it began at the bucket's base.
  kBase,
  // A first packet, decided here.
  kFirstPacket,
  // Another host decided and this one stores the second copy.
  kRecordCopy,
  // A keeper further on may know the flow.
  kAskKeeper,
  kDropped,
};
inline constexpr size_t kDecisionCauseCount = 7;

std::string_view ToString(DropReason reason);
std::string_view ToString(DecisionCause cause);

// Where one packet goes.
struct Decision {
  Action action = Action::kDrop;
  DecisionCause cause = DecisionCause::kDropped;
  DropReason drop_reason = DropReason::kNone;
  // The flow's upstream (kForward); valid until the plan is replaced.
  const PlannedUpstream* upstream = nullptr;
  // The entry host that the packet is passed to, with `header` (kRelay).
  MemberIndex next_host = 0;
  RelayHeader header;

  friend bool operator==(const Decision&, const Decision&) = default;
};

}  // namespace poplarsail::steering

#endif  // STEERING_DECISION_H_
