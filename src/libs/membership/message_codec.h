#ifndef MEMBERSHIP_MESSAGE_CODEC_H_
#define MEMBERSHIP_MESSAGE_CODEC_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>

#include "membership/messages.h"

namespace poplarsail::membership {

// Encodes a message as a msgpack array: version, type, from, target, sequence,
// and an array of updates (name, state, incarnation).
std::string Encode(const Message& message);

// Returns nullopt if the datagram is malformed, has an unknown version or type,
// or exceeds a limit. Additional array elements are ignored.
std::optional<Message> Decode(std::span<const uint8_t> datagram);

}  // namespace poplarsail::membership

#endif  // MEMBERSHIP_MESSAGE_CODEC_H_
