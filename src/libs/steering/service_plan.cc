#include "steering/service_plan.h"

#include <algorithm>
#include <bit>
#include <map>
#include <set>
#include <utility>

#include <nlohmann/json.hpp>

#include "steering/steering_constants.h"

namespace poplarsail::steering {

namespace {

using model::ValidationError;

constexpr int64_t kMaxNameLength = 256;

nlohmann::json ToJson(const PlannedUpstream& upstream) {
  nlohmann::json json = {{"id", upstream.id},
                         {"name", upstream.name},
                         {"address", model::ToString(upstream.address)},
                         {"failureDomain", upstream.failure_domain},
                         {"weight", upstream.weight}};
  if (upstream.is_leaving()) {
    json["leavesAt"] = model::ToUnixMillis(upstream.leaves_at);
  }
  return json;
}

PlannedUpstream UpstreamFromJson(const nlohmann::json& json,
                                 const std::string& source) {
  PlannedUpstream upstream;
  upstream.id = json.at("id").get<UpstreamId>();
  upstream.name = json.at("name").get<std::string>();
  upstream.failure_domain = json.at("failureDomain").get<std::string>();
  upstream.weight = json.at("weight").get<uint32_t>();
  if (json.contains("leavesAt")) {
    upstream.leaves_at =
        model::FromUnixMillis(json.at("leavesAt").get<int64_t>());
  }
  const auto address =
      model::ParseEndpoint(json.at("address").get<std::string>());
  if (!address || upstream.id == kNoUpstream ||
      upstream.name.size() > kMaxNameLength) {
    throw ValidationError(source, "upstreams",
                          "has an entry with an invalid id, name or address");
  }
  upstream.address = *address;
  return upstream;
}

using ChangeTimes = std::pair<TimePoint, TimePoint>;

// Collects the distinct pairs of times of owner changes. The JSON form of a
// change refers to its times by an index into this table, so that changes can
// share them.
class ChangeTimeTable {
 public:
  size_t IndexOf(const OwnerChange& change) {
    const ChangeTimes times{change.announced_at, change.active_from};
    const auto [found, is_new] = m_indexes.emplace(times, m_times.size());
    if (is_new) {
      m_times.push_back(times);
    }
    return found->second;
  }

  nlohmann::json ToJson() const {
    nlohmann::json json = nlohmann::json::array();
    for (const auto& [announced_at, active_from] : m_times) {
      json.push_back({model::ToUnixMillis(announced_at),
                      model::ToUnixMillis(active_from)});
    }
    return json;
  }

 private:
  std::map<ChangeTimes, size_t> m_indexes;
  std::vector<ChangeTimes> m_times;
};

// A chain is written as its oldest owner alone, or as
// [oldest owner, upstream, times, upstream, times...], where "times" is an
// index into the plan's table of times.
nlohmann::json ToJson(const OwnerChain& chain, ChangeTimeTable* times) {
  if (chain.changes.empty()) {
    return chain.oldest_owner;
  }
  nlohmann::json json = {chain.oldest_owner};
  for (const OwnerChange& change : chain.changes) {
    json.push_back(change.upstream);
    json.push_back(times->IndexOf(change));
  }
  return json;
}

std::vector<ChangeTimes> TimesFromJson(const nlohmann::json& json) {
  std::vector<ChangeTimes> times;
  for (const nlohmann::json& item : json) {
    times.emplace_back(model::FromUnixMillis(item.at(0).get<int64_t>()),
                       model::FromUnixMillis(item.at(1).get<int64_t>()));
  }
  return times;
}

OwnerChain ChainFromJson(const nlohmann::json& json,
                         const std::vector<ChangeTimes>& times,
                         const std::string& source) {
  OwnerChain chain;
  if (!json.is_array()) {
    chain.oldest_owner = json.get<UpstreamId>();
    return chain;
  }
  chain.oldest_owner = json.at(0).get<UpstreamId>();
  for (size_t i = 1; i < json.size(); i += 2) {
    const auto index = json.at(i + 1).get<size_t>();
    if (index >= times.size()) {
      throw ValidationError(source, "chains",
                            "refers to times that are not in the plan");
    }
    chain.changes.push_back({json.at(i).get<UpstreamId>(), times[index].first,
                             times[index].second});
  }
  return chain;
}

void ValidateChains(const std::vector<PlannedUpstream>& upstreams,
                    const std::vector<OwnerChain>& chains,
                    const std::string& source) {
  const size_t count = chains.size();
  if (!std::has_single_bit(count) || count > kMaxBuckets) {
    throw ValidationError(
        source, "chains",
        "must contain a power-of-two number of buckets, at most 32768");
  }
  std::set<UpstreamId> known = {kNoUpstream};
  for (const PlannedUpstream& upstream : upstreams) {
    known.insert(upstream.id);
  }
  for (const OwnerChain& chain : chains) {
    bool is_known = known.contains(chain.oldest_owner);
    for (const OwnerChange& change : chain.changes) {
      is_known = is_known && known.contains(change.upstream);
    }
    if (!is_known) {
      throw ValidationError(source, "chains",
                            "refers to an upstream that is not in the plan");
    }
  }
}

}  // namespace

ServicePlan::ServicePlan(std::string service,
                         model::Endpoint address,
                         model::Protocol protocol,
                         uint32_t generation,
                         uint64_t hash_seed,
                         UpstreamId next_upstream_id,
                         std::vector<PlannedUpstream> upstreams,
                         std::vector<OwnerChain> chains)
    : m_service(std::move(service)),
      m_address(std::move(address)),
      m_protocol(protocol),
      m_generation(generation),
      m_hash_seed(hash_seed),
      m_next_upstream_id(next_upstream_id),
      m_upstreams(std::move(upstreams)) {
  for (const PlannedUpstream& upstream : m_upstreams) {
    m_upstream_ids.push_back(upstream.id);
  }
  m_oldest_owners.reserve(chains.size());
  m_owner_change_offsets.reserve(chains.size() + 1);
  for (const OwnerChain& chain : chains) {
    m_oldest_owners.push_back(chain.oldest_owner);
    m_owner_change_offsets.push_back(
        static_cast<uint32_t>(m_owner_changes.size()));
    m_owner_changes.insert(m_owner_changes.end(), chain.changes.begin(),
                           chain.changes.end());
  }
  m_owner_change_offsets.push_back(
      static_cast<uint32_t>(m_owner_changes.size()));
}

OwnerChain ServicePlan::Chain(uint32_t bucket) const {
  const auto changes = OwnerChanges(bucket);
  return {m_oldest_owners[bucket], {changes.begin(), changes.end()}};
}

UpstreamId ServicePlan::OwnerOfUnrecorded(uint32_t bucket,
                                          TimePoint now) const {
  if (FindUpstreamAt(m_oldest_owners[bucket], now) != nullptr) {
    return m_oldest_owners[bucket];
  }
  for (const OwnerChange& change : OwnerChanges(bucket)) {
    if (change.active_from > now) {
      break;
    }
    if (FindUpstreamAt(change.upstream, now) != nullptr) {
      return change.upstream;
    }
  }
  return kNoUpstream;
}

UpstreamId ServicePlan::OwnerOfNewFlows(uint32_t bucket, TimePoint now) const {
  UpstreamId owner = m_oldest_owners[bucket];
  for (const OwnerChange& change : OwnerChanges(bucket)) {
    if (change.active_from > now) {
      break;
    }
    owner = change.upstream;
  }
  const PlannedUpstream* upstream = FindUpstream(owner);
  const bool takes_flows = upstream != nullptr && !upstream->is_leaving();
  return takes_flows ? owner : kNoUpstream;
}

const PlannedUpstream* ServicePlan::FindUpstreamAt(UpstreamId id,
                                                   TimePoint now) const {
  const PlannedUpstream* upstream = FindUpstream(id);
  const bool is_present = upstream != nullptr && now < upstream->leaves_at;
  return is_present ? upstream : nullptr;
}

const PlannedUpstream* ServicePlan::FindUpstream(UpstreamId id) const {
  const auto found =
      std::lower_bound(m_upstream_ids.begin(), m_upstream_ids.end(), id);
  if (found == m_upstream_ids.end() || *found != id) {
    return nullptr;
  }
  return &m_upstreams[found - m_upstream_ids.begin()];
}

size_t ServicePlan::memory_bytes() const {
  return sizeof(*this) + m_upstreams.capacity() * sizeof(PlannedUpstream) +
         m_oldest_owners.capacity() * sizeof(UpstreamId) +
         m_owner_change_offsets.capacity() * sizeof(uint32_t) +
         m_owner_changes.capacity() * sizeof(OwnerChange);
}

nlohmann::json ToJson(const ServicePlan& plan) {
  nlohmann::json upstreams = nlohmann::json::array();
  for (const PlannedUpstream& upstream : plan.upstreams()) {
    upstreams.push_back(ToJson(upstream));
  }
  ChangeTimeTable times;
  nlohmann::json chains = nlohmann::json::array();
  for (uint32_t bucket = 0; bucket < plan.bucket_count(); ++bucket) {
    chains.push_back(ToJson(plan.Chain(bucket), &times));
  }
  return {
      {"service", plan.service()},
      {"address", model::ToString(plan.address())},
      {"protocol", plan.protocol() == model::Protocol::kTcp ? "tcp" : "udp"},
      {"generation", plan.generation()},
      {"hashSeed", plan.hash_seed()},
      {"nextUpstreamId", plan.next_upstream_id()},
      {"upstreams", upstreams},
      {"times", times.ToJson()},
      {"chains", chains}};
}

ServicePlan ServicePlanFromJson(const nlohmann::json& json,
                                const std::string& source) {
  try {
    const auto address =
        model::ParseEndpoint(json.at("address").get<std::string>());
    if (!address) {
      throw ValidationError(source, "address", "is not an address and a port");
    }
    std::vector<PlannedUpstream> upstreams;
    for (const nlohmann::json& item : json.at("upstreams")) {
      upstreams.push_back(UpstreamFromJson(item, source));
    }
    std::sort(upstreams.begin(), upstreams.end(),
              [](const PlannedUpstream& a, const PlannedUpstream& b) {
                return a.id < b.id;
              });
    std::vector<OwnerChain> chains;
    const std::vector<ChangeTimes> times = TimesFromJson(json.at("times"));
    for (const nlohmann::json& item : json.at("chains")) {
      chains.push_back(ChainFromJson(item, times, source));
    }
    ValidateChains(upstreams, chains, source);
    return ServicePlan(json.at("service").get<std::string>(), *address,
                       json.at("protocol").get<std::string>() == "udp"
                           ? model::Protocol::kUdp
                           : model::Protocol::kTcp,
                       json.at("generation").get<uint32_t>(),
                       json.at("hashSeed").get<uint64_t>(),
                       json.at("nextUpstreamId").get<UpstreamId>(),
                       std::move(upstreams), std::move(chains));
  } catch (const nlohmann::json::exception& error) {
    throw ValidationError(source, "spec", error.what());
  }
}

}  // namespace poplarsail::steering
