#include "scheduling/message_codec.h"

#include <cmath>
#include <msgpack.hpp>
#include <stdexcept>

#include "scheduling/message_format.h"

namespace poplarsail::scheduling {

namespace {

// Reads the elements of an array in their order. Throws if an element is
// missing, of another type or out of bounds.
class FieldReader {
 public:
  explicit FieldReader(const msgpack::object& array) {
    if (array.type != msgpack::type::ARRAY) {
      throw msgpack::type_error();
    }
    m_array = array.via.array;
  }

  uint64_t Unsigned(uint64_t max, uint64_t min = 0) {
    const auto value = Next().as<uint64_t>();
    if (value < min || value > max) {
      throw std::out_of_range("value is out of bounds");
    }
    return value;
  }

  uint32_t Unsigned32(uint64_t max = UINT32_MAX, uint64_t min = 0) {
    return static_cast<uint32_t>(Unsigned(max, min));
  }

  double Real(double min, double max) {
    const auto value = Next().as<double>();
    if (!std::isfinite(value) || value < min || value > max) {
      throw std::out_of_range("value is out of bounds");
    }
    return value;
  }

  std::string Name(size_t min_bytes) {
    auto name = Next().as<std::string>();
    if (name.size() < min_bytes || name.size() > kMaxNameBytes) {
      throw std::out_of_range("name length is out of bounds");
    }
    return name;
  }

  milliseconds Duration() {
    return milliseconds(static_cast<int64_t>(Unsigned(kMaxDurationMs)));
  }

  Ipv4Endpoint Endpoint() {
    Ipv4Endpoint endpoint;
    endpoint.address = Unsigned32(UINT32_MAX, 1);
    endpoint.port = static_cast<uint16_t>(Unsigned(UINT16_MAX, 1));
    return endpoint;
  }

  template <typename T>
  std::vector<T> List(T (*read_element)(FieldReader&)) {
    FieldReader elements(Next());
    std::vector<T> list;
    while (!elements.IsAtEnd()) {
      FieldReader element(elements.Next());
      list.push_back(read_element(element));
      element.ExpectEnd();
    }
    return list;
  }

  std::vector<uint64_t> Ids(size_t max_count) {
    FieldReader elements(Next());
    std::vector<uint64_t> ids;
    while (!elements.IsAtEnd() && ids.size() < max_count) {
      ids.push_back(elements.Unsigned(UINT64_MAX));
    }
    elements.ExpectEnd();
    return ids;
  }

  bool IsAtEnd() const { return m_index == m_array.size; }
  void ExpectEnd() const {
    if (!IsAtEnd()) {
      throw std::out_of_range("unexpected field");
    }
  }

 private:
  const msgpack::object& Next() {
    if (IsAtEnd()) {
      throw std::out_of_range("field is missing");
    }
    return m_array.ptr[m_index++];
  }

  msgpack::object_array m_array{};
  uint32_t m_index = 0;
};

PlaceMessage ReadPlace(FieldReader& reader, bool is_forwarded) {
  PlaceMessage message;
  if (is_forwarded) {
    message.forwarded_for = reader.Endpoint();
  }
  message.token = reader.Unsigned32();
  message.listener = reader.Endpoint();
  message.client_address = reader.Unsigned32();
  message.syn_age = reader.Duration();
  message.excluded_upstream_ids = reader.Ids(kMaxExcludedUpstreams);
  return message;
}

GrantMessage ReadGrant(FieldReader& reader) {
  GrantMessage message;
  message.token = reader.Unsigned32();
  message.upstream_id = reader.Unsigned(UINT64_MAX);
  return message;
}

RefuseMessage ReadRefuse(FieldReader& reader) {
  RefuseMessage message;
  message.token = reader.Unsigned32();
  message.reason = static_cast<RefusalReason>(
      reader.Unsigned(static_cast<uint64_t>(RefusalReason::kUseOther), 1));
  if (message.reason == RefusalReason::kUseOther) {
    message.other = reader.Endpoint();
  }
  if (!reader.IsAtEnd()) {
    message.forwarded_for = reader.Endpoint();
  }
  return message;
}

Completion ReadCompletion(FieldReader& reader) {
  Completion completion;
  completion.token = reader.Unsigned32();
  completion.upstream_id = reader.Unsigned(UINT64_MAX);
  completion.outcome = static_cast<Outcome>(
      reader.Unsigned(static_cast<uint64_t>(Outcome::kAbandoned), 1));
  completion.response_time = std::chrono::microseconds(
      static_cast<int64_t>(reader.Unsigned(kMaxTicks)) * kMicrosecondsPerTick);
  return completion;
}

OpenFlow ReadOpenFlow(FieldReader& reader) {
  OpenFlow flow;
  flow.token = reader.Unsigned32();
  flow.upstream_id = reader.Unsigned(UINT64_MAX);
  flow.age = reader.Duration();
  return flow;
}

SnapshotMessage ReadSnapshot(FieldReader& reader) {
  SnapshotMessage message;
  message.flows = reader.List(&ReadOpenFlow);
  message.part = reader.Unsigned32(kMaxParts - 1);
  message.part_count = reader.Unsigned32(kMaxParts, uint64_t{message.part} + 1);
  return message;
}

Announcement ReadAnnouncement(FieldReader& reader, const std::string& service) {
  Announcement message;
  message.service = service;
  message.failure_domain = reader.Name(0);
  message.capacity_class = reader.Unsigned32(kMaxCapacityClass);
  message.places = reader.Unsigned32(kMaxCount);
  message.outstanding = reader.Unsigned32(kMaxCount);
  message.waiting = reader.Unsigned32(kMaxCount);
  message.free_places = reader.Unsigned32(kMaxCount);
  message.predicted_wait = reader.Duration();
  message.mean_work = reader.Duration();
  return message;
}

LearnedSpeed ReadSpeed(FieldReader& reader) {
  LearnedSpeed speed;
  speed.upstream_id = reader.Unsigned(UINT64_MAX);
  speed.started_unix_ms = static_cast<int64_t>(reader.Unsigned(kMaxUnixMs));
  speed.speed = reader.Real(kMinSpeed, kMaxSpeed);
  speed.samples = reader.Real(0, kMaxSamples);
  return speed;
}

LearnedWork ReadWork(FieldReader& reader) {
  LearnedWork work;
  work.listener = reader.Endpoint();
  work.mean_ms = reader.Real(0, kMaxDurationMs);
  work.median_ms = reader.Real(0, kMaxDurationMs);
  work.p95_ms = reader.Real(0, kMaxDurationMs);
  work.samples = reader.Real(0, kMaxSamples);
  return work;
}

LearnedMessage ReadLearned(FieldReader& reader) {
  LearnedMessage message;
  message.speeds = reader.List(&ReadSpeed);
  message.work = reader.List(&ReadWork);
  return message;
}

MessageBody ReadBody(MessageType type,
                     FieldReader& reader,
                     const std::string& service) {
  switch (type) {
    case MessageType::kPlace:
    case MessageType::kForward:
      return ReadPlace(reader, type == MessageType::kForward);
    case MessageType::kGrant:
      return ReadGrant(reader);
    case MessageType::kQueued:
      return QueuedMessage{reader.Unsigned32()};
    case MessageType::kRefuse:
      return ReadRefuse(reader);
    case MessageType::kComplete:
      return CompleteMessage{reader.List(&ReadCompletion)};
    case MessageType::kSnapshot:
      return ReadSnapshot(reader);
    case MessageType::kAnnounce:
      return ReadAnnouncement(reader, service);
    case MessageType::kLearned:
      return ReadLearned(reader);
  }
  throw std::out_of_range("unknown message type");
}

SchedulingMessage ReadMessage(const msgpack::object& object) {
  FieldReader reader(object);
  reader.Unsigned(kSchedulingMessageVersion, kSchedulingMessageVersion);
  const auto type = static_cast<MessageType>(
      reader.Unsigned(static_cast<uint64_t>(MessageType::kLearned), 1));
  SchedulingMessage message{.service = reader.Name(1), .body = QueuedMessage()};
  message.body = ReadBody(type, reader, message.service);
  reader.ExpectEnd();
  return message;
}

}  // namespace

std::optional<SchedulingMessage> DecodeMessage(
    std::span<const uint8_t> datagram) {
  if (datagram.size() > kMaxSchedulingMessageBytes) {
    return std::nullopt;
  }
  // Limits for: array, map, string, binary, extension, depth.
  const msgpack::unpack_limit limit(kMaxListElements, 0, kMaxNameBytes, 0, 0,
                                    kMaxDepth);
  try {
    size_t offset = 0;
    const msgpack::object_handle handle =
        msgpack::unpack(reinterpret_cast<const char*>(datagram.data()),
                        datagram.size(), offset, nullptr, nullptr, limit);
    if (offset != datagram.size()) {
      return std::nullopt;
    }
    return ReadMessage(handle.get());
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace poplarsail::scheduling
