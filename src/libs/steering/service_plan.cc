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

constexpr int64_t kTextLimit = 256;

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
      upstream.name.size() > kTextLimit) {
    throw ValidationError(source, "upstreams",
                          "has an entry with a bad id, name or address");
  }
  upstream.address = *address;
  return upstream;
}

using LinkTimes = std::pair<TimePoint, TimePoint>;

// Gives each pair of times that links share a number.
class TimeTable {
 public:
  size_t IndexOf(const BucketLink& link) {
    const LinkTimes times{link.announced_at, link.active_from};
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
  std::map<LinkTimes, size_t> m_indexes;
  std::vector<LinkTimes> m_times;
};

// A chain is its base alone, or [base, upstream, times, upstream, times...],
// where times is a position in the plan's table.
nlohmann::json ToJson(const BucketChain& chain, TimeTable* times) {
  if (chain.links.empty()) {
    return chain.base;
  }
  nlohmann::json json = {chain.base};
  for (const BucketLink& link : chain.links) {
    json.push_back(link.upstream);
    json.push_back(times->IndexOf(link));
  }
  return json;
}

std::vector<LinkTimes> TimesFromJson(const nlohmann::json& json) {
  std::vector<LinkTimes> times;
  for (const nlohmann::json& item : json) {
    times.emplace_back(model::FromUnixMillis(item.at(0).get<int64_t>()),
                       model::FromUnixMillis(item.at(1).get<int64_t>()));
  }
  return times;
}

BucketChain ChainFromJson(const nlohmann::json& json,
                          const std::vector<LinkTimes>& times,
                          const std::string& source) {
  BucketChain chain;
  if (!json.is_array()) {
    chain.base = json.get<UpstreamId>();
    return chain;
  }
  chain.base = json.at(0).get<UpstreamId>();
  for (size_t i = 1; i < json.size(); i += 2) {
    const auto index = json.at(i + 1).get<size_t>();
    if (index >= times.size()) {
      throw ValidationError(source, "chains",
                            "names times that are not in the plan");
    }
    chain.links.push_back({json.at(i).get<UpstreamId>(), times[index].first,
                           times[index].second});
  }
  return chain;
}

void CheckChains(const std::vector<PlannedUpstream>& upstreams,
                 const std::vector<BucketChain>& chains,
                 const std::string& source) {
  const size_t count = chains.size();
  if (!std::has_single_bit(count) || count > kMaxBuckets) {
    throw ValidationError(source, "chains",
                          "must hold a power of two of buckets, 32768 at most");
  }
  std::set<UpstreamId> known = {kNoUpstream};
  for (const PlannedUpstream& upstream : upstreams) {
    known.insert(upstream.id);
  }
  for (const BucketChain& chain : chains) {
    bool is_known = known.contains(chain.base);
    for (const BucketLink& link : chain.links) {
      is_known = is_known && known.contains(link.upstream);
    }
    if (!is_known) {
      throw ValidationError(source, "chains",
                            "names an upstream that is not in the plan");
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
                         std::vector<BucketChain> chains)
    : m_service(std::move(service)),
      m_address(std::move(address)),
      m_protocol(protocol),
      m_generation(generation),
      m_hash_seed(hash_seed),
      m_next_upstream_id(next_upstream_id),
      m_upstreams(std::move(upstreams)) {
  for (const PlannedUpstream& upstream : m_upstreams) {
    m_ids.push_back(upstream.id);
  }
  m_base.reserve(chains.size());
  m_link_offsets.reserve(chains.size() + 1);
  for (const BucketChain& chain : chains) {
    m_base.push_back(chain.base);
    m_link_offsets.push_back(static_cast<uint32_t>(m_links.size()));
    m_links.insert(m_links.end(), chain.links.begin(), chain.links.end());
  }
  m_link_offsets.push_back(static_cast<uint32_t>(m_links.size()));
}

BucketChain ServicePlan::Chain(uint32_t bucket) const {
  const auto links = OwnerChanges(bucket);
  return {m_base[bucket], {links.begin(), links.end()}};
}

UpstreamId ServicePlan::OwnerOfUnrecorded(uint32_t bucket,
                                          TimePoint now) const {
  if (FindPresent(m_base[bucket], now) != nullptr) {
    return m_base[bucket];
  }
  for (const BucketLink& link : OwnerChanges(bucket)) {
    if (link.active_from > now) {
      break;
    }
    if (FindPresent(link.upstream, now) != nullptr) {
      return link.upstream;
    }
  }
  return kNoUpstream;
}

UpstreamId ServicePlan::OwnerOfNewFlows(uint32_t bucket, TimePoint now) const {
  UpstreamId owner = m_base[bucket];
  for (const BucketLink& link : OwnerChanges(bucket)) {
    if (link.active_from > now) {
      break;
    }
    owner = link.upstream;
  }
  const PlannedUpstream* upstream = FindUpstream(owner);
  const bool takes_flows = upstream != nullptr && !upstream->is_leaving();
  return takes_flows ? owner : kNoUpstream;
}

const PlannedUpstream* ServicePlan::FindPresent(UpstreamId id,
                                                TimePoint now) const {
  const PlannedUpstream* upstream = FindUpstream(id);
  const bool is_present = upstream != nullptr && now < upstream->leaves_at;
  return is_present ? upstream : nullptr;
}

const PlannedUpstream* ServicePlan::FindUpstream(UpstreamId id) const {
  const auto found = std::lower_bound(m_ids.begin(), m_ids.end(), id);
  if (found == m_ids.end() || *found != id) {
    return nullptr;
  }
  return &m_upstreams[found - m_ids.begin()];
}

size_t ServicePlan::memory_bytes() const {
  return sizeof(*this) + m_upstreams.capacity() * sizeof(PlannedUpstream) +
         m_base.capacity() * sizeof(UpstreamId) +
         m_link_offsets.capacity() * sizeof(uint32_t) +
         m_links.capacity() * sizeof(BucketLink);
}

nlohmann::json ToJson(const ServicePlan& plan) {
  nlohmann::json upstreams = nlohmann::json::array();
  for (const PlannedUpstream& upstream : plan.upstreams()) {
    upstreams.push_back(ToJson(upstream));
  }
  TimeTable times;
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
    std::vector<BucketChain> chains;
    const std::vector<LinkTimes> times = TimesFromJson(json.at("times"));
    for (const nlohmann::json& item : json.at("chains")) {
      chains.push_back(ChainFromJson(item, times, source));
    }
    CheckChains(upstreams, chains, source);
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
