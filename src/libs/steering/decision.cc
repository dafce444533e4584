#include "steering/decision.h"

namespace poplarsail::steering {

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
    case DecisionCause::kOldestOwner:
      return "base";
    case DecisionCause::kFirstPacket:
      return "first_packet";
    case DecisionCause::kRecordCopy:
      return "record_copy";
    case DecisionCause::kAskReplica:
      return "ask_keeper";
    case DecisionCause::kDropped:
      return "dropped";
  }
  return "unknown";
}

}  // namespace poplarsail::steering
