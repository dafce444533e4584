#ifndef SCHEDULING_MESSAGE_CODEC_H_
#define SCHEDULING_MESSAGE_CODEC_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "scheduling/types.h"

namespace poplarsail::scheduling {

inline constexpr uint32_t kSchedulingMessageVersion = 2;
inline constexpr size_t kMaxSchedulingMessageBytes = 1'200;

// A request of the sending host, or one forwarded by another scheduler. Age of
// the first SYN instead of its time, as steady clocks differ.
struct PlaceMessage {
  uint32_t token = 0;
  Ipv4Endpoint listener;
  uint32_t client_address = 0;
  milliseconds syn_age{0};
  std::vector<uint64_t> excluded_upstream_ids;
  // The host that holds the SYN, if the request is forwarded.
  std::optional<Ipv4Endpoint> forwarded_for;

  friend bool operator==(const PlaceMessage&, const PlaceMessage&) = default;
};

struct GrantMessage {
  uint32_t token = 0;
  uint64_t upstream_id = 0;

  friend bool operator==(const GrantMessage&, const GrantMessage&) = default;
};

struct QueuedMessage {
  uint32_t token = 0;

  friend bool operator==(const QueuedMessage&, const QueuedMessage&) = default;
};

struct RefuseMessage {
  uint32_t token = 0;
  RefusalReason reason = RefusalReason::kNoRoom;
  // Set for kUseOther.
  std::optional<Ipv4Endpoint> other;
  // Set in the refusal of a forwarded request, which goes to the scheduler that
  // forwarded it.
  std::optional<Ipv4Endpoint> forwarded_for;

  friend bool operator==(const RefuseMessage&, const RefuseMessage&) = default;
};

struct CompleteMessage {
  std::vector<Completion> completions;

  friend bool operator==(const CompleteMessage&,
                         const CompleteMessage&) = default;
};

struct SnapshotMessage {
  uint32_t part = 0;
  uint32_t part_count = 1;
  std::vector<OpenFlow> flows;

  friend bool operator==(const SnapshotMessage&,
                         const SnapshotMessage&) = default;
};

struct LearnedSpeed {
  uint64_t upstream_id = 0;
  int64_t started_unix_ms = 0;
  double speed = 1;
  double samples = 0;

  friend bool operator==(const LearnedSpeed&, const LearnedSpeed&) = default;
};

struct LearnedWork {
  Ipv4Endpoint listener;
  double mean_ms = 0;
  double median_ms = 0;
  double p95_ms = 0;
  double samples = 0;

  friend bool operator==(const LearnedWork&, const LearnedWork&) = default;
};

struct LearnedMessage {
  std::vector<LearnedSpeed> speeds;
  std::vector<LearnedWork> work;

  friend bool operator==(const LearnedMessage&,
                         const LearnedMessage&) = default;
};

// The scheduler in an announcement is its sender, and not set; it is set in
// one that another host passes on.
using MessageBody = std::variant<PlaceMessage,
                                 GrantMessage,
                                 QueuedMessage,
                                 RefuseMessage,
                                 CompleteMessage,
                                 SnapshotMessage,
                                 Announcement,
                                 LearnedMessage>;

struct SchedulingMessage {
  std::string service;
  MessageBody body;

  friend bool operator==(const SchedulingMessage&,
                         const SchedulingMessage&) = default;
};

// Returns one or more datagrams; lists that do not fit into one are split.
std::vector<std::vector<uint8_t>> EncodeMessage(
    const SchedulingMessage& message);

// Returns nullopt if the datagram is malformed, of another version or type, or
// has figures out of range.
std::optional<SchedulingMessage> DecodeMessage(
    std::span<const uint8_t> datagram);

}  // namespace poplarsail::scheduling

#endif  // SCHEDULING_MESSAGE_CODEC_H_
