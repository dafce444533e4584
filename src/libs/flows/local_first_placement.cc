#include "flows/local_first_placement.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace poplarsail::flows {

namespace {

// A flow to another failure domain costs as much as this many times the flows
// of a local upstream: remote answers cross a priced, slower link.
constexpr double kRemoteFactor = 2.5;
constexpr double kRemoteFlows = 1.5;
// Response times are compared with this one at the least, and a slow upstream
// counts as this many times slower at the most.
constexpr double kUsualResponseMs = 40.0;
constexpr double kMaxSlowFactor = 8.0;
// A cold upstream is slower by about this factor for its first seconds.
constexpr double kColdFactor = 3.0;
// An upstream whose registration lapsed is used when no other is left.
constexpr double kLapsedFactor = 1'000.0;
// One whose health is in doubt comes after those.
constexpr double kSuspectFactor = 100'000.0;

}  // namespace

LocalFirstPlacement::LocalFirstPlacement(std::string failure_domain,
                                         uint64_t seed)
    : m_failure_domain(std::move(failure_domain)), m_random(seed) {}

Upstream* LocalFirstPlacement::Choose(const PlacementRequest& request) {
  for (Upstream* upstream : Ranked(request)) {
    if (ClaimCold(upstream, *request.service, request.now)) {
      return upstream;
    }
  }
  return nullptr;
}

double LocalFirstPlacement::Cost(const Upstream& upstream,
                                 SteadyTime now) const {
  double cost = 1.0 + upstream.open_flows + upstream.LostFlows(now);
  if (upstream.record.failure_domain != m_failure_domain) {
    cost = kRemoteFactor * (cost + kRemoteFlows);
  }
  cost *=
      std::clamp(upstream.response_ms / kUsualResponseMs, 1.0, kMaxSlowFactor);
  if (upstream.IsCold(now)) {
    cost *= kColdFactor;
  }
  if (upstream.is_unregistered) {
    cost *= kLapsedFactor;
  }
  if (!upstream.liveness.AllowsAttempt(now)) {
    cost *= kSuspectFactor;
  }
  return cost;
}

bool LocalFirstPlacement::MayTake(const Upstream& upstream,
                                  const PlacementRequest& request) const {
  const bool is_avoided =
      std::find(request.excluded_upstream_ids.begin(), request.excluded_upstream_ids.end(),
                upstream.record.id) != request.excluded_upstream_ids.end();
  return upstream.AcceptsNewFlows() && !is_avoided;
}

std::vector<Upstream*> LocalFirstPlacement::Ranked(
    const PlacementRequest& request) {
  std::vector<std::pair<double, Upstream*>> ranked;
  for (Upstream* upstream : request.service->upstreams) {
    if (!MayTake(*upstream, request)) {
      continue;
    }
    // Up to one flow of noise keeps hosts from choosing alike.
    const double noise =
        1.0 + static_cast<double>(m_random() >> 40) / (1 << 24) * 0.2;
    ranked.emplace_back(Cost(*upstream, request.now) * noise, upstream);
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<Upstream*> upstreams;
  for (const auto& [cost, upstream] : ranked) {
    upstreams.push_back(upstream);
  }
  return upstreams;
}

bool LocalFirstPlacement::ClaimCold(Upstream* upstream,
                                    const Service& service,
                                    SteadyTime now) const {
  const double per_second = service.record.cold_flows_per_second;
  if (!upstream->IsCold(now) || per_second <= 0) {
    return true;
  }
  if (now < upstream->next_cold_flow) {
    return false;
  }
  const double own_per_second =
      per_second / static_cast<double>(std::max<size_t>(m_host_count, 1));
  upstream->next_cold_flow =
      now +
      std::chrono::microseconds(static_cast<int64_t>(1e6 / own_per_second));
  return true;
}

}  // namespace poplarsail::flows
