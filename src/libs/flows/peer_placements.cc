#include "flows/peer_placements.h"

namespace poplarsail::flows {

void PeerPlacements::Record(const FlowKey& key,
                            uint64_t upstream_id,
                            SteadyTime now) {
  if (m_placements.size() >= kMaxPeerPlacements) {
    RemoveExpired(now);
  }
  if (m_placements.size() < kMaxPeerPlacements || m_placements.contains(key)) {
    m_placements[key] = {upstream_id, now + kPeerPlacementRetention};
  }
}

std::optional<uint64_t> PeerPlacements::Find(const FlowKey& key,
                                             SteadyTime now) const {
  const auto found = m_placements.find(key);
  const bool is_known =
      found != m_placements.end() && now < found->second.expiry;
  return is_known ? std::optional(found->second.upstream_id) : std::nullopt;
}

void PeerPlacements::RemoveExpired(SteadyTime now) {
  std::erase_if(m_placements,
                [now](const auto& item) { return item.second.expiry <= now; });
}

}  // namespace poplarsail::flows
