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

// The response to a SYN takes one round trip: 15 ms between the farthest
// failure domains, plus as much again for a busy host.
inline constexpr milliseconds kSynResponseTimeout{50};
// Time to the first packet of the response to a request. 99% of requests take
// less time (20 ms of work, at most 120 ms).
inline constexpr milliseconds kRequestResponseTimeout{100};
// Maximum number of responses tracked at the same time, for SYNs and requests
// each. Further ones are not tracked.
inline constexpr size_t kMaxPendingResponses = 4'096;
// Minimum interval between checks for overdue responses.
inline constexpr milliseconds kResponseTimeoutInterval{10};
// A deadline that is checked this late is ignored: the host itself was delayed,
// and the response may be waiting unread.
inline constexpr milliseconds kMaxTimerDelay{60};

// A packet whose response is due by the deadline.
struct PendingResponse {
  SteadyTime deadline;
  FlowPacket packet;
  // The packet as received. Kept for SYNs only.
  std::vector<uint8_t> datagram;
};

// Packets that are waiting for a response, ordered by deadline.
class PendingResponses {
 public:
  void Add(const FlowPacket& packet,
           std::span<const uint8_t> datagram,
           SteadyTime now);

  // Removes and returns the next entry whose deadline has passed, or returns
  // nullopt if there is none. Discards entries that are checked kMaxTimerDelay
  // or more late.
  std::optional<PendingResponse> PopExpired(SteadyTime now);

  // Returns the earliest deadline, or nullopt if there are no entries.
  std::optional<SteadyTime> NextDeadline() const;

 private:
  // Each queue has a single timeout, so its entries are ordered by deadline.
  std::deque<PendingResponse> m_syns;
  std::deque<PendingResponse> m_requests;
};

}  // namespace poplarsail::flows

#endif  // FLOWS_PENDING_RESPONSES_H_
