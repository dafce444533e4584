#ifndef MEMBERSHIP_MESSAGE_CODEC_H_
#define MEMBERSHIP_MESSAGE_CODEC_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>

#include "membership/messages.h"

namespace poplarsail::membership {

// A message is a msgpack array: version, type, from, target, sequence, and an
// array of updates (name, state, incarnation). Further elements are skipped.
std::string Encode(const Message& message);

// Returns nothing for what is malformed, of an unknown version or type, or over
// a limit.
std::optional<Message> Decode(std::span<const uint8_t> datagram);

}  // namespace poplarsail::membership

#endif  // MEMBERSHIP_MESSAGE_CODEC_H_
