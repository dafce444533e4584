#ifndef FLOWS_OVERDUE_MONITOR_H_
#define FLOWS_OVERDUE_MONITOR_H_

#include <compare>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "flows/routing_table.h"

namespace poplarsail::flows {

// Overdue requests of an upstream below this number show nothing.
inline constexpr double kMinOverdueRequests = 3;
// An upstream is unresponsive if it has this many times the overdue requests of
// the median upstream of its service. Under overload all of them have many.
inline constexpr double kUnresponsiveRatio = 4;

// Requests of an upstream whose responses are overdue.
struct OverdueCount {
  uint64_t upstream_id = 0;
  uint32_t requests = 0;

  friend auto operator<=>(const OverdueCount&, const OverdueCount&) = default;
};

// An upstream that has become unresponsive or has ceased to be.
struct UnresponsiveChange {
  uint64_t upstream_id = 0;
  bool is_unresponsive = false;

  friend auto operator<=>(const UnresponsiveChange&,
                          const UnresponsiveChange&) = default;
};

// Finds upstreams that leave a part of their requests unanswered although they
// accept connections and answer others.
//
// Load pattern: a sixth of the upstreams answers 60 % of its requests. Flows
// that wait there can't be reset, since their upstream lives, but new flows
// should avoid it. In a large fleet a host sends an upstream a request every
// few seconds, so the hosts of a failure domain tell each other what is
// overdue.
class OverdueMonitor {
 public:
  // A request of this host is overdue.
  void RecordOverdue(Upstream* upstream, SteadyTime now);

  // Returns the overdue requests of this host since the last call, to be sent
  // to the other hosts.
  std::vector<OverdueCount> TakeCounts();

  // Compares the upstreams of each service and marks the
  // unresponsive ones.
  static std::vector<UnresponsiveChange> Update(
      const RoutingTable& routing_table,
      SteadyTime now);

 private:
  // Keyed by the id of the upstream.
  std::unordered_map<uint64_t, uint32_t> m_counts;
};

}  // namespace poplarsail::flows

#endif  // FLOWS_OVERDUE_MONITOR_H_
