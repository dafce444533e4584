#ifndef FLOWS_PENDING_RESPONSES_H_
#define FLOWS_PENDING_RESPONSES_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

#include "flows/flow_packet.h"
#include "flows/liveness.h"

namespace poplarsail::flows {

// The answer to an opening packet comes within a round trip: 15 ms between the
// farthest failure domains, and as much again for a busy host.
inline constexpr milliseconds kOpeningAnswerTime{50};
// The first packet of an answer to a request; 99 of 100 requests take less time
// (work of 20 ms, 120 ms at the most).
inline constexpr milliseconds kRequestAnswerTime{100};
// Answers that are looked after at the same time; further ones are not.
inline constexpr size_t kMaxExpectations = 4'096;
// Due answers are looked after this often at the most.
inline constexpr milliseconds kResponseTimeoutInterval{10};
// A host that looks this late was held up itself: its answers may be waiting
// unread, so it draws no conclusions.
inline constexpr milliseconds kHeldUpAfter{60};

// A packet whose flow should show an answer until the deadline.
struct PendingResponse {
  SteadyTime deadline;
  FlowPacket packet;
  // The packet as it came, kept for opening packets only.
  std::vector<uint8_t> datagram;
};

// Packets that wait for an answer, by deadline.
class PendingResponses {
 public:
  void Add(const FlowPacket& packet,
           std::span<const uint8_t> datagram,
           SteadyTime now);

  // Removes and returns the next one that is due; nothing where none is. Those
  // that are looked at too late are dropped.
  std::optional<PendingResponse> PopExpired(SteadyTime now);

  // When to look again; nothing where nothing is expected.
  std::optional<SteadyTime> NextDeadline() const;

 private:
  // Each in order of deadlines, since each kind has one time allowed.
  std::deque<PendingResponse> m_openings;
  std::deque<PendingResponse> m_requests;
};

}  // namespace poplarsail::flows

#endif  // FLOWS_PENDING_RESPONSES_H_
