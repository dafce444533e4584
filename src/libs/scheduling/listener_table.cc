#include "scheduling/listener_table.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace poplarsail::scheduling {
namespace {

constexpr double kPriorShareOfTarget = 0.25;
constexpr milliseconds kDefaultTarget(1'000);
constexpr milliseconds kDefaultTimeout(30'000);
// Responses below this share of the median are probably errors.
constexpr double kErrorShareOfMedian = 0.1;
// The prior says nothing about what is quick: a quarter of a long target may be
// many times the work.
constexpr double kMinErrorSamples = 5;
// Requests may wait for a quarter of their target even if some of them need
// nearly all of it.
constexpr double kMaxPlannedShare = 0.75;
// The longest requests take 7 times the mean, until enough samples show their
// length; 10 covers the error of a mean from few samples. Under overload few
// responses are samples.
constexpr double kPriorTail = 10;
constexpr double kPriorTailSamples = 200;
// Long enough for a steady rate, short enough to refuse within 100 ms when a
// burst begins.
constexpr double kMinDemandDecayMs = 250;
// A few long requests in a small pool are no rate.
constexpr double kDemandDecayPerWork = 4;

ListenerTerms WithDefaults(ListenerTerms terms) {
  if (terms.latency_target.count() <= 0) {
    terms.latency_target = kDefaultTarget;
  }
  return terms;
}

}  // namespace

ListenerState::ListenerState(const ListenerTerms& listener_terms)
    : terms(WithDefaults(listener_terms)),
      work(terms.latency_target.count() * kPriorShareOfTarget),
      estimate(work.Estimate({})),
      planned_work_ms(estimate.mean_ms) {}

bool ListenerState::IsProbablyError(double work_ms) const {
  return estimate.samples >= kMinErrorSamples &&
         work_ms < estimate.median_ms * kErrorShareOfMedian;
}

void ListenerState::AddSample(double work_ms, SteadyTime now) {
  if (IsProbablyError(work_ms)) {
    return;
  }
  work.Add(work_ms, now);
}

void ListenerState::Refresh(SteadyTime now) {
  estimate = work.Estimate(now);
  const double learned_ms =
      estimate.p95_ms + work.RemainingMs(estimate.p95_ms, now);
  const double tail_ms = (learned_ms * estimate.samples +
                          estimate.mean_ms * kPriorTail * kPriorTailSamples) /
                         (estimate.samples + kPriorTailSamples);
  // Without samples the mean is a guess from the target, and has no tail.
  planned_work_ms =
      estimate.samples < 1
          ? estimate.mean_ms
          : std::clamp(tail_ms, estimate.mean_ms,
                       std::max(estimate.mean_ms, max_planned_work_ms()));
}

double ListenerState::max_planned_work_ms() const {
  return terms.latency_target.count() * kMaxPlannedShare;
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
    if (known != m_listeners.end()) {
      state.work = std::move(known->second.work);
    }
    state.Refresh(now);
    listeners.emplace(listener.listener, std::move(state));
  }
  m_listeners = std::move(listeners);
  m_unknown.terms.priority = lowest_priority;
}

void ListenerTable::Refresh(SteadyTime now) {
  for (auto& [endpoint, listener] : m_listeners) {
    listener.Refresh(now);
  }
  m_unknown.Refresh(now);
  const double decay_ms =
      std::max(kMinDemandDecayMs, kDemandDecayPerWork * MeanWorkMs());
  // The rates stay the same.
  for (auto& [priority, demand] : m_demand) {
    demand.work_ms *= decay_ms / m_demand_decay_ms;
  }
  m_demand_decay_ms = decay_ms;
}

ListenerState& ListenerTable::Find(const Ipv4Endpoint& endpoint) {
  const auto found = m_listeners.find(endpoint);
  return found == m_listeners.end() ? m_unknown : found->second;
}

double ListenerTable::DecayedMs(const Demand& demand, SteadyTime now) const {
  const std::chrono::duration<double, std::milli> age = now - demand.updated;
  return demand.work_ms *
         std::exp(-std::max(age.count(), 0.0) / m_demand_decay_ms);
}

void ListenerTable::RecordDemand(uint32_t priority,
                                 double work_ms,
                                 SteadyTime now) {
  Demand& demand = m_demand[priority];
  demand.work_ms = DecayedMs(demand, now) + work_ms;
  demand.updated = now;
}

double ListenerTable::DemandAbove(uint32_t priority, SteadyTime now) const {
  double work_ms = 0;
  for (const auto& [other, demand] : m_demand) {
    if (other < priority) {
      work_ms += DecayedMs(demand, now);
    }
  }
  return work_ms / m_demand_decay_ms;
}

double ListenerTable::TotalDemand(SteadyTime now) const {
  return DemandAbove(std::numeric_limits<uint32_t>::max(), now);
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
    if (estimate.samples <= 0) {
      continue;
    }
    learned.push_back({endpoint, estimate.mean_ms, estimate.median_ms,
                       estimate.p95_ms, estimate.samples});
  }
  return learned;
}

void ListenerTable::Seed(const std::vector<LearnedWork>& work, SteadyTime now) {
  for (const LearnedWork& learned : work) {
    const auto found = m_listeners.find(learned.listener);
    if (found == m_listeners.end()) {
      continue;
    }
    found->second.work.Seed({learned.mean_ms, learned.median_ms, learned.p95_ms,
                             learned.samples, now},
                            now);
    found->second.Refresh(now);
  }
}

}  // namespace poplarsail::scheduling
