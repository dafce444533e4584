#ifndef MEMBERSHIP_MESSAGES_H_
#define MEMBERSHIP_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

namespace poplarsail::membership {

enum class PeerState : uint8_t { kAlive = 0, kSuspect = 1, kDead = 2 };

// The reported state of one host. An update with a higher incarnation takes
// precedence; within the same incarnation, dead overrides suspect and suspect
// overrides alive. Only the host itself increments its incarnation.
struct PeerUpdate {
  std::string name;
  PeerState state = PeerState::kAlive;
  uint32_t incarnation = 0;

  friend bool operator==(const PeerUpdate&, const PeerUpdate&) = default;
};

enum class MessageType : uint8_t {
  kPing = 0,
  // Asks the receiver to ping `target` and to forward its acknowledgement.
  kPingRequest = 1,
  kAck = 2,
};

struct Message {
  MessageType type = MessageType::kPing;
  std::string from;
  // Set in a ping request and in the acknowledgement that answers it: the host
  // to ping.
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
