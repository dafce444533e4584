#include "control/plan_keeper.h"

#include <xxhash.h>

namespace poplarsail::control {

bool IsPlanner(const std::string& self,
               const std::string& service,
               const std::vector<std::string>& live_hosts) {
  uint64_t best_score = 0;
  const std::string* best = nullptr;
  for (const std::string& host : live_hosts) {
    const std::string input = service + "\n" + host;
    const uint64_t score = XXH3_64bits(input.data(), input.size());
    if (best == nullptr || score > best_score) {
      best = &host;
      best_score = score;
    }
  }
  return best != nullptr && *best == self;
}

std::optional<model::Object> NextPlanObject(
    const ConfigState& config,
    const model::Service& service,
    uint64_t first_seed,
    const steering::PlanTiming& timing) {
  steering::ServiceGoal goal = config.GoalFor(service);
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
