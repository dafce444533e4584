#ifndef ENTRY_PLACEMENT_EXCHANGE_H_
#define ENTRY_PLACEMENT_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <span>
#include <vector>

#include "entry/peer_socket.h"
#include "entry/send_rate_limiter.h"
#include "flows/flows.h"
#include "model/model.h"

namespace poplarsail::entry {

// Limit for messages sent, including IP and UDP headers.
inline constexpr double kPlacementBytesPerSecond = 16'000;

// Tells the hosts of the failure domain where a flow was placed whose SYN has
// had no response in time. The fabric may hand the client's copy to any of
// them.
//
// Messages are MessagePack arrays over UDP: [5, client address, client port,
// listener address, listener port, upstream_id].
class PlacementExchange {
 public:
  using Callback =
      std::function<void(const flows::FlowKey&, uint64_t upstream_id)>;

  // `socket` outlives this object.
  PlacementExchange(PeerSocket* socket, Callback callback);
  ~PlacementExchange();

  PlacementExchange(const PlacementExchange&) = delete;
  PlacementExchange& operator=(const PlacementExchange&) = delete;

  void Broadcast(const flows::FlowKey& key, uint64_t upstream_id);
  void set_peers(const std::vector<model::Ipv4Endpoint>& peers);

 private:
  void HandleDatagram(const model::Ipv4Endpoint& sender,
                      std::span<const uint8_t> datagram);

  PeerSocket* m_socket;
  Callback m_callback;
  std::vector<model::Ipv4Endpoint> m_peers;
  SendRateLimiter m_rate_limiter{kPlacementBytesPerSecond};
};

}  // namespace poplarsail::entry

#endif  // ENTRY_PLACEMENT_EXCHANGE_H_
