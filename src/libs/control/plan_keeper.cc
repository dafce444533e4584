#include "control/plan_keeper.h"

#include <xxhash.h>

namespace poplarsail::control {

bool IsPlanner(const std::string& self,
               const std::string& service,
               const std::vector<steering::Member>& members) {
  uint64_t best_score = 0;
  const std::string* best = nullptr;
  for (const steering::Member& member : members) {
    const std::string input = service + "\n" + member.name;
    const uint64_t score = XXH3_64bits(input.data(), input.size());
    if (best == nullptr || score > best_score) {
      best = &member.name;
      best_score = score;
    }
  }
  return best != nullptr && *best == self;
}

std::optional<model::Object> NextPlanObject(const ConfigState& config,
                                            const model::Service& service,
                                            uint64_t first_seed,
                                            model::TimePoint now,
                                            model::TimePoint active_from) {
  steering::ServiceGoal goal = config.GoalFor(service);
  goal.hash_seed = first_seed;
  const auto present = config.plans().find(service.name);
  const steering::ServicePlan* previous =
      present == config.plans().end() ? nullptr : present->second.get();
  const auto next = steering::NextPlan(previous, goal, now, active_from);
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
