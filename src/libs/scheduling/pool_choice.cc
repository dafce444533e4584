// Which upstreams have places, and which of them a request gets.
#include <algorithm>

#include "scheduling/pool_state.h"

namespace poplarsail::scheduling {
namespace {

// Predictions closer than this are equal: their error is larger. Else the
// upstreams whose learned speed is high by chance get most of the flows.
constexpr double kTieFactor = 1.4;
// Cold upstreams are slower by a factor of 1.6 to 3.
constexpr double kColdSpeedFactor = 0.45;

double MsBetween(SteadyTime from, SteadyTime to) {
  return std::chrono::duration<double, std::milli>(to - from).count();
}

bool IsListed(std::span<const uint64_t> ids, uint64_t id) {
  return std::ranges::find(ids, id) != ids.end();
}

}  // namespace

bool PoolState::IsUsable(const Upstream& upstream, SteadyTime now) const {
  if (!upstream.record.accepts_new_flows) {
    return false;
  }
  return !upstream.is_failed || (now >= upstream.out_until && !upstream.trial);
}

bool PoolState::HasFreeSlot(const Upstream& upstream, SteadyTime now) const {
  if (!IsUsable(upstream, now)) {
    return false;
  }
  // A trial is made also beside flows that hang there.
  if (upstream.is_failed) {
    return true;
  }
  if (upstream.running.size() >= std::min(upstream.limit, upstream.pipeline)) {
    return false;
  }
  return upstream.record.cold_until <= now || m_cold_flows_per_second <= 0 ||
         upstream.next_cold_grant <= now;
}

bool PoolState::HasExtraPlace(const Upstream& upstream, SteadyTime now) const {
  return IsUsable(upstream, now) && !upstream.is_failed &&
         upstream.record.cold_until <= now &&
         upstream.running.size() == upstream.pipeline &&
         upstream.limit > upstream.pipeline;
}

double PoolState::EffectiveSpeed(const Upstream& upstream,
                                 SteadyTime now) const {
  return upstream.record.cold_until > now ? upstream.speed * kColdSpeedFactor
                                          : upstream.speed;
}

bool PoolState::MustAvoid(const Upstream& upstream,
                          std::span<const uint64_t> excluded) const {
  return !excluded.empty() && IsListed(excluded, upstream.record.id);
}

bool PoolState::HasAlternative(std::span<const uint64_t> excluded,
                               SteadyTime now) const {
  return std::ranges::any_of(m_upstreams, [&](const Upstream& upstream) {
    return IsUsable(upstream, now) && !IsListed(excluded, upstream.record.id);
  });
}

std::optional<uint64_t> PoolState::ChooseAmong(const PlaceDemand& demand,
                                               bool is_extra,
                                               bool obey_exclusions,
                                               SteadyTime now) {
  constexpr double kNone = -1;
  double best_ms = kNone;
  for (size_t i = 0; i < m_upstreams.size(); ++i) {
    const Upstream& upstream = m_upstreams[i];
    m_scratch[i] = kNone;
    if (is_extra ? !HasExtraPlace(upstream, now)
                 : !HasFreeSlot(upstream, now)) {
      continue;
    }
    if (obey_exclusions && MustAvoid(upstream, demand.excluded)) {
      continue;
    }
    // The same as load::PredictCompletionMs for at most one waiting flow, from
    // a cached end, without a copy of the outstanding flows.
    const double wait_ms =
        is_extra ? std::max(MsBetween(now, upstream.earliest_end), 0.0) : 0;
    const double completion_ms =
        wait_ms + demand.work_ms / EffectiveSpeed(upstream, now);
    if (completion_ms > demand.limit_ms) {
      continue;
    }
    m_scratch[i] = completion_ms;
    if (best_ms == kNone || completion_ms < best_ms) {
      best_ms = completion_ms;
    }
  }
  if (best_ms == kNone) {
    return std::nullopt;
  }
  m_ties.clear();
  for (size_t i = 0; i < m_upstreams.size(); ++i) {
    if (m_scratch[i] != kNone && m_scratch[i] <= best_ms * kTieFactor) {
      m_ties.push_back(i);
    }
  }
  return m_upstreams[m_ties[m_random() % m_ties.size()]].record.id;
}

std::optional<uint64_t> PoolState::Choose(const PlaceDemand& demand,
                                          SteadyTime now) {
  const bool obey_exclusions =
      !demand.excluded.empty() && HasAlternative(demand.excluded, now);
  const auto slot = ChooseAmong(demand, false, obey_exclusions, now);
  if (slot || !demand.allow_extra) {
    return slot;
  }
  return ChooseAmong(demand, true, obey_exclusions, now);
}

bool PoolState::HasPlace(SteadyTime now) const {
  return std::ranges::any_of(m_upstreams, [&](const Upstream& upstream) {
    return HasFreeSlot(upstream, now) || HasExtraPlace(upstream, now);
  });
}

}  // namespace poplarsail::scheduling
