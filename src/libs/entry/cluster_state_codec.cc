#include "entry/cluster_state_codec.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <sstream>
#include <vector>

#include <fmt/format.h>
#include <msgpack.hpp>
#include <nlohmann/json.hpp>

namespace poplarsail::entry {

namespace {

using cluster_state::ClusterState;
using cluster_state::ObjectKind;
using nlohmann::json;

json Encode(const model::Ipv4Endpoint& endpoint) {
  return {endpoint.address, endpoint.port};
}

model::Ipv4Endpoint DecodeEndpoint(const json& value) {
  return {value.at(0).get<uint32_t>(), value.at(1).get<uint16_t>()};
}

json Encode(const cluster_state::UpstreamRecord& record,
            cluster_state::SteadyTime now) {
  // Steady clocks differ between hosts, so the remaining time of the cold start
  // is sent.
  const auto cold_remaining =
      std::chrono::duration_cast<cluster_state::milliseconds>(
          std::max(record.cold_until - now,
                   cluster_state::SteadyTime::duration::zero()));
  return {{"id", record.id},
          {"service", record.service},
          {"endpoint", Encode(record.endpoint)},
          {"failure_domain", record.failure_domain},
          {"draining", record.phase == cluster_state::UpstreamPhase::kDraining},
          {"cold_remaining_ms", cold_remaining.count()},
          {"started_unix_ms", record.started_unix_ms},
          {"slots", record.slots}};
}

void Decode(const json& value,
            cluster_state::SteadyTime now,
            cluster_state::UpstreamRecord* record) {
  record->id = value.at("id").get<uint64_t>();
  record->service = value.at("service").get<std::string>();
  record->endpoint = DecodeEndpoint(value.at("endpoint"));
  record->failure_domain = value.at("failure_domain").get<std::string>();
  record->phase = value.at("draining").get<bool>()
                      ? cluster_state::UpstreamPhase::kDraining
                      : cluster_state::UpstreamPhase::kServing;
  const auto cold_remaining = value.at("cold_remaining_ms").get<int64_t>();
  if (cold_remaining > 0) {
    record->cold_until = now + cluster_state::milliseconds(cold_remaining);
  }
  record->started_unix_ms = value.at("started_unix_ms").get<int64_t>();
  // Hosts of earlier releases do not send it.
  record->slots = value.value("slots", uint32_t{0});
}

json Encode(const cluster_state::Configuration& configuration,
            cluster_state::SteadyTime) {
  json listeners = json::array();
  for (const cluster_state::ListenerRecord& listener :
       configuration.listeners) {
    json shares = json::array();
    for (const cluster_state::ServiceShare& share : listener.shares) {
      shares.push_back({share.service, share.weight});
    }
    json encoded = {{"name", listener.name},
                    {"endpoint", Encode(listener.endpoint)},
                    {"shares", shares},
                    {"latency_target_ms", listener.latency_target.count()},
                    {"timeout_ms", listener.timeout.count()}};
    if (listener.priority) {
      encoded["priority"] = *listener.priority;
    }
    listeners.push_back(std::move(encoded));
  }
  json services = json::array();
  for (const cluster_state::ServiceRecord& service : configuration.services) {
    services.push_back(
        {{"name", service.name},
         {"cold_flows_per_second", service.cold_flows_per_second},
         {"health_path", service.health_path}});
  }
  return {{"version", configuration.version},
          {"listeners", listeners},
          {"services", services},
          {"flow_idle_ms", configuration.flow_idle_timeout.count()}};
}

void Decode(const json& value,
            cluster_state::SteadyTime,
            cluster_state::Configuration* configuration) {
  configuration->version = value.at("version").get<int64_t>();
  for (const json& item : value.at("listeners")) {
    cluster_state::ListenerRecord listener;
    listener.name = item.at("name").get<std::string>();
    listener.endpoint = DecodeEndpoint(item.at("endpoint"));
    for (const json& share : item.at("shares")) {
      listener.shares.push_back(
          {share.at(0).get<std::string>(), share.at(1).get<uint32_t>()});
    }
    // Hosts of earlier releases do not send these.
    if (item.contains("priority")) {
      listener.priority = item.at("priority").get<uint32_t>();
    }
    listener.latency_target = cluster_state::milliseconds(
        item.value("latency_target_ms", int64_t{0}));
    listener.timeout =
        cluster_state::milliseconds(item.value("timeout_ms", int64_t{0}));
    configuration->listeners.push_back(std::move(listener));
  }
  for (const json& item : value.at("services")) {
    configuration->services.push_back(
        {item.at("name").get<std::string>(),
         item.at("cold_flows_per_second").get<double>(),
         item.at("health_path").get<std::string>()});
  }
  configuration->flow_idle_timeout =
      cluster_state::milliseconds(value.at("flow_idle_ms").get<int64_t>());
}

json Encode(const cluster_state::Evacuation& evacuation,
            cluster_state::SteadyTime) {
  return evacuation.failure_domain;
}

void Decode(const json& value,
            cluster_state::SteadyTime,
            cluster_state::Evacuation* evacuation) {
  evacuation->failure_domain = value.get<std::string>();
}

// Returns the revision after which changes are sent; 0 if all objects have to
// be sent because the querying host knows none, or because removals since its
// revision may be unknown here.
uint64_t ChangesSince(const ClusterState& cluster_state,
                      ObjectKind kind,
                      const KnownVersions& known) {
  const cluster_state::StoreVersion& since =
      known.listed[static_cast<size_t>(kind)];
  return cluster_state.KnowsChangesSince(kind, since) ? since.revision : 0;
}

// Encodes objects as [name, revision, value]; the value of tombstones is null.
template <typename Record>
json EncodeKind(const ClusterState& cluster_state,
                ObjectKind kind,
                const KnownVersions& known,
                cluster_state::SteadyTime now) {
  const uint64_t since = ChangesSince(cluster_state, kind, known);
  json objects = json::array();
  for (const auto& [name, entry] :
       cluster_state.versioned_set<Record>().entries()) {
    const bool is_sent =
        since == 0 ? entry.value.has_value() : entry.revision > since;
    if (is_sent) {
      objects.push_back(
          {name, entry.revision,
           entry.value ? Encode(*entry.value, now) : json(nullptr)});
    }
  }
  const cluster_state::StoreVersion& listed =
      cluster_state.listed_version(kind);
  return {{"at", listed.revision},
          {"era", listed.era},
          {"since", since},
          {"objects", objects}};
}

// Returns whether a host with `known` needs the configuration in force besides
// the changes: after a restore of the store it may be newer than the listed
// one.
bool LacksConfigurationInForce(const ClusterState& cluster_state,
                               const KnownVersions& known) {
  const auto& in_force = cluster_state.configuration();
  if (!in_force || in_force->version <= known.configuration.value_or(0)) {
    return false;
  }
  const uint64_t since =
      ChangesSince(cluster_state, ObjectKind::kConfiguration, known);
  const auto& entries =
      cluster_state.versioned_set<cluster_state::Configuration>().entries();
  return std::none_of(entries.begin(), entries.end(), [&](const auto& item) {
    const auto& entry = item.second;
    return entry.value && entry.value->version == in_force->version &&
           entry.revision > since;
  });
}

// The part of a message for one kind.
template <typename Record>
struct KindUpdate {
  cluster_state::StoreVersion version;
  uint64_t since = 0;
  std::vector<cluster_state::Versioned<Record>> entries;
};

template <typename Record>
KindUpdate<Record> DecodeKind(const json& part, cluster_state::SteadyTime now) {
  KindUpdate<Record> update;
  // Hosts of earlier releases send no era.
  update.version = {part.value("era", uint64_t{0}),
                    part.at("at").get<uint64_t>()};
  update.since = part.at("since").get<uint64_t>();
  for (const json& object : part.at("objects")) {
    cluster_state::Versioned<Record> entry;
    entry.name = object.at(0).get<std::string>();
    entry.revision = object.at(1).get<uint64_t>();
    if (!object.at(2).is_null()) {
      Record record;
      Decode(object.at(2), now, &record);
      entry.value = std::move(record);
    }
    update.entries.push_back(std::move(entry));
  }
  return update;
}

template <typename Record>
void ApplyKind(const KindUpdate<Record>& update,
               ObjectKind kind,
               ClusterState* cluster_state,
               cluster_state::SteadyTime now) {
  if (update.version.revision == 0) {
    return;
  }
  if (update.since == 0) {
    cluster_state->ApplyList<Record>(kind, update.entries, update.version, now);
    return;
  }
  const cluster_state::StoreVersion& listed =
      cluster_state->listed_version(kind);
  if (update.version.era != listed.era) {
    return;
  }
  for (const cluster_state::Versioned<Record>& entry : update.entries) {
    cluster_state->Apply(entry, now);
  }
  // Without the revisions up to `since` the changes leave a gap.
  if (listed.revision >= update.since) {
    cluster_state->MarkListed(kind, update.version);
  }
}

// Numbers in the text of KnownVersions: a revision and an era of each kind and
// the version of the configuration.
constexpr size_t kKnownNumbers = 2 * cluster_state::kObjectKindCount + 1;

KnownVersions KnownVersionsOf(std::vector<uint64_t> numbers) {
  KnownVersions known;
  if (numbers.size() == kKnownNumbers) {
    known.configuration = static_cast<int64_t>(numbers.back());
  }
  numbers.resize(kKnownNumbers);
  for (size_t i = 0; i < known.listed.size(); ++i) {
    known.listed[i] = {numbers[known.listed.size() + i], numbers[i]};
  }
  return known;
}

std::vector<uint64_t> RevisionsOf(const KnownVersions& known) {
  std::vector<uint64_t> revisions;
  for (const cluster_state::StoreVersion& listed : known.listed) {
    revisions.push_back(listed.revision);
  }
  return revisions;
}

// Returns the capacities of `count` local peers, or none if the message lacks
// them.
std::vector<uint32_t> DecodeCapacities(const json& message, size_t count) {
  const json listed = message.value("capacities", json::array());
  if (listed.size() != count) {
    return {};
  }
  std::vector<uint32_t> capacities;
  for (const json& item : listed) {
    const bool is_valid =
        item.is_number_unsigned() && item.get<uint64_t>() <= kMaxCpuThousandths;
    capacities.push_back(is_valid ? item.get<uint32_t>() : 0);
  }
  return capacities;
}

// Levels of a state message: message, kind, objects, object, record, listeners,
// listener, shares, share.
constexpr size_t kMaxMessageLevels = 16;

// Rejects messages that are nested more deeply than kMaxMessageLevels. Decoding
// them would recurse once a level.
class NestingLimit : public msgpack::null_visitor {
 public:
  bool start_array(uint32_t) { return ++m_level <= kMaxMessageLevels; }
  bool start_map(uint32_t) { return ++m_level <= kMaxMessageLevels; }
  bool end_array() { return --m_level < kMaxMessageLevels; }
  bool end_map() { return --m_level < kMaxMessageLevels; }

 private:
  size_t m_level = 0;
};

bool IsNestingLimited(std::string_view message) {
  NestingLimit limit;
  return msgpack::parse(message.data(), message.size(), limit);
}

}  // namespace

KnownVersions KnownVersionsOf(const ClusterState& cluster_state) {
  KnownVersions known;
  for (size_t i = 0; i < known.listed.size(); ++i) {
    known.listed[i] = cluster_state.listed_version(static_cast<ObjectKind>(i));
  }
  known.configuration = cluster_state.configuration()
                            ? cluster_state.configuration()->version
                            : 0;
  return known;
}

bool IsNewer(const ClusterState& cluster_state, const KnownVersions& known) {
  const KnownVersions own = KnownVersionsOf(cluster_state);
  for (size_t i = 0; i < own.listed.size(); ++i) {
    if (own.listed[i] > known.listed[i]) {
      return true;
    }
  }
  return known.configuration && own.configuration > known.configuration;
}

bool LacksKind(const KnownVersions& known) {
  return std::any_of(known.listed.begin(), known.listed.end(),
                     [](const auto& listed) { return listed.revision == 0; });
}

bool NeedsAllUpstreams(const ClusterState& cluster_state,
                       const KnownVersions& known) {
  return LacksKind(known) ||
         ChangesSince(cluster_state, ObjectKind::kUpstreams, known) == 0;
}

std::string EncodeClusterState(const ClusterState* cluster_state,
                               const KnownVersions& known,
                               const FleetView& fleet,
                               cluster_state::SteadyTime now) {
  json local_peers = json::array();
  for (const model::Ipv4Endpoint& peer : fleet.local_peers) {
    local_peers.push_back(Encode(peer));
  }
  json remote_peers = json::array();
  for (const model::Ipv4Endpoint& peer : fleet.remote_peers) {
    remote_peers.push_back(Encode(peer));
  }
  json message = {
      {"version", kStateMessageVersion},       {"contacts", remote_peers},
      {"host_count", fleet.host_count},        {"neighbours", local_peers},
      {"revisions", RevisionsOf(fleet.known)}, {"known", ToText(fleet.known)}};
  if (!fleet.local_capacities.empty()) {
    message["capacities"] = fleet.local_capacities;
  }
  if (cluster_state != nullptr) {
    message["configuration"] = EncodeKind<cluster_state::Configuration>(
        *cluster_state, ObjectKind::kConfiguration, known, now);
    if (LacksConfigurationInForce(*cluster_state, known)) {
      message["configuration_in_force"] =
          Encode(*cluster_state->configuration(), now);
    }
    message["upstreams"] = EncodeKind<cluster_state::UpstreamRecord>(
        *cluster_state, ObjectKind::kUpstreams, known, now);
    message["take_outs"] = EncodeKind<cluster_state::Evacuation>(
        *cluster_state, ObjectKind::kEvacuations, known, now);
  }
  std::string bytes;
  json::to_msgpack(message, bytes);
  return bytes;
}

FleetView MergeClusterState(std::string_view message,
                            ClusterState* cluster_state,
                            cluster_state::SteadyTime now) {
  if (message.size() > kMaxStateMessageBytes) {
    throw StateMessageError(fmt::format(
        "message of {} bytes exceeds the size limit", message.size()));
  }
  if (!IsNestingLimited(message)) {
    throw StateMessageError("message is nested too deeply or is cut off");
  }
  try {
    const json parsed = json::from_msgpack(message);
    const int version = parsed.at("version").get<int>();
    if (version != kStateMessageVersion) {
      throw StateMessageError(
          fmt::format("unsupported message version {}, expected {}", version,
                      kStateMessageVersion));
    }
    FleetView fleet;
    fleet.host_count = parsed.at("host_count").get<uint32_t>();
    for (const json& peer : parsed.at("neighbours")) {
      fleet.local_peers.push_back(DecodeEndpoint(peer));
    }
    for (const json& peer : parsed.value("contacts", json::array())) {
      fleet.remote_peers.push_back(DecodeEndpoint(peer));
    }
    fleet.local_capacities = DecodeCapacities(parsed, fleet.local_peers.size());
    fleet.known = parsed.contains("known")
                      ? ParseKnownVersions(parsed.at("known"))
                      : KnownVersionsOf(
                            parsed.value("revisions", std::vector<uint64_t>()));
    if (!parsed.contains("configuration")) {
      return fleet;
    }
    // Decode the whole message before applying any part of it.
    const auto configuration = DecodeKind<cluster_state::Configuration>(
        parsed.at("configuration"), now);
    const auto upstreams =
        DecodeKind<cluster_state::UpstreamRecord>(parsed.at("upstreams"), now);
    const auto evacuations =
        DecodeKind<cluster_state::Evacuation>(parsed.at("take_outs"), now);
    std::optional<cluster_state::Configuration> in_force;
    if (parsed.contains("configuration_in_force")) {
      in_force.emplace();
      Decode(parsed.at("configuration_in_force"), now, &*in_force);
    }
    ApplyKind(configuration, ObjectKind::kConfiguration, cluster_state, now);
    // The newest configuration wins, whatever the era of its source.
    if (in_force) {
      cluster_state->UseConfiguration(*in_force);
    }
    for (const auto& entry : configuration.entries) {
      if (entry.value) {
        cluster_state->UseConfiguration(*entry.value);
      }
    }
    ApplyKind(upstreams, ObjectKind::kUpstreams, cluster_state, now);
    ApplyKind(evacuations, ObjectKind::kEvacuations, cluster_state, now);
    return fleet;
  } catch (const json::exception& error) {
    throw StateMessageError(error.what());
  }
}

std::string ToText(const KnownVersions& known) {
  std::vector<uint64_t> eras;
  for (const cluster_state::StoreVersion& listed : known.listed) {
    eras.push_back(listed.era);
  }
  const std::string listed = fmt::format(
      "{},{}", fmt::join(RevisionsOf(known), ","), fmt::join(eras, ","));
  return known.configuration
             ? fmt::format("{},{}", listed, *known.configuration)
             : listed;
}

KnownVersions ParseKnownVersions(const std::string& text) {
  std::vector<uint64_t> numbers;
  std::istringstream stream(text);
  std::string item;
  while (std::getline(stream, item, ',') && numbers.size() < kKnownNumbers) {
    uint64_t value = 0;
    const auto [end, error] =
        std::from_chars(item.data(), item.data() + item.size(), value);
    numbers.push_back(error == std::errc() ? value : 0);
  }
  return KnownVersionsOf(std::move(numbers));
}

}  // namespace poplarsail::entry
