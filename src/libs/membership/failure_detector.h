#ifndef MEMBERSHIP_FAILURE_DETECTOR_H_
#define MEMBERSHIP_FAILURE_DETECTOR_H_

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "membership/messages.h"
#include "model/model.h"

namespace poplarsail::membership {

using model::TimePoint;

// Detects entry hosts that do not respond, with the SWIM protocol (Das, Gupta
// and Motivala, 2002). In each protocol period a host pings one peer. If the
// peer does not acknowledge in time, two intermediaries are asked to ping it.
// Without an acknowledgement by the end of the period the peer is suspected,
// and declared dead unless it refutes the suspicion in time. State updates are
// piggybacked on the messages, so the traffic of a host does not grow with the
// size of the fleet. The members of the fleet come from the platform's list;
// this class only determines which of them respond.
class FailureDetector {
 public:
  FailureDetector(std::string self, uint64_t seed, TimePoint now);

  // Replaces the list of peers. New peers start as alive.
  void SetPeers(const std::vector<std::string>& names, TimePoint now);

  std::vector<OutgoingMessage> Tick(TimePoint now);
  std::vector<OutgoingMessage> Receive(const Message& message, TimePoint now);

  // Sorted names of the peers that are declared dead.
  std::vector<std::string> DeadPeers() const;
  // Increases whenever the result of DeadPeers may have changed.
  uint64_t change_count() const { return m_change_count; }
  // Number of times that this host has refuted its own suspicion or death. An
  // increase means that peers may have operated without this host meanwhile.
  uint32_t refutation_count() const { return m_refutation_count; }

 private:
  struct Peer {
    PeerState state = PeerState::kAlive;
    uint32_t incarnation = 0;
    // When a suspected peer is declared dead.
    TimePoint suspect_until = TimePoint::max();
  };
  // An update that still has to be sent to peers.
  struct PendingUpdate {
    PeerUpdate update;
    int transmissions_left = 0;
  };
  // A ping that was sent on behalf of another host.
  struct IndirectPing {
    std::string requester;
    uint32_t sequence = 0;
    TimePoint expires_at;
  };

  void StartPeriod(TimePoint now, std::vector<OutgoingMessage>* out);
  void EndPeriod(TimePoint now);
  void SendPingRequests(std::vector<OutgoingMessage>* out);
  void PingOneDead(std::vector<OutgoingMessage>* out);
  std::string NextPingTarget();
  std::vector<std::string> PickIntermediaries(const std::string& target);
  void ApplyUpdate(const PeerUpdate& update, TimePoint now);
  void Refute(const PeerUpdate& update);
  void SetState(const std::string& name,
                Peer* peer,
                PeerState state,
                uint32_t incarnation,
                TimePoint now);
  void QueueUpdate(const PeerUpdate& update);
  OutgoingMessage MakeMessage(const std::string& to,
                              MessageType type,
                              const std::string& target,
                              uint32_t sequence);
  std::vector<PeerUpdate> TakePendingUpdates(const std::string& to);

  std::string m_self;
  std::mt19937_64 m_random;
  std::map<std::string, Peer> m_peers;
  std::map<std::string, PendingUpdate> m_pending_updates;
  std::map<uint32_t, IndirectPing> m_indirect_pings;
  std::vector<std::string> m_ping_order;
  std::string m_ping_target;
  bool m_target_acknowledged = true;
  bool m_ping_requests_sent = true;
  uint32_t m_sequence = 0;
  uint32_t m_ping_sequence = 0;
  uint32_t m_incarnation = 0;
  uint32_t m_refutation_count = 0;
  uint64_t m_change_count = 0;
  uint64_t m_period_count = 0;
  TimePoint m_period_ends_at;
  TimePoint m_ping_timeout_at;
};

}  // namespace poplarsail::membership

#endif  // MEMBERSHIP_FAILURE_DETECTOR_H_
