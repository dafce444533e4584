#include "flows/local_first_placement.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace poplarsail::flows {

namespace {

// Factor of the cost of an upstream in another failure domain, and offset in
// flows: its responses cross a slower link with metered traffic.
constexpr double kRemoteCostFactor = 2.5;
constexpr double kRemoteCostOffset = 1.5;
// The cost grows with the ratio of the response time to this one, between a
// factor of 1 and kMaxSlowCostFactor.
constexpr double kReferenceResponseMs = 40.0;
constexpr double kMaxSlowCostFactor = 8.0;
// A cold upstream is slower by about this factor in its first seconds.
constexpr double kColdCostFactor = 3.0;
// An upstream that leaves requests unanswered is used only if no other is left.
constexpr double kUnresponsiveCostFactor = 100.0;
// An unregistered upstream is used only if there is no such one either.
constexpr double kUnregisteredCostFactor = 1'000.0;
// A host that reaches neither the store nor another failure domain serves its
// clients by its own domain's evacuated upstreams. An upstream whose liveness
// allows no attempt is used only if there is none of these either.
constexpr double kEvacuatedCostFactor = 10'000.0;
constexpr double kUnhealthyCostFactor = 100'000.0;

}  // namespace

LocalFirstPlacement::LocalFirstPlacement(std::string failure_domain,
                                         uint64_t seed)
    : m_failure_domain(std::move(failure_domain)), m_random(seed) {}

Upstream* LocalFirstPlacement::Choose(const PlacementRequest& request) {
  for (Upstream* upstream : RankUpstreams(request)) {
    if (TryReserveColdFlow(upstream, *request.service, request.now)) {
      return upstream;
    }
  }
  return nullptr;
}

double LocalFirstPlacement::ComputeCost(const Upstream& upstream,
                                        SteadyTime now) const {
  double cost = 1.0 + upstream.open_flows + upstream.RecentPlacements(now) +
                upstream.RemainingLostFlows(now);
  if (upstream.record.failure_domain != m_failure_domain) {
    cost = kRemoteCostFactor * (cost + kRemoteCostOffset);
  }
  cost *= std::clamp(upstream.response_ms / kReferenceResponseMs, 1.0,
                     kMaxSlowCostFactor);
  if (upstream.IsCold(now)) {
    cost *= kColdCostFactor;
  }
  if (upstream.is_unresponsive) {
    cost *= kUnresponsiveCostFactor;
  }
  if (upstream.is_unregistered) {
    cost *= kUnregisteredCostFactor;
  }
  if (upstream.is_evacuated) {
    cost *= kEvacuatedCostFactor;
  }
  if (!upstream.liveness.AllowsAttempt(now)) {
    cost *= kUnhealthyCostFactor;
  }
  return cost;
}

bool LocalFirstPlacement::IsEligible(const Upstream& upstream,
                                     const PlacementRequest& request) const {
  const bool is_excluded =
      std::find(request.excluded_upstream_ids.begin(),
                request.excluded_upstream_ids.end(),
                upstream.record.id) != request.excluded_upstream_ids.end();
  const bool is_last_resort =
      upstream.is_evacuated && request.is_store_unreachable &&
      upstream.record.failure_domain == m_failure_domain;
  const bool is_usable = is_last_resort
                             ? upstream.AcceptsNewFlowsUnlessEvacuated()
                             : upstream.AcceptsNewFlows();
  return is_usable && !is_excluded;
}

std::vector<Upstream*> LocalFirstPlacement::RankUpstreams(
    const PlacementRequest& request) {
  std::vector<std::pair<double, Upstream*>> ranked;
  for (Upstream* upstream : request.service->upstreams) {
    if (!IsEligible(*upstream, request)) {
      continue;
    }
    // Up to 20% of random noise keeps hosts from all choosing the same
    // upstream.
    const double noise =
        1.0 + static_cast<double>(m_random() >> 40) / (1 << 24) * 0.2;
    ranked.emplace_back(ComputeCost(*upstream, request.now) * noise, upstream);
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<Upstream*> upstreams;
  for (const auto& [cost, upstream] : ranked) {
    upstreams.push_back(upstream);
  }
  return upstreams;
}

bool LocalFirstPlacement::TryReserveColdFlow(Upstream* upstream,
                                             const Service& service,
                                             SteadyTime now) const {
  const double per_second = service.record.cold_flows_per_second;
  if (!upstream->IsCold(now) || per_second <= 0) {
    return true;
  }
  if (now < upstream->next_cold_flow) {
    return false;
  }
  const double per_second_per_host =
      per_second / static_cast<double>(std::max<size_t>(m_host_count, 1));
  upstream->next_cold_flow =
      now + std::chrono::microseconds(
                static_cast<int64_t>(1e6 / per_second_per_host));
  return true;
}

}  // namespace poplarsail::flows
