#ifndef ENTRY_OVERDUE_EXCHANGE_H_
#define ENTRY_OVERDUE_EXCHANGE_H_

#include <functional>
#include <span>
#include <vector>

#include "entry/peer_socket.h"
#include "entry/send_rate_limiter.h"
#include "flows/flows.h"
#include "model/model.h"

namespace poplarsail::entry {

// Limit for messages sent, including IP and UDP headers.
inline constexpr double kOverdueBytesPerSecond = 8'000;
// Upstreams in one message; those beyond are not told.
inline constexpr size_t kMaxOverdueUpstreams = 32;
// A host with more overdue requests of one upstream in a message is not
// believed to have more.
inline constexpr uint32_t kMaxOverdueRequests = 16;

// Tells the hosts of the failure domain which upstreams have overdue requests.
//
// Messages are MessagePack arrays over UDP: [4, [[upstream_id, requests],
// ...]].
class OverdueExchange {
 public:
  using Callback = std::function<void(const std::vector<flows::OverdueCount>&)>;

  // `socket` outlives this object.
  OverdueExchange(PeerSocket* socket, Callback callback);
  ~OverdueExchange();

  OverdueExchange(const OverdueExchange&) = delete;
  OverdueExchange& operator=(const OverdueExchange&) = delete;

  // Sends the counts to all peers, if there are any.
  void Broadcast(const std::vector<flows::OverdueCount>& counts);
  void set_peers(const std::vector<model::Ipv4Endpoint>& peers);

 private:
  void HandleDatagram(const model::Ipv4Endpoint& sender,
                      std::span<const uint8_t> datagram);

  PeerSocket* m_socket;
  Callback m_callback;
  std::vector<model::Ipv4Endpoint> m_peers;
  SendRateLimiter m_rate_limiter{kOverdueBytesPerSecond};
};

}  // namespace poplarsail::entry

#endif  // ENTRY_OVERDUE_EXCHANGE_H_
