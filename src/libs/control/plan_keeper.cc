#include "control/plan_keeper.h"

#include <utility>

#include <xxhash.h>

namespace poplarsail::control {

namespace {

uint64_t HashName(const std::string& name) {
  return XXH3_64bits(name.data(), name.size());
}

}  // namespace

PlannerAssignment::PlannerAssignment(std::vector<std::string> live_hosts)
    : m_live_hosts(std::move(live_hosts)) {
  for (const std::string& host : m_live_hosts) {
    m_host_hashes.push_back(HashName(host));
  }
}

const std::string& PlannerAssignment::PlannerOf(const std::string& service) const {
  static const std::string nobody;
  const uint64_t service_hash = HashName(service);
  uint64_t best_score = 0;
  const std::string* best = &nobody;
  for (size_t i = 0; i < m_live_hosts.size(); ++i) {
    const uint64_t score = steering::MixHashes(m_host_hashes[i], service_hash);
    if (best == &nobody || score > best_score) {
      best = &m_live_hosts[i];
      best_score = score;
    }
  }
  return *best;
}

std::optional<model::Object> NextPlanObject(
    const ConfigState& config,
    const model::Service& service,
    uint64_t first_seed,
    const steering::PlanTiming& timing) {
  steering::DesiredService goal = config.GoalFor(service);
  goal.hash_seed = first_seed;
  const auto present = config.plans().find(service.name);
  const steering::ServicePlan* previous =
      present == config.plans().end() ? nullptr : present->second.get();
  const auto next = steering::NextPlan(previous, goal, timing);
  if (!next) {
    return std::nullopt;
  }
  model::Object object;
  object.key = {model::kPlanKind, service.name};
  const model::Object* stored = config.FindObject(object.key);
  object.resource_version = stored == nullptr ? 0 : stored->resource_version;
  object.spec = steering::ToJson(*next);
  object.status = nlohmann::json::object();
  return object;
}

}  // namespace poplarsail::control
