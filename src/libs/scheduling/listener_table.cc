#include "scheduling/listener_table.h"

#include <algorithm>
#include <cmath>

namespace poplarsail::scheduling {
namespace {

constexpr double kPriorShareOfTarget = 0.25;
constexpr milliseconds kDefaultTarget(1'000);
constexpr milliseconds kDefaultTimeout(30'000);
// Responses below this share of the median are probably errors.
constexpr double kErrorShareOfMedian = 0.1;
constexpr double kDemandDecayMs = 500;

double DecayFactor(SteadyTime from, SteadyTime to) {
  const std::chrono::duration<double, std::milli> age = to - from;
  return std::exp(-std::max(age.count(), 0.0) / kDemandDecayMs);
}

ListenerTerms WithDefaults(ListenerTerms terms) {
  if (terms.latency_target.count() <= 0)
    terms.latency_target = kDefaultTarget;
  return terms;
}

}  // namespace

ListenerState::ListenerState(const ListenerTerms& listener_terms)
    : terms(WithDefaults(listener_terms)),
      work(terms.latency_target.count() * kPriorShareOfTarget),
      estimate(work.Estimate({})) {}

void ListenerState::AddSample(double work_ms, SteadyTime now) {
  if (work_ms < estimate.median_ms * kErrorShareOfMedian)
    return;
  work.Add(work_ms, now);
}

double ListenerState::PlannedWorkMs() const {
  const double target_ms = terms.latency_target.count();
  return std::clamp(estimate.p95_ms, estimate.mean_ms,
                    std::max(estimate.mean_ms, target_ms / 2));
}

SteadyTime ListenerState::Expiry(SteadyTime granted) const {
  return granted +
         (terms.timeout.count() > 0 ? terms.timeout : kDefaultTimeout);
}

ListenerTable::ListenerTable() : m_unknown(ListenerTerms()) {}

void ListenerTable::Update(const std::vector<ListenerTerms>& terms,
                           SteadyTime now) {
  std::map<Ipv4Endpoint, ListenerState> listeners;
  uint32_t lowest_priority = 0;
  for (const ListenerTerms& listener : terms) {
    lowest_priority = std::max(lowest_priority, listener.priority);
    const auto known = m_listeners.find(listener.listener);
    ListenerState state(listener);
    if (known != m_listeners.end())
      state.work = std::move(known->second.work);
    state.estimate = state.work.Estimate(now);
    listeners.emplace(listener.listener, std::move(state));
  }
  m_listeners = std::move(listeners);
  m_unknown.terms.priority = lowest_priority;
}

void ListenerTable::Refresh(SteadyTime now) {
  for (auto& [endpoint, listener] : m_listeners)
    listener.estimate = listener.work.Estimate(now);
  m_unknown.estimate = m_unknown.work.Estimate(now);
}

ListenerState& ListenerTable::Find(const Ipv4Endpoint& endpoint) {
  const auto found = m_listeners.find(endpoint);
  return found == m_listeners.end() ? m_unknown : found->second;
}

void ListenerTable::RecordDemand(uint32_t priority,
                                 double work_ms,
                                 SteadyTime now) {
  Demand& demand = m_demand[priority];
  demand.work_ms = demand.work_ms * DecayFactor(demand.updated, now) + work_ms;
  demand.updated = now;
}

double ListenerTable::DemandAbove(uint32_t priority, SteadyTime now) const {
  double rate = 0;
  for (const auto& [other, demand] : m_demand) {
    if (other < priority)
      rate += demand.work_ms * DecayFactor(demand.updated, now);
  }
  return rate / kDemandDecayMs;
}

double ListenerTable::MeanWorkMs() const {
  double weighted_ms = 0;
  double weight = 0;
  for (const auto& [endpoint, listener] : m_listeners) {
    // Without samples anywhere, the mean of the priors.
    const double samples = listener.estimate.samples + 1e-6;
    weighted_ms += listener.estimate.mean_ms * samples;
    weight += samples;
  }
  return weight > 0 ? weighted_ms / weight : m_unknown.estimate.mean_ms;
}

std::vector<LearnedWork> ListenerTable::Learned(SteadyTime now) const {
  std::vector<LearnedWork> learned;
  for (const auto& [endpoint, listener] : m_listeners) {
    const load::WorkEstimate estimate = listener.work.Estimate(now);
    if (estimate.samples <= 0)
      continue;
    learned.push_back({endpoint, estimate.mean_ms, estimate.median_ms,
                       estimate.p95_ms, estimate.samples});
  }
  return learned;
}

void ListenerTable::Seed(const std::vector<LearnedWork>& work, SteadyTime now) {
  for (const LearnedWork& learned : work) {
    const auto found = m_listeners.find(learned.listener);
    if (found == m_listeners.end())
      continue;
    found->second.work.Seed({learned.mean_ms, learned.median_ms, learned.p95_ms,
                             learned.samples, now},
                            now);
    found->second.estimate = found->second.work.Estimate(now);
  }
}

}  // namespace poplarsail::scheduling
