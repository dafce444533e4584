#ifndef ENTRY_PEER_PROBES_H_
#define ENTRY_PEER_PROBES_H_

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <vector>

#include "entry/peer_socket.h"
#include "entry/send_rate_limiter.h"
#include "model/model.h"

namespace poplarsail::entry {

// Other hosts that are asked about an upstream. One of them may be overloaded
// itself, or not know the upstream yet.
inline constexpr size_t kProbingPeers = 3;
// Limit for probe messages sent, including IP and UDP headers.
inline constexpr double kProbeBytesPerSecond = 10'000;

// Asks other entry hosts whether they can connect to an upstream that does not
// respond to this one, and answers such questions. A dead upstream answers
// nobody, an overloaded host is alone in getting no response.
//
// Messages are MessagePack arrays over UDP: [3, type, upstream_id], where type
// is 1 for a question and 2 for the answer "connected". There is no negative
// answer.
class PeerProbes {
 public:
  class Delegate {
   public:
    virtual ~Delegate() = default;

    // Tries a connection to the upstream and calls `done` with whether it
    // succeeded.
    virtual void ProbeUpstream(uint64_t upstream_id,
                               std::function<void(bool is_connected)> done) = 0;
    // A peer that was asked is connected to the upstream.
    virtual void OnConnectedElsewhere(uint64_t upstream_id) = 0;
  };

  // `socket` and `delegate` outlive this object.
  PeerProbes(PeerSocket* socket, Delegate* delegate);
  ~PeerProbes();

  PeerProbes(const PeerProbes&) = delete;
  PeerProbes& operator=(const PeerProbes&) = delete;

  void Ask(uint64_t upstream_id);

  // Hosts of the same failure domain, which are asked first, and of others.
  void SetPeers(const std::vector<model::Ipv4Endpoint>& local_peers,
                const std::vector<model::Ipv4Endpoint>& remote_peers);

 private:
  void HandleDatagram(const model::Ipv4Endpoint& sender,
                      std::span<const uint8_t> datagram);
  void HandleQuestion(const model::Ipv4Endpoint& sender, uint64_t upstream_id);
  void AnswerAskers(uint64_t upstream_id, bool is_connected);
  bool IsPeer(const model::Ipv4Endpoint& endpoint) const;
  void Send(const model::Ipv4Endpoint& receiver,
            uint8_t type,
            uint64_t upstream_id);

  PeerSocket* m_socket;
  Delegate* m_delegate;
  std::vector<model::Ipv4Endpoint> m_local_peers;
  std::vector<model::Ipv4Endpoint> m_remote_peers;
  // Rotates through the local peers.
  size_t m_next_peer = 0;
  // Hosts that wait for the result of a running probe, by upstream.
  std::map<uint64_t, std::vector<model::Ipv4Endpoint>> m_askers;
  SendRateLimiter m_rate_limiter{kProbeBytesPerSecond};
};

}  // namespace poplarsail::entry

#endif  // ENTRY_PEER_PROBES_H_
