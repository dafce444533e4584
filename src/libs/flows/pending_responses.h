#ifndef FLOWS_PENDING_RESPONSES_H_
#define FLOWS_PENDING_RESPONSES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "flows/flow_packet.h"
#include "flows/liveness.h"

namespace poplarsail::flows {

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
           SteadyTime deadline);

  // Removes and returns the next entry whose deadline has passed, or returns
  // nullopt if there is none. Discards entries that are checked kMaxTimerDelay
  // or more late.
  std::optional<PendingResponse> PopExpired(SteadyTime now);

  // Returns the earliest deadline, or nullopt if there are no entries.
  std::optional<SteadyTime> NextDeadline() const;

  // Returns when to check for overdue responses, or nullopt if there are none
  // to come or the check that is scheduled for `scheduled` comes early enough.
  std::optional<SteadyTime> NextCheck(
      const std::optional<SteadyTime>& scheduled) const;

 private:
  using Queue = std::multimap<SteadyTime, PendingResponse>;

  static std::optional<PendingResponse> PopFirstExpired(Queue* queue,
                                                        SteadyTime now);

  Queue m_syns;
  Queue m_requests;
};

}  // namespace poplarsail::flows

#endif  // FLOWS_PENDING_RESPONSES_H_
