#include "membership/message_codec.h"

#include <msgpack.hpp>

namespace poplarsail::membership {

namespace {

constexpr uint32_t kVersion = 1;
constexpr size_t kMaxDatagramBytes = 1'400;
constexpr uint32_t kMaxUpdates = 64;
constexpr uint32_t kMaxNameBytes = 63;
constexpr uint32_t kMessageFieldCount = 6;
constexpr uint32_t kUpdateFieldCount = 3;
constexpr uint32_t kMaxDepth = 4;

const msgpack::object& ElementAt(const msgpack::object& array, uint32_t index) {
  return array.via.array.ptr[index];
}

bool IsArray(const msgpack::object& object, uint32_t min_size) {
  return object.type == msgpack::type::ARRAY &&
         object.via.array.size >= min_size;
}

std::optional<PeerUpdate> ReadUpdate(const msgpack::object& object) {
  if (!IsArray(object, kUpdateFieldCount)) {
    return std::nullopt;
  }
  const auto state = ElementAt(object, 1).as<uint8_t>();
  if (state > static_cast<uint8_t>(PeerState::kDead)) {
    return std::nullopt;
  }
  return PeerUpdate{ElementAt(object, 0).as<std::string>(),
                    static_cast<PeerState>(state),
                    ElementAt(object, 2).as<uint32_t>()};
}

std::optional<Message> ReadMessage(const msgpack::object& object) {
  if (!IsArray(object, kMessageFieldCount) ||
      ElementAt(object, 0).as<uint32_t>() != kVersion) {
    return std::nullopt;
  }
  const auto type = ElementAt(object, 1).as<uint8_t>();
  const msgpack::object& updates = ElementAt(object, 5);
  if (type > static_cast<uint8_t>(MessageType::kAck) || !IsArray(updates, 0) ||
      updates.via.array.size > kMaxUpdates) {
    return std::nullopt;
  }
  Message message{.type = static_cast<MessageType>(type),
                  .from = ElementAt(object, 2).as<std::string>(),
                  .target = ElementAt(object, 3).as<std::string>(),
                  .sequence = ElementAt(object, 4).as<uint32_t>()};
  for (uint32_t i = 0; i < updates.via.array.size; ++i) {
    const auto update = ReadUpdate(ElementAt(updates, i));
    if (!update) {
      return std::nullopt;
    }
    message.updates.push_back(*update);
  }
  return message;
}

}  // namespace

std::string Encode(const Message& message) {
  msgpack::sbuffer buffer;
  msgpack::packer packer(buffer);
  packer.pack_array(kMessageFieldCount);
  packer.pack(kVersion);
  packer.pack(static_cast<uint8_t>(message.type));
  packer.pack(message.from);
  packer.pack(message.target);
  packer.pack(message.sequence);
  packer.pack_array(static_cast<uint32_t>(message.updates.size()));
  for (const PeerUpdate& update : message.updates) {
    packer.pack_array(kUpdateFieldCount);
    packer.pack(update.name);
    packer.pack(static_cast<uint8_t>(update.state));
    packer.pack(update.incarnation);
  }
  return {buffer.data(), buffer.size()};
}

std::optional<Message> Decode(std::span<const uint8_t> datagram) {
  if (datagram.size() > kMaxDatagramBytes) {
    return std::nullopt;
  }
  // Limits for: array, map, string, binary, extension, depth.
  const msgpack::unpack_limit limit(kMaxUpdates, 0, kMaxNameBytes, 0, 0,
                                    kMaxDepth);
  try {
    const msgpack::object_handle handle =
        msgpack::unpack(reinterpret_cast<const char*>(datagram.data()),
                        datagram.size(), nullptr, nullptr, limit);
    return ReadMessage(handle.get());
  } catch (const msgpack::unpack_error&) {
    return std::nullopt;
  } catch (const msgpack::type_error&) {
    return std::nullopt;
  }
}

}  // namespace poplarsail::membership
