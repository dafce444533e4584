#include "control/config_state.h"

#include <algorithm>
#include <memory>
#include <set>
#include <utility>

namespace poplarsail::control {

using model::Object;
using model::ObjectKey;
using objects::WatchEventType;

namespace {

// Reads a time in Unix milliseconds. Returns TimePoint::max() if it is missing.
model::TimePoint ReadTime(const nlohmann::json& status, const char* key) {
  const bool is_given = status.is_object() && status.contains(key) &&
                        status[key].is_number_integer();
  return is_given ? model::FromUnixMillis(status[key].get<int64_t>())
                  : model::TimePoint::max();
}

}  // namespace

ApplyResult ConfigState::Apply(const objects::WatchEvent& event) {
  const uint64_t version = event.object.resource_version;
  if (event.type == WatchEventType::kBookmark) {
    m_version = std::max(m_version, version);
    return ApplyResult::kStale;
  }
  if (event.type == WatchEventType::kPut) {
    return ApplyObject(event.object);
  }
  const Object* known = FindObject(event.object.key);
  m_version = std::max(m_version, version);
  if (known == nullptr || known->resource_version > version) {
    return ApplyResult::kStale;
  }
  Remove(event.object.key);
  ++m_change_count;
  return ApplyResult::kApplied;
}

ApplyResult ConfigState::ReplaceAll(const objects::ObjectList& list) {
  if (list.resource_version < m_version) {
    return ApplyResult::kStale;
  }
  std::set<ObjectKey> listed_keys;
  for (const Object& object : list.items) {
    listed_keys.insert(object.key);
    ApplyObject(object);
  }
  std::vector<ObjectKey> removed;
  for (const auto& [key, object] : m_objects) {
    if (!listed_keys.contains(key)) {
      removed.push_back(key);
    }
  }
  for (const ObjectKey& key : removed) {
    Remove(key);
    ++m_change_count;
  }
  m_version = std::max(m_version, list.resource_version);
  return ApplyResult::kApplied;
}

ApplyResult ConfigState::ApplyObject(const Object& object) {
  m_version = std::max(m_version, object.resource_version);
  const Object* known = FindObject(object.key);
  if (known != nullptr && known->resource_version >= object.resource_version) {
    return ApplyResult::kStale;
  }
  try {
    StoreParsed(object);
  } catch (const model::ValidationError& error) {
    m_rejected_objects[object.key] = error.what();
    return ApplyResult::kInvalid;
  }
  m_rejected_objects.erase(object.key);
  Object& stored = m_objects[object.key];
  stored = object;
  if (object.key.kind == model::kPlanKind) {
    // The plan itself is stored in its compact form, see m_plans.
    stored.spec = nlohmann::json::object();
  }
  ++m_change_count;
  return ApplyResult::kApplied;
}

void ConfigState::StoreParsed(const Object& object) {
  const auto& [kind, name] = object.key;
  if (kind == model::kServiceKind) {
    m_services[name] = model::ServiceFromObject(object);
  } else if (kind == model::kUpstreamKind) {
    m_upstreams[name] = model::UpstreamFromObject(object);
  } else if (kind == model::kFailureDomainKind) {
    m_domains[name] = model::FailureDomainFromObject(object);
  } else if (kind == model::kEntryHostKind) {
    m_entry_hosts[name] = model::EntryHostFromObject(object);
  } else if (kind == model::kPlanKind) {
    auto plan = std::make_shared<const steering::ServicePlan>(
        steering::ServicePlanFromJson(object.spec, kind + "/" + name));
    const auto current_plan = m_plans.find(name);
    if (current_plan == m_plans.end() ||
        current_plan->second->generation() < plan->generation()) {
      m_plans[name] = std::move(plan);
    }
  }
}

void ConfigState::Remove(const ObjectKey& key) {
  m_objects.erase(key);
  m_rejected_objects.erase(key);
  if (key.kind == model::kServiceKind) {
    m_services.erase(key.name);
  } else if (key.kind == model::kUpstreamKind) {
    m_upstreams.erase(key.name);
  } else if (key.kind == model::kFailureDomainKind) {
    m_domains.erase(key.name);
  } else if (key.kind == model::kEntryHostKind) {
    m_entry_hosts.erase(key.name);
  } else if (key.kind == model::kPlanKind) {
    m_plans.erase(key.name);
  }
}

bool ConfigState::IsDomainEvacuated(const std::string& failure_domain) const {
  const auto found = m_domains.find(failure_domain);
  return found != m_domains.end() &&
         found->second.state == model::DomainState::kEvacuated;
}

const Object* ConfigState::FindObject(const ObjectKey& key) const {
  const auto found = m_objects.find(key);
  return found == m_objects.end() ? nullptr : &found->second;
}

steering::DesiredService ConfigState::DesiredServiceFor(
    const model::Service& service) const {
  steering::DesiredService desired;
  desired.service = service.name;
  desired.address = service.address;
  desired.protocol = service.protocol;
  for (const auto& [name, upstream] : m_upstreams) {
    if (upstream.service != service.name ||
        IsDomainEvacuated(upstream.failure_domain)) {
      continue;
    }
    const bool is_draining = upstream.state == model::UpstreamState::kDraining;
    desired.upstreams.push_back({name, upstream.address,
                                 upstream.failure_domain,
                                 is_draining ? 0 : upstream.connections});
  }
  return desired;
}

std::vector<dispatch::RequestUpstream> ConfigState::RequestUpstreamsFor(
    const std::string& service) const {
  std::vector<dispatch::RequestUpstream> result;
  for (const auto& [name, upstream] : m_upstreams) {
    if (upstream.service != service ||
        IsDomainEvacuated(upstream.failure_domain)) {
      continue;
    }
    result.push_back({name, upstream.address, upstream.slots,
                      upstream.state == model::UpstreamState::kDraining});
  }
  return result;
}

std::vector<steering::Member> ConfigState::Members(uint16_t relay_port) const {
  std::vector<steering::Member> members;
  for (const auto& [name, host] : m_entry_hosts) {
    const Object& object = m_objects.at({model::kEntryHostKind, name});
    members.push_back({name,
                       host.failure_domain,
                       {host.address, relay_port},
                       ReadTime(object.status, kReplicaFromKey),
                       ReadTime(object.status, kReplicaUntilKey)});
  }
  return members;
}

std::vector<std::string> ConfigState::FailureDomains() const {
  std::set<std::string> names;
  for (const auto& [name, domain] : m_domains) {
    names.insert(name);
  }
  for (const auto& [name, upstream] : m_upstreams) {
    names.insert(upstream.failure_domain);
  }
  for (const auto& [name, host] : m_entry_hosts) {
    names.insert(host.failure_domain);
  }
  return {names.begin(), names.end()};
}

std::vector<std::string> ConfigState::LiveHosts() const {
  std::vector<std::string> names;
  for (const auto& [name, host] : m_entry_hosts) {
    if (host.phase == model::HostPhase::kLive) {
      names.push_back(name);
    }
  }
  return names;
}

}  // namespace poplarsail::control
