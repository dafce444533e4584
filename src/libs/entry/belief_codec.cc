#include "entry/belief_codec.h"

#include <algorithm>
#include <charconv>
#include <sstream>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace poplarsail::entry {

namespace {

using belief::Belief;
using belief::Kind;
using nlohmann::json;

json Encode(const model::Ipv4Endpoint& endpoint) {
  return {endpoint.address, endpoint.port};
}

model::Ipv4Endpoint DecodeEndpoint(const json& value) {
  return {value.at(0).get<uint32_t>(), value.at(1).get<uint16_t>()};
}

json Encode(const belief::UpstreamRecord& record, belief::SteadyTime now) {
  // Steady time differs between hosts: what is left of the cold start is sent.
  const auto cold_remaining = std::chrono::duration_cast<belief::milliseconds>(
      std::max(record.cold_until - now, belief::SteadyTime::duration::zero()));
  return {{"id", record.id},
          {"service", record.service},
          {"endpoint", Encode(record.endpoint)},
          {"failure_domain", record.failure_domain},
          {"draining", record.phase == belief::UpstreamPhase::kDraining},
          {"cold_remaining_ms", cold_remaining.count()},
          {"started_unix_ms", record.started_unix_ms}};
}

void Decode(const json& value,
            belief::SteadyTime now,
            belief::UpstreamRecord* record) {
  record->id = value.at("id").get<uint64_t>();
  record->service = value.at("service").get<std::string>();
  record->endpoint = DecodeEndpoint(value.at("endpoint"));
  record->failure_domain = value.at("failure_domain").get<std::string>();
  record->phase = value.at("draining").get<bool>()
                      ? belief::UpstreamPhase::kDraining
                      : belief::UpstreamPhase::kServing;
  const auto cold_remaining = value.at("cold_remaining_ms").get<int64_t>();
  if (cold_remaining > 0) {
    record->cold_until = now + belief::milliseconds(cold_remaining);
  }
  record->started_unix_ms = value.at("started_unix_ms").get<int64_t>();
}

json Encode(const belief::Configuration& configuration, belief::SteadyTime) {
  json listeners = json::array();
  for (const belief::ListenerRecord& listener : configuration.listeners) {
    json shares = json::array();
    for (const belief::ServiceShare& share : listener.shares) {
      shares.push_back({share.service, share.weight});
    }
    listeners.push_back({{"name", listener.name},
                         {"endpoint", Encode(listener.endpoint)},
                         {"shares", shares}});
  }
  json services = json::array();
  for (const belief::ServiceRecord& service : configuration.services) {
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
            belief::SteadyTime,
            belief::Configuration* configuration) {
  configuration->version = value.at("version").get<int64_t>();
  for (const json& item : value.at("listeners")) {
    belief::ListenerRecord listener;
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
      belief::milliseconds(value.at("flow_idle_ms").get<int64_t>());
}

json Encode(const belief::TakeOut& take_out, belief::SteadyTime) {
  return take_out.failure_domain;
}

void Decode(const json& value, belief::SteadyTime, belief::TakeOut* take_out) {
  take_out->failure_domain = value.get<std::string>();
}

// The revision after which changes are sent; 0 where all is sent, since the
// asker knows nothing or removals since then may be forgotten.
uint64_t ChangesSince(const Belief& belief,
                      Kind kind,
                      const ListedRevisions& known) {
  const uint64_t since = known[static_cast<size_t>(kind)];
  const bool is_remembered =
      since + belief::kTombstoneRevisions > belief.listed_revision(kind);
  return is_remembered ? since : 0;
}

// Objects as [name, revision, value]; removed ones have no value.
template <typename Record>
json EncodeKind(const Belief& belief,
                Kind kind,
                const ListedRevisions& known,
                belief::SteadyTime now) {
  const uint64_t since = ChangesSince(belief, kind, known);
  json objects = json::array();
  for (const auto& [name, entry] : belief.set_of<Record>().entries()) {
    const bool is_sent =
        since == 0 ? entry.value.has_value() : entry.revision > since;
    if (is_sent) {
      objects.push_back(
          {name, entry.revision,
           entry.value ? Encode(*entry.value, now) : json(nullptr)});
    }
  }
  return {{"at", belief.listed_revision(kind)},
          {"since", since},
          {"objects", objects}};
}

// What a message tells of one kind.
template <typename Record>
struct KindNews {
  uint64_t at = 0;
  uint64_t since = 0;
  std::vector<belief::Versioned<Record>> entries;
};

template <typename Record>
KindNews<Record> ReadKind(const json& part, belief::SteadyTime now) {
  KindNews<Record> news;
  news.at = part.at("at").get<uint64_t>();
  news.since = part.at("since").get<uint64_t>();
  for (const json& object : part.at("objects")) {
    belief::Versioned<Record> entry;
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
               Kind kind,
               Belief* belief,
               belief::SteadyTime now) {
  if (news.at == 0) {
    return;
  }
  if (news.since == 0) {
    belief->ApplyList<Record>(kind, news.entries, news.at, now);
    return;
  }
  for (const belief::Versioned<Record>& entry : news.entries) {
    belief->Apply(entry, now);
  }
  // Changes continue what was known up to `since`.
  if (belief->listed_revision(kind) >= news.since) {
    belief->MarkListed(kind, news.at);
  }
}

}  // namespace

ListedRevisions ListedRevisionsOf(const Belief& belief) {
  ListedRevisions revisions{};
  for (size_t i = 0; i < revisions.size(); ++i) {
    revisions[i] = belief.listed_revision(static_cast<Kind>(i));
  }
  return revisions;
}

bool IsNewer(const Belief& belief, const ListedRevisions& known) {
  const ListedRevisions own = ListedRevisionsOf(belief);
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

std::string EncodeBelief(const Belief* belief,
                         const ListedRevisions& known,
                         const FleetView& fleet,
                         belief::SteadyTime now) {
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
  if (belief != nullptr) {
    message["configuration"] = EncodeKind<belief::Configuration>(
        *belief, Kind::kConfiguration, known, now);
    message["upstreams"] = EncodeKind<belief::UpstreamRecord>(
        *belief, Kind::kUpstreams, known, now);
    message["take_outs"] =
        EncodeKind<belief::TakeOut>(*belief, Kind::kTakeOuts, known, now);
  }
  std::string bytes;
  json::to_msgpack(message, bytes);
  return bytes;
}

FleetView MergeBelief(std::string_view message,
                      Belief* belief,
                      belief::SteadyTime now) {
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
        ReadKind<belief::Configuration>(parsed.at("configuration"), now);
    const auto upstreams =
        ReadKind<belief::UpstreamRecord>(parsed.at("upstreams"), now);
    const auto take_outs =
        ReadKind<belief::TakeOut>(parsed.at("take_outs"), now);
    ApplyKind(configuration, Kind::kConfiguration, belief, now);
    ApplyKind(upstreams, Kind::kUpstreams, belief, now);
    ApplyKind(take_outs, Kind::kTakeOuts, belief, now);
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
