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

// Finds entry hosts that do not answer (SWIM: Das, Gupta and Motivala, 2002).
// In each period a host pings one other; without an answer, two helpers ping
// it; then it is suspect, and dead unless it refutes in time. News travel on
// the pings, so the traffic of a host does not grow with the fleet. Who belongs
// to the fleet comes from the platform's list; this class only says who of them
// answers.
class FailureDetector {
 public:
  FailureDetector(std::string self, uint64_t seed, TimePoint now);

  // Hosts that are new count as alive.
  void SetPeers(const std::vector<std::string>& names, TimePoint now);

  std::vector<OutgoingMessage> Tick(TimePoint now);
  std::vector<OutgoingMessage> Receive(const Message& message, TimePoint now);

  // Sorted names of the hosts that do not answer.
  std::vector<std::string> DeadPeers() const;
  // Raised by each change of DeadPeers.
  uint64_t change_count() const { return m_change_count; }
  // How often this host heard that others took it for suspect or dead. Others
  // may have gone on without it.
  uint32_t refutation_count() const { return m_refutation_count; }

 private:
  struct Peer {
    PeerState state = PeerState::kAlive;
    uint32_t incarnation = 0;
    // When a suspect is dead.
    TimePoint suspect_until = TimePoint::max();
  };
  // An update that still has to be told to others.
  struct News {
    PeerUpdate update;
    int tellings_left = 0;
  };
  // A ping that was sent for another host.
  struct Errand {
    std::string asked_by;
    uint32_t sequence = 0;
    TimePoint expires_at;
  };

  void StartPeriod(TimePoint now, std::vector<OutgoingMessage>* out);
  void EndPeriod(TimePoint now);
  void AskHelpers(std::vector<OutgoingMessage>* out);
  void PingOneDead(std::vector<OutgoingMessage>* out);
  std::string NextTarget();
  std::vector<std::string> PickHelpers(const std::string& target);
  void ApplyUpdate(const PeerUpdate& update, TimePoint now);
  void Refute(const PeerUpdate& update);
  void SetState(const std::string& name,
                Peer* peer,
                PeerState state,
                uint32_t incarnation,
                TimePoint now);
  void Tell(const PeerUpdate& update);
  OutgoingMessage Compose(const std::string& to,
                          MessageType type,
                          const std::string& target,
                          uint32_t sequence);
  std::vector<PeerUpdate> TakeNews(const std::string& to);

  std::string m_self;
  std::mt19937_64 m_random;
  std::map<std::string, Peer> m_peers;
  std::map<std::string, News> m_news;
  std::map<uint32_t, Errand> m_errands;
  std::vector<std::string> m_order;
  std::string m_target;
  bool m_target_answered = true;
  bool m_helpers_asked = true;
  uint32_t m_sequence = 0;
  uint32_t m_target_sequence = 0;
  uint32_t m_incarnation = 0;
  uint32_t m_refutation_count = 0;
  uint64_t m_change_count = 0;
  uint64_t m_period = 0;
  TimePoint m_period_ends_at;
  TimePoint m_ask_helpers_at;
};

}  // namespace poplarsail::membership

#endif  // MEMBERSHIP_FAILURE_DETECTOR_H_
