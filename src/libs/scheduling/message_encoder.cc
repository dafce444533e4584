#include <algorithm>
#include <msgpack.hpp>
#include <stdexcept>
#include <utility>

#include "scheduling/message_codec.h"
#include "scheduling/message_format.h"

namespace poplarsail::scheduling {

namespace {

// Version, type, array headers and the part numbers of a split list.
constexpr size_t kMaxHeaderBytes = 32;

using Packer = msgpack::packer<msgpack::sbuffer>;
using Datagram = std::vector<uint8_t>;

// The sender clips durations, so that a long one does not make the receiver
// drop the whole datagram.
uint64_t ToMs(milliseconds duration) {
  return static_cast<uint64_t>(
      std::clamp<int64_t>(duration.count(), 0, kMaxDurationMs));
}

uint64_t ToTicks(std::chrono::microseconds duration) {
  return static_cast<uint64_t>(std::clamp<int64_t>(
      duration.count() / kMicrosecondsPerTick, 0, kMaxTicks));
}

Datagram ToDatagram(const msgpack::sbuffer& buffer) {
  return {buffer.data(), buffer.data() + buffer.size()};
}

void PackHeader(Packer& packer,
                uint32_t field_count,
                MessageType type,
                const std::string& service) {
  packer.pack_array(field_count);
  packer.pack(kSchedulingMessageVersion);
  packer.pack(static_cast<uint8_t>(type));
  packer.pack(service);
}

void PackEndpoint(Packer& packer, const Ipv4Endpoint& endpoint) {
  packer.pack(endpoint.address);
  packer.pack(endpoint.port);
}

std::string PackElement(const Completion& completion) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(4);
  packer.pack(completion.token);
  packer.pack(completion.upstream_id);
  packer.pack(static_cast<uint8_t>(completion.outcome));
  packer.pack(ToTicks(completion.response_time));
  return {buffer.data(), buffer.size()};
}

std::string PackElement(const OpenFlow& flow) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(3);
  packer.pack(flow.token);
  packer.pack(flow.upstream_id);
  packer.pack(ToMs(flow.age));
  return {buffer.data(), buffer.size()};
}

std::string PackElement(const LearnedSpeed& speed) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(4);
  packer.pack(speed.upstream_id);
  packer.pack(speed.started_unix_ms);
  packer.pack(speed.speed);
  packer.pack(speed.samples);
  return {buffer.data(), buffer.size()};
}

std::string PackElement(const LearnedWork& work) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(6);
  PackEndpoint(packer, work.listener);
  packer.pack(work.mean_ms);
  packer.pack(work.median_ms);
  packer.pack(work.p95_ms);
  packer.pack(work.samples);
  return {buffer.data(), buffer.size()};
}

// The elements of a list that fit into one datagram.
struct Group {
  uint32_t count = 0;
  std::string bytes;
};

template <typename T>
std::vector<Group> SplitList(const std::vector<T>& list,
                             const std::string& service) {
  const size_t capacity =
      kMaxSchedulingMessageBytes - kMaxHeaderBytes - service.size();
  std::vector<Group> groups(1);
  for (const T& item : list) {
    const std::string element = PackElement(item);
    if (groups.back().bytes.size() + element.size() > capacity) {
      groups.emplace_back();
    }
    groups.back().bytes += element;
    ++groups.back().count;
  }
  return groups;
}

void PackGroup(Packer& packer, msgpack::sbuffer& buffer, const Group& group) {
  packer.pack_array(group.count);
  buffer.write(group.bytes.data(), group.bytes.size());
}

// Appends the datagrams of one message.
class Encoder {
 public:
  explicit Encoder(const std::string& service) : m_service(service) {}

  std::vector<Datagram> operator()(const PlaceMessage& message) const {
    const auto& ids = message.excluded_upstream_ids;
    // The last ones are those that failed most recently.
    const size_t first =
        ids.size() - std::min<size_t>(ids.size(), kMaxExcludedUpstreams);
    return Encode(
        message.forwarded_for ? MessageType::kForward : MessageType::kPlace,
        message.forwarded_for ? 8 : 6, [&](Packer& packer) {
          if (message.forwarded_for) {
            PackEndpoint(packer, *message.forwarded_for);
          }
          packer.pack(message.token);
          PackEndpoint(packer, message.listener);
          packer.pack(message.client_address);
          packer.pack(ToMs(message.syn_age));
          packer.pack_array(static_cast<uint32_t>(ids.size() - first));
          for (size_t i = first; i < ids.size(); ++i) {
            packer.pack(ids[i]);
          }
        });
  }

  std::vector<Datagram> operator()(const GrantMessage& message) const {
    return Encode(MessageType::kGrant, 2, [&](Packer& packer) {
      packer.pack(message.token);
      packer.pack(message.upstream_id);
    });
  }

  std::vector<Datagram> operator()(const QueuedMessage& message) const {
    return Encode(MessageType::kQueued, 1,
                  [&](Packer& packer) { packer.pack(message.token); });
  }

  std::vector<Datagram> operator()(const RefuseMessage& message) const {
    const uint32_t endpoint_count = uint32_t{message.other.has_value()} +
                                    uint32_t{message.forwarded_for.has_value()};
    return Encode(
        MessageType::kRefuse, 2 + 2 * endpoint_count, [&](Packer& packer) {
          packer.pack(message.token);
          packer.pack(static_cast<uint8_t>(message.reason));
          for (const auto& endpoint : {message.other, message.forwarded_for}) {
            if (endpoint) {
              PackEndpoint(packer, *endpoint);
            }
          }
        });
  }

  std::vector<Datagram> operator()(const CompleteMessage& message) const {
    std::vector<Datagram> datagrams;
    for (const Group& group : SplitList(message.completions, m_service)) {
      datagrams.push_back(EncodeGroups(MessageType::kComplete, {group}, {}));
    }
    return datagrams;
  }

  std::vector<Datagram> operator()(const SnapshotMessage& message) const {
    const std::vector<Group> groups = SplitList(message.flows, m_service);
    std::vector<Datagram> datagrams;
    for (const Group& group : groups) {
      const auto part = static_cast<uint32_t>(datagrams.size());
      const auto count = static_cast<uint32_t>(groups.size());
      datagrams.push_back(EncodeGroups(
          MessageType::kSnapshot, {group},
          count == 1 ? std::vector{message.part, message.part_count}
                     : std::vector{part, count}));
    }
    return datagrams;
  }

  std::vector<Datagram> operator()(const Announcement& message) const {
    return Encode(MessageType::kAnnounce, 8, [&](Packer& packer) {
      packer.pack(message.failure_domain);
      packer.pack(message.capacity_class);
      packer.pack(message.places);
      packer.pack(message.outstanding);
      packer.pack(message.waiting);
      packer.pack(message.free_places);
      packer.pack(ToMs(message.predicted_wait));
      packer.pack(ToMs(message.mean_work));
    });
  }

  std::vector<Datagram> operator()(const LearnedMessage& message) const {
    std::vector<Datagram> datagrams;
    const std::vector<Group> speeds = SplitList(message.speeds, m_service);
    const std::vector<Group> work = SplitList(message.work, m_service);
    if (speeds.size() == 1 && work.size() == 1) {
      Datagram both =
          EncodeGroups(MessageType::kLearned, {speeds[0], work[0]}, {});
      if (both.size() <= kMaxSchedulingMessageBytes) {
        return {std::move(both)};
      }
    }
    for (const Group& group : speeds) {
      datagrams.push_back(
          EncodeGroups(MessageType::kLearned, {group, Group()}, {}));
    }
    for (const Group& group : work) {
      datagrams.push_back(
          EncodeGroups(MessageType::kLearned, {Group(), group}, {}));
    }
    return datagrams;
  }

 private:
  template <typename PackFields>
  std::vector<Datagram> Encode(MessageType type,
                               uint32_t field_count,
                               const PackFields& pack_fields) const {
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    PackHeader(packer, 3 + field_count, type, m_service);
    pack_fields(packer);
    return {ToDatagram(buffer)};
  }

  Datagram EncodeGroups(MessageType type,
                        const std::vector<Group>& groups,
                        const std::vector<uint32_t>& figures) const {
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    PackHeader(packer,
               static_cast<uint32_t>(3 + groups.size() + figures.size()), type,
               m_service);
    for (const Group& group : groups) {
      PackGroup(packer, buffer, group);
    }
    for (const uint32_t figure : figures) {
      packer.pack(figure);
    }
    return ToDatagram(buffer);
  }

  const std::string& m_service;
};

}  // namespace

std::vector<std::vector<uint8_t>> EncodeMessage(
    const SchedulingMessage& message) {
  if (message.service.empty() || message.service.size() > kMaxNameBytes) {
    throw std::invalid_argument("service name must have 1 to 255 bytes");
  }
  return std::visit(Encoder(message.service), message.body);
}

}  // namespace poplarsail::scheduling
