#include "entry/belief_codec.h"

#include <algorithm>
#include <charconv>
#include <sstream>
#include <vector>

#include <fmt/format.h>
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

json Encode(const cluster_state::UpstreamRecord& record, cluster_state::SteadyTime now) {
  // Steady time differs between hosts: what is left of the cold start is sent.
  const auto cold_remaining = std::chrono::duration_cast<cluster_state::milliseconds>(
      std::max(record.cold_until - now, cluster_state::SteadyTime::duration::zero()));
  return {{"id", record.id},
          {"service", record.service},
          {"endpoint", Encode(record.endpoint)},
          {"failure_domain", record.failure_domain},
          {"draining", record.phase == cluster_state::UpstreamPhase::kDraining},
          {"cold_remaining_ms", cold_remaining.count()},
          {"started_unix_ms", record.started_unix_ms}};
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
}

json Encode(const cluster_state::Configuration& configuration, cluster_state::SteadyTime) {
  json listeners = json::array();
  for (const cluster_state::ListenerRecord& listener : configuration.listeners) {
    json shares = json::array();
    for (const cluster_state::ServiceShare& share : listener.shares) {
      shares.push_back({share.service, share.weight});
    }
    listeners.push_back({{"name", listener.name},
                         {"endpoint", Encode(listener.endpoint)},
                         {"shares", shares}});
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

json Encode(const cluster_state::Evacuation& take_out, cluster_state::SteadyTime) {
  return take_out.failure_domain;
}

void Decode(const json& value, cluster_state::SteadyTime, cluster_state::Evacuation* take_out) {
  take_out->failure_domain = value.get<std::string>();
}

// The revision after which changes are sent; 0 where all is sent, since the
// asker knows nothing or removals since then may be forgotten.
uint64_t ChangesSince(const ClusterState& cluster_state,
                      ObjectKind kind,
                      const ListedRevisions& known) {
  const uint64_t since = known[static_cast<size_t>(kind)];
  const bool is_remembered =
      since + cluster_state::kTombstoneRetentionRevisions > cluster_state.listed_revision(kind);
  return is_remembered ? since : 0;
}

// Objects as [name, revision, value]; removed ones have no value.
template <typename Record>
json EncodeKind(const ClusterState& cluster_state,
                ObjectKind kind,
                const ListedRevisions& known,
                cluster_state::SteadyTime now) {
  const uint64_t since = ChangesSince(cluster_state, kind, known);
  json objects = json::array();
  for (const auto& [name, entry] : cluster_state.versioned_set<Record>().entries()) {
    const bool is_sent =
        since == 0 ? entry.value.has_value() : entry.revision > since;
    if (is_sent) {
      objects.push_back(
          {name, entry.revision,
           entry.value ? Encode(*entry.value, now) : json(nullptr)});
    }
  }
  return {{"at", cluster_state.listed_revision(kind)},
          {"since", since},
          {"objects", objects}};
}

// What a message tells of one kind.
template <typename Record>
struct KindNews {
  uint64_t at = 0;
  uint64_t since = 0;
  std::vector<cluster_state::Versioned<Record>> entries;
};

template <typename Record>
KindNews<Record> ReadKind(const json& part, cluster_state::SteadyTime now) {
  KindNews<Record> news;
  news.at = part.at("at").get<uint64_t>();
  news.since = part.at("since").get<uint64_t>();
  for (const json& object : part.at("objects")) {
    cluster_state::Versioned<Record> entry;
    entry.name = object.at(0).get<std::string>();
    entry.revision = object.at(1).get<uint64_t>();
    if (!object.at(2).is_null()) {
      Record record;
      Decode(object.at(2), now, &record);
      entry.value = std::move(record);
    }
    news.entries.push_back(std::move(entry));
  }
  return news;
}

template <typename Record>
void ApplyKind(const KindNews<Record>& news,
               ObjectKind kind,
               ClusterState* cluster_state,
               cluster_state::SteadyTime now) {
  if (news.at == 0) {
    return;
  }
  if (news.since == 0) {
    cluster_state->ApplyList<Record>(kind, news.entries, news.at, now);
    return;
  }
  for (const cluster_state::Versioned<Record>& entry : news.entries) {
    cluster_state->Apply(entry, now);
  }
  // Changes continue what was known up to `since`.
  if (cluster_state->listed_revision(kind) >= news.since) {
    cluster_state->MarkListed(kind, news.at);
  }
}

}  // namespace

ListedRevisions ListedRevisionsOf(const ClusterState& cluster_state) {
  ListedRevisions revisions{};
  for (size_t i = 0; i < revisions.size(); ++i) {
    revisions[i] = cluster_state.listed_revision(static_cast<ObjectKind>(i));
  }
  return revisions;
}

bool IsNewer(const ClusterState& cluster_state, const ListedRevisions& known) {
  const ListedRevisions own = ListedRevisionsOf(cluster_state);
  for (size_t i = 0; i < own.size(); ++i) {
    if (own[i] > known[i]) {
      return true;
    }
  }
  return false;
}

bool LacksKind(const ListedRevisions& known) {
  return std::find(known.begin(), known.end(), 0) != known.end();
}

std::string EncodeBelief(const ClusterState* cluster_state,
                         const ListedRevisions& known,
                         const FleetView& fleet,
                         cluster_state::SteadyTime now) {
  json neighbours = json::array();
  for (const model::Ipv4Endpoint& neighbour : fleet.neighbours) {
    neighbours.push_back(Encode(neighbour));
  }
  json contacts = json::array();
  for (const model::Ipv4Endpoint& contact : fleet.contacts) {
    contacts.push_back(Encode(contact));
  }
  json message = {{"version", kBeliefMessageVersion},
                  {"contacts", contacts},
                  {"host_count", fleet.host_count},
                  {"neighbours", neighbours},
                  {"revisions", fleet.revisions}};
  if (cluster_state != nullptr) {
    message["configuration"] = EncodeKind<cluster_state::Configuration>(
        *cluster_state, ObjectKind::kConfiguration, known, now);
    message["upstreams"] = EncodeKind<cluster_state::UpstreamRecord>(
        *cluster_state, ObjectKind::kUpstreams, known, now);
    message["take_outs"] =
        EncodeKind<cluster_state::Evacuation>(*cluster_state, ObjectKind::kEvacuations, known, now);
  }
  std::string bytes;
  json::to_msgpack(message, bytes);
  return bytes;
}

FleetView MergeBelief(std::string_view message,
                      ClusterState* cluster_state,
                      cluster_state::SteadyTime now) {
  if (message.size() > kMaxBeliefMessageBytes) {
    throw BeliefMessageError(
        fmt::format("{} bytes are too many", message.size()));
  }
  try {
    const json parsed = json::from_msgpack(message);
    const int version = parsed.at("version").get<int>();
    if (version != kBeliefMessageVersion) {
      throw BeliefMessageError(
          fmt::format("version {} is not {}", version, kBeliefMessageVersion));
    }
    FleetView fleet;
    fleet.host_count = parsed.at("host_count").get<uint32_t>();
    for (const json& neighbour : parsed.at("neighbours")) {
      fleet.neighbours.push_back(DecodeEndpoint(neighbour));
    }
    for (const json& contact : parsed.value("contacts", json::array())) {
      fleet.contacts.push_back(DecodeEndpoint(contact));
    }
    fleet.revisions = parsed.value("revisions", ListedRevisions{});
    if (!parsed.contains("configuration")) {
      return fleet;
    }
    // All of it is read before any of it is taken.
    const auto configuration =
        ReadKind<cluster_state::Configuration>(parsed.at("configuration"), now);
    const auto upstreams =
        ReadKind<cluster_state::UpstreamRecord>(parsed.at("upstreams"), now);
    const auto take_outs =
        ReadKind<cluster_state::Evacuation>(parsed.at("take_outs"), now);
    ApplyKind(configuration, ObjectKind::kConfiguration, cluster_state, now);
    ApplyKind(upstreams, ObjectKind::kUpstreams, cluster_state, now);
    ApplyKind(take_outs, ObjectKind::kEvacuations, cluster_state, now);
    return fleet;
  } catch (const json::exception& error) {
    throw BeliefMessageError(error.what());
  }
}

std::string ToText(const ListedRevisions& revisions) {
  return fmt::format("{}", fmt::join(revisions, ","));
}

ListedRevisions ParseListedRevisions(const std::string& text) {
  ListedRevisions revisions{};
  std::istringstream stream(text);
  std::string item;
  for (size_t i = 0; i < revisions.size() && std::getline(stream, item, ',');
       ++i) {
    uint64_t value = 0;
    const auto [end, error] =
        std::from_chars(item.data(), item.data() + item.size(), value);
    revisions[i] = error == std::errc() ? value : 0;
  }
  return revisions;
}

}  // namespace poplarsail::entry
