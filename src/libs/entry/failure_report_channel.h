#ifndef ENTRY_FAILURE_REPORT_CHANNEL_H_
#define ENTRY_FAILURE_REPORT_CHANNEL_H_

#include <cstdint>
#include <functional>
#include <span>
#include <vector>

#include "entry/peer_socket.h"
#include "entry/send_rate_limiter.h"
#include "model/model.h"

namespace poplarsail::entry {

// Limit for failure reports sent, including IP and UDP headers: some 1,400
// datagrams per second, a twentieth of the capacity of a 10 Mbit/s link.
inline constexpr double kReportBytesPerSecond = 60'000;

// Exchanges reports of unresponsive upstreams with other entry hosts over UDP;
// the settings and messages between hosts call them findings. A report goes to
// the hosts of the same failure domain and to a few hosts in each other domain,
// which relay it there. It is only a hint: each receiver checks the upstream
// itself, so a lost datagram costs no more than that hint.
class FailureReportChannel {
 public:
  using Callback = std::function<void(uint64_t upstream_id)>;

  // `socket` outlives this object.
  FailureReportChannel(PeerSocket* socket, Callback callback);
  ~FailureReportChannel();

  FailureReportChannel(const FailureReportChannel&) = delete;
  FailureReportChannel& operator=(const FailureReportChannel&) = delete;

  // Reports that the upstream does not respond.
  void Broadcast(uint64_t upstream_id);
  // Hosts of the same failure domain.
  void set_local_peers(std::vector<model::Ipv4Endpoint> local_peers);
  // Hosts of other failure domains, which relay reports there.
  void set_remote_peers(std::vector<model::Ipv4Endpoint> remote_peers);

 private:
  void HandleDatagram(std::span<const uint8_t> datagram);
  void SendTo(uint64_t upstream_id,
              bool should_relay,
              const std::vector<model::Ipv4Endpoint>& targets);

  PeerSocket* m_socket;
  std::vector<model::Ipv4Endpoint> m_local_peers;
  std::vector<model::Ipv4Endpoint> m_remote_peers;
  SendRateLimiter m_rate_limiter{kReportBytesPerSecond};
  Callback m_callback;
};

}  // namespace poplarsail::entry

#endif  // ENTRY_FAILURE_REPORT_CHANNEL_H_
