#ifndef MEMBERSHIP_MESSAGES_H_
#define MEMBERSHIP_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

namespace poplarsail::membership {

enum class PeerState : uint8_t { kAlive = 0, kSuspect = 1, kDead = 2 };

// What is said of one host. A higher incarnation goes first; within one, dead
// goes before suspect and suspect before alive. Only the host itself raises its
// incarnation.
struct PeerUpdate {
  std::string name;
  PeerState state = PeerState::kAlive;
  uint32_t incarnation = 0;

  friend bool operator==(const PeerUpdate&, const PeerUpdate&) = default;
};

enum class MessageType : uint8_t {
  kPing = 0,
  // Asks the receiver to ping `target` and to pass its answer on.
  kPingRequest = 1,
  kAck = 2,
};

struct Message {
  MessageType type = MessageType::kPing;
  std::string from;
  // The host that a ping request, or the answer to one, is about.
  std::string target;
  uint32_t sequence = 0;
  std::vector<PeerUpdate> updates;

  friend bool operator==(const Message&, const Message&) = default;
};

struct OutgoingMessage {
  std::string to;
  Message message;

  friend bool operator==(const OutgoingMessage&,
                         const OutgoingMessage&) = default;
};

}  // namespace poplarsail::membership

#endif  // MEMBERSHIP_MESSAGES_H_
