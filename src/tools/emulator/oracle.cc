#include "emulator/oracle.h"

#include <algorithm>

namespace poplarsail::emulator {

namespace {

constexpr milliseconds kRefusalInterval{10};

}  // namespace

void Oracle::Submit(Request request) {
  m_queue.emplace(std::pair(request.priority, m_next_number++),
                  std::move(request));
  Grant();
  ScheduleRefusals();
}

std::vector<Oracle::Candidate> Oracle::UsableUpstreams() const {
  std::vector<Candidate> candidates;
  for (const OracleUpstream& upstream : m_upstreams()) {
    if (!upstream.is_usable) {
      continue;
    }
    const auto slots = m_slots.find(upstream.id);
    candidates.push_back({upstream.id, upstream.time_per_work,
                          upstream.failure_domain,
                          slots == m_slots.end() ? Slots{} : slots->second});
  }
  return candidates;
}

Oracle::Duration Oracle::DelayTo(const Request& request,
                                 const Candidate& candidate) const {
  return request.failure_domain == candidate.failure_domain
             ? m_delays.local
             : m_delays.between_domains;
}

Oracle::Choice Oracle::EarliestCompletion(
    const Request& request,
    std::vector<Candidate>* candidates) const {
  Choice best;
  // Equally good upstreams are used in turn.
  const size_t count = candidates->size();
  for (size_t i = 0; i < count; ++i) {
    Candidate& candidate = (*candidates)[(i + m_next_number) % count];
    const Duration delay = DelayTo(request, candidate);
    Choice choice;
    choice.candidate = &candidate;
    choice.start =
        std::max(m_events->now() + LeadTime(delay), candidate.free_at.front());
    choice.end = choice.start + std::chrono::duration_cast<Duration>(
                                    request.work * candidate.time_per_work);
    choice.response = choice.end + delay + m_delays.client;
    if (best.candidate == nullptr || choice.response < best.response) {
      best = choice;
    }
  }
  return best;
}

Oracle::Queue::iterator Oracle::Decided(Queue::iterator item,
                                        std::optional<uint64_t> id) {
  const Decide decide = std::move(item->second.decide);
  const auto next = m_queue.erase(item);
  m_events->ScheduleAfter({}, [decide, id]() { decide(id); });
  return next;
}

void Oracle::Grant() {
  const SteadyTime now = m_events->now();
  std::vector<Candidate> candidates = UsableUpstreams();
  const auto is_available = [&](const Candidate& candidate) {
    return candidate.free_at.front() <= now + LeadTime(m_delays.local);
  };
  auto available =
      std::count_if(candidates.begin(), candidates.end(), is_available);
  for (auto item = m_queue.begin(); item != m_queue.end() && available > 0;) {
    const Choice choice = EarliestCompletion(item->second, &candidates);
    if (choice.response > item->second.deadline) {
      item = Decided(item, std::nullopt);
      continue;
    }
    Candidate* candidate = choice.candidate;
    const bool was_available = is_available(*candidate);
    candidate->free_at.front() = choice.end;
    std::sort(candidate->free_at.begin(), candidate->free_at.end());
    if (!was_available) {
      // The request waits for this upstream; the next ones may use others.
      ++item;
      continue;
    }
    available -= is_available(*candidate) ? 0 : 1;
    m_slots[candidate->id].front() = choice.end;
    std::sort(m_slots[candidate->id].begin(), m_slots[candidate->id].end());
    item = Decided(item, candidate->id);
  }
  if (!m_queue.empty()) {
    ScheduleGrant(UsableUpstreams());
  }
}

void Oracle::ScheduleGrant(const std::vector<Candidate>& candidates) {
  const SteadyTime now = m_events->now();
  std::optional<SteadyTime> next;
  for (const Candidate& candidate : candidates) {
    const SteadyTime due = candidate.free_at.front() - LeadTime(m_delays.local);
    if (due > now && (!next || due < *next)) {
      next = due;
    }
  }
  const bool is_scheduled = m_next_grant > now && next && m_next_grant <= *next;
  if (!next || is_scheduled) {
    return;
  }
  m_next_grant = *next;
  m_events->ScheduleAt(*next, [this, due = *next]() {
    if (m_next_grant == due) {
      Grant();
    }
  });
}

void Oracle::ScheduleRefusals() {
  if (m_queue.empty() || std::exchange(m_are_refusals_scheduled, true)) {
    return;
  }
  m_events->ScheduleAfter(kRefusalInterval, [this]() {
    m_are_refusals_scheduled = false;
    RefuseHopeless();
    ScheduleRefusals();
  });
}

void Oracle::RefuseHopeless() {
  double work_per_time = 0;
  double least_time_per_work = 1;
  for (const Candidate& candidate : UsableUpstreams()) {
    work_per_time += kMaxConcurrentRequests / candidate.time_per_work;
    least_time_per_work =
        std::min(least_time_per_work, candidate.time_per_work);
  }
  const SteadyTime arrival = m_events->now() + LeadTime(m_delays.local);
  std::chrono::duration<double> ahead{0};
  for (auto item = m_queue.begin(); item != m_queue.end();) {
    const Request& request = item->second;
    const auto wait = std::chrono::duration_cast<Duration>(
        work_per_time == 0 ? ahead : ahead / work_per_time);
    const auto processing = std::chrono::duration_cast<Duration>(
        request.work * least_time_per_work);
    const SteadyTime response =
        arrival + wait + processing + m_delays.local + m_delays.client;
    if (work_per_time == 0 || response > request.deadline) {
      item = Decided(item, std::nullopt);
      continue;
    }
    ahead += request.work;
    ++item;
  }
}

}  // namespace poplarsail::emulator
