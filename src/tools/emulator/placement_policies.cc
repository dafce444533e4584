#include "emulator/placement_policies.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <random>
#include <utility>

namespace poplarsail::emulator {

namespace {

using flows::PlacementRequest;
using flows::Upstream;

// Chooses among the healthy upstreams, or among all usable ones if none is
// healthy.
class HealthAwarePlacement : public flows::Placement {
 public:
  explicit HealthAwarePlacement(uint64_t seed) : m_random(seed) {}

  Upstream* Choose(const PlacementRequest& request) override {
    std::vector<Upstream*> usable;
    std::vector<Upstream*> healthy;
    for (Upstream* upstream : request.service->upstreams) {
      const bool is_excluded =
          std::find(request.excluded_upstream_ids.begin(),
                    request.excluded_upstream_ids.end(),
                    upstream->record.id) != request.excluded_upstream_ids.end();
      if (is_excluded || !upstream->AcceptsNewFlows()) {
        continue;
      }
      usable.push_back(upstream);
      if (!upstream->is_unregistered &&
          upstream->liveness.AllowsAttempt(request.now)) {
        healthy.push_back(upstream);
      }
    }
    const std::vector<Upstream*>& candidates =
        healthy.empty() ? usable : healthy;
    return candidates.empty() ? nullptr : ChooseAmong(candidates);
  }

 protected:
  virtual Upstream* ChooseAmong(const std::vector<Upstream*>& candidates) = 0;

  Upstream* ChooseRandom(const std::vector<Upstream*>& candidates) {
    return candidates[m_random() % candidates.size()];
  }

 private:
  std::mt19937_64 m_random;
};

class RandomPlacement : public HealthAwarePlacement {
 public:
  using HealthAwarePlacement::HealthAwarePlacement;

 protected:
  Upstream* ChooseAmong(const std::vector<Upstream*>& candidates) override {
    return ChooseRandom(candidates);
  }
};

// Chooses the less loaded of two random upstreams.
class TwoChoicesPlacement : public HealthAwarePlacement {
 public:
  using HealthAwarePlacement::HealthAwarePlacement;

 protected:
  Upstream* ChooseAmong(const std::vector<Upstream*>& candidates) override {
    Upstream* first = ChooseRandom(candidates);
    Upstream* second = ChooseRandom(candidates);
    return second->open_flows < first->open_flows ? second : first;
  }
};

// Chooses the upstream with the lowest load; ties are broken randomly.
class LeastLoadedPlacement : public HealthAwarePlacement {
 public:
  using Load = std::function<uint32_t(const Upstream&)>;

  LeastLoadedPlacement(uint64_t seed, Load load)
      : HealthAwarePlacement(seed), m_load(std::move(load)) {}

 protected:
  Upstream* ChooseAmong(const std::vector<Upstream*>& candidates) override {
    std::vector<Upstream*> least;
    for (Upstream* upstream : candidates) {
      if (!least.empty() && m_load(*upstream) > m_load(*least.front())) {
        continue;
      }
      if (!least.empty() && m_load(*upstream) < m_load(*least.front())) {
        least.clear();
      }
      least.push_back(upstream);
    }
    return ChooseRandom(least);
  }

 private:
  Load m_load;
};

std::unique_ptr<flows::Placement> MakeLocalFirst(const std::string& domain,
                                                 uint64_t seed) {
  return std::make_unique<flows::LocalFirstPlacement>(domain, seed);
}

std::unique_ptr<flows::Placement> MakeRandom(const std::string&,
                                             uint64_t seed) {
  return std::make_unique<RandomPlacement>(seed);
}

std::unique_ptr<flows::Placement> MakeTwoChoices(const std::string&,
                                                 uint64_t seed) {
  return std::make_unique<TwoChoicesPlacement>(seed);
}

std::unique_ptr<flows::Placement> MakeLeastFlows(const std::string&,
                                                 uint64_t seed) {
  return std::make_unique<LeastLoadedPlacement>(
      seed, [](const Upstream& upstream) { return upstream.open_flows; });
}

std::unique_ptr<flows::Placement> MakeLeastRequests(const std::string&,
                                                    uint64_t seed) {
  return std::make_unique<LeastLoadedPlacement>(
      seed, [](const Upstream& upstream) {
        return upstream.flows_awaiting_response;
      });
}

}  // namespace

std::vector<PlacementPolicy> AllPlacementPolicies() {
  return {{"local-first", MakeLocalFirst},
          {"least-flows", MakeLeastFlows},
          {"least-requests", MakeLeastRequests},
          {"two-choices", MakeTwoChoices},
          {"random", MakeRandom}};
}

std::vector<PlacementPolicy> LoadPlacementPolicies() {
  return {{"local-first", MakeLocalFirst},
          {"scheduled", MakeLocalFirst, SchedulingMode::kScheduled},
          {"oracle", MakeLocalFirst, SchedulingMode::kOracle}};
}

}  // namespace poplarsail::emulator
