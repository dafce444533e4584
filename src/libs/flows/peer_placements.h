#ifndef FLOWS_PEER_PLACEMENTS_H_
#define FLOWS_PEER_PLACEMENTS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "flows/flow_packet.h"
#include "flows/liveness.h"

namespace poplarsail::flows {

// Placements kept at the same time; further ones are ignored.
inline constexpr size_t kMaxPeerPlacements = 4'096;
// A client gives up on its SYN within this time.
inline constexpr milliseconds kPeerPlacementRetention{1'400};

// Where other hosts have placed flows whose SYN has had no response so far.
class PeerPlacements {
 public:
  void Record(const FlowKey& key, uint64_t upstream_id, SteadyTime now);
  // Returns the upstream, or nullopt if the flow is unknown or expired.
  std::optional<uint64_t> Find(const FlowKey& key, SteadyTime now) const;
  void RemoveExpired(SteadyTime now);

 private:
  struct Placement {
    uint64_t upstream_id = 0;
    SteadyTime expiry;
  };

  std::unordered_map<FlowKey, Placement, FlowKeyHash> m_placements;
};

}  // namespace poplarsail::flows

#endif  // FLOWS_PEER_PLACEMENTS_H_
