#ifndef FLOWS_LOSS_COUNTS_H_
#define FLOWS_LOSS_COUNTS_H_

#include <array>
#include <cstdint>
#include <string_view>
#include <unordered_map>

#include "flows/routing_table.h"

namespace poplarsail::flows {

// Why a request was not answered in time, as the entry host of its flow sees
// it.
enum class LossCause : uint8_t {
  // The first acknowledgement of the response came after the listener's latency
  // target.
  kLate,
  // The upstream answered with a refusal.
  kRefusedByUpstream,
  // The client ended the flow, or sent nothing more, while it waited for a
  // response.
  kUnanswered,
  // New flows that this host or a scheduler refused.
  kNoRoom,
  kNoUpstream,
  // Flows that were reset.
  kUpstreamDead,
  kUpstreamGone,
  kUnknownTag,
};
inline constexpr size_t kLossCauseCount = 8;

std::string_view ToString(LossCause cause);

// Counts lost requests by listener and cause.
class LossCounts {
 public:
  using ByCause = std::array<uint64_t, kLossCauseCount>;
  using ByListener = std::unordered_map<Ipv4Endpoint, ByCause>;

  void Add(const Ipv4Endpoint& listener, LossCause cause) {
    ++m_counts[listener][static_cast<size_t>(cause)];
  }

  // Forgets listeners that are no longer configured.
  void RemoveUnknown(const RoutingTable& routing_table);

  const ByListener& by_listener() const { return m_counts; }

 private:
  ByListener m_counts;
};

}  // namespace poplarsail::flows

#endif  // FLOWS_LOSS_COUNTS_H_
