#include <algorithm>
#include <limits>
#include <utility>

#include "scheduling/scheduler_state.h"

namespace poplarsail::scheduling {
namespace {

// The client gives up after 1.4 s.
constexpr milliseconds kMaxHold(1'300);
// Every 20th grant goes to the lowest waiting priority, which is this share.
constexpr uint32_t kGrantsPerLowest = 20;
constexpr double kMinShare = 1.0 / kGrantsPerLowest;
// A prediction has to worsen by this share of the target before a request that
// already waits is refused.
constexpr double kRecheckSlack = 0.15;
// Bounds memory; predictions keep the queue far shorter in a pool of 300
// places.
constexpr size_t kMaxWaiting = 4'096;
constexpr size_t kMaxWaits = 1'024;
// Requests that are tried for a place that does not suit the first ones.
constexpr int kMaxSkipped = 8;

SteadyTime After(SteadyTime time, double ms) {
  return time + std::chrono::duration_cast<SteadyTime::duration>(
                    std::chrono::duration<double, std::milli>(ms));
}

}  // namespace

WaitingRequest ServiceScheduler::State::Prepare(const PlacementRequest& request,
                                                SteadyTime now) {
  const ListenerState& listener = listeners.Find(request.listener);
  WaitingRequest waiting;
  waiting.request = request;
  waiting.priority = listener.terms.priority;
  waiting.work_ms = listener.estimate.mean_ms;
  waiting.submitted = now;
  waiting.leave_by = request.first_syn + kMaxHold;
  waiting.complete_by = After(request.first_syn + listener.terms.latency_target,
                              -pool.transit_ms());
  const double idle_ms = waiting.work_ms / pool.fastest_speed();
  if (idle_ms > listener.terms.latency_target.count()) {
    waiting.is_unservable = true;
    waiting.complete_by = After(waiting.complete_by, idle_ms);
  }
  return waiting;
}

bool ServiceScheduler::State::AnswerDuplicate(const PlacementRequest& request,
                                              SteadyTime now) {
  const RequestKey& key = request.key;
  const auto is_excluded = [&request](uint64_t upstream_id) {
    return std::ranges::find(request.excluded_upstream_ids, upstream_id) !=
           request.excluded_upstream_ids.end();
  };
  if (queue.Contains(key) || forwards.contains(key)) {
    actions.push_back(MakeAction(SchedulerActionKind::kQueue, key));
    return true;
  }
  if (const OutstandingFlow* flow = pool.Find(key)) {
    if (is_excluded(flow->upstream_id)) {
      // The upstream did not respond; the host asks for another one.
      pool.RecordFailure(*flow, now);
      pool.Remove(key, now);
      answers.Forget(key);
      return false;
    }
    SchedulerAction grant = MakeAction(SchedulerActionKind::kGrant, key);
    grant.upstream_id = flow->upstream_id;
    actions.push_back(grant);
    return true;
  }
  const auto answer = answers.Find(key);
  if (!answer || (answer->kind == SchedulerActionKind::kGrant &&
                  is_excluded(answer->upstream_id))) {
    return false;
  }
  actions.push_back(*answer);
  return true;
}

std::optional<uint64_t> ServiceScheduler::State::ChoosePlace(
    const WaitingRequest& waiting,
    bool allow_extra,
    SteadyTime now) {
  PlaceDemand demand;
  demand.work_ms = waiting.work_ms;
  demand.limit_ms = waiting.is_unservable
                        ? std::numeric_limits<double>::infinity()
                        : MsUntil(now, waiting.complete_by);
  demand.excluded = waiting.request.excluded_upstream_ids;
  demand.allow_extra = allow_extra;
  return pool.Choose(demand, now);
}

double ServiceScheduler::State::DrainRate(const Capacity& capacity,
                                          uint32_t priority,
                                          SteadyTime now) const {
  const double work_rate = capacity.work_rate * drain.factor();
  return std::max(work_rate - listeners.DemandAbove(priority, now),
                  work_rate * kMinShare);
}

double ServiceScheduler::State::PredictWaitMs(const WaitingRequest& waiting,
                                              const Capacity& capacity,
                                              SteadyTime now) const {
  if (capacity.work_rate <= 0) {
    return std::numeric_limits<double>::infinity();
  }
  const double ahead_ms =
      queue.WorkAheadMs(waiting.priority, waiting.request.listener,
                        waiting.request.client_address) +
      capacity.backlog_ms + waiting.work_ms;
  return ahead_ms / DrainRate(capacity, waiting.priority, now);
}

double ServiceScheduler::State::PlannedMs(const WaitingRequest& waiting,
                                          double speed) {
  const ListenerState& listener = listeners.Find(waiting.request.listener);
  // Slow completions show that requests are longer than estimated.
  const double planned_ms =
      listener.planned_work_ms / std::min(drain.factor(), 1.0) / speed;
  return std::min(planned_ms, std::max(waiting.work_ms / speed,
                                       listener.max_planned_work_ms()));
}

void ServiceScheduler::State::Admit(WaitingRequest waiting, SteadyTime now) {
  // The scheduler was paused, or the request was on its way for too long.
  if (now >= waiting.leave_by) {
    Refuse(waiting, RefusalReason::kNoRoom, now);
    return;
  }
  // Own callers first: nothing of another domain waits or goes ahead.
  const bool is_forwarded = waiting.request.is_forwarded;
  if (queue.size() == 0) {
    if (const auto upstream_id = ChoosePlace(waiting, !is_forwarded, now)) {
      Grant(waiting, *upstream_id, now);
      return;
    }
  }
  const Capacity capacity = pool.CapacityAt(now);
  if (!capacity.has_usable || is_forwarded) {
    Refuse(waiting,
           is_forwarded ? RefusalReason::kNoRoom : RefusalReason::kNoUpstream,
           now);
    return;
  }
  const double wait_ms = PredictWaitMs(waiting, capacity, now);
  if (TryForward(waiting, wait_ms, now)) {
    return;
  }
  const double planned_ms = PlannedMs(waiting, capacity.mean_speed);
  if (wait_ms + planned_ms > MsUntil(now, waiting.complete_by) ||
      wait_ms > MsUntil(now, waiting.leave_by)) {
    Refuse(waiting, RefusalReason::kNoRoom, now);
    return;
  }
  Enqueue(std::move(waiting), now);
}

void ServiceScheduler::State::Enqueue(WaitingRequest waiting, SteadyTime now) {
  if (queue.size() >= kMaxWaiting) {
    const auto evicted = queue.EvictBelow(waiting.priority);
    Refuse(evicted ? *evicted : waiting, RefusalReason::kNoRoom, now);
    if (!evicted) {
      return;
    }
  }
  const RequestKey key = waiting.request.key;
  const uint32_t priority = waiting.priority;
  queue.Push(std::move(waiting));
  GrantWaiting(now);
  if (!queue.Contains(key)) {
    return;
  }
  ++figures.by_priority[priority].queued;
  actions.push_back(MakeAction(SchedulerActionKind::kQueue, key));
}

bool ServiceScheduler::State::TryForward(WaitingRequest& waiting,
                                         double wait_ms,
                                         SteadyTime now) {
  if (waiting.was_forwarded || waiting.request.is_forwarded) {
    return false;
  }
  const double left_ms = MsUntil(now, waiting.complete_by);
  if (waiting.work_ms + kDomainRoundTrip.count() > left_ms) {
    return false;
  }
  const auto scheduler = offers.Take(wait_ms, now);
  if (!scheduler) {
    return false;
  }
  ++figures.by_priority[waiting.priority].forwarded;
  SchedulerAction forward =
      MakeAction(SchedulerActionKind::kForward, waiting.request.key);
  forward.forward_to = *scheduler;
  forward.forwarded = waiting.request;
  forward.forwarded.is_forwarded = true;
  actions.push_back(std::move(forward));
  // Without this answer the host would ask the next scheduler.
  actions.push_back(
      MakeAction(SchedulerActionKind::kQueue, waiting.request.key));
  waiting.was_forwarded = true;
  const RequestKey key = waiting.request.key;
  forwards.emplace(key, Forward{std::move(waiting), now + kForwardTimeout});
  return true;
}

void ServiceScheduler::State::Grant(const WaitingRequest& waiting,
                                    uint64_t upstream_id,
                                    SteadyTime now) {
  const ListenerState& listener = listeners.Find(waiting.request.listener);
  OutstandingFlow flow;
  flow.key = waiting.request.key;
  flow.listener = waiting.request.listener;
  flow.upstream_id = upstream_id;
  flow.granted = now;
  flow.expires = listener.Expiry(now);
  flow.work_ms = listener.estimate.mean_ms;
  pool.Add(std::move(flow), true, now);

  SchedulerAction grant =
      MakeAction(SchedulerActionKind::kGrant, waiting.request.key);
  grant.upstream_id = upstream_id;
  actions.push_back(grant);
  ++figures.by_priority[waiting.priority].granted;
  if (waits.size() == kMaxWaits) {
    waits.pop_front();
  }
  waits.push_back(
      {waiting.request.listener,
       std::chrono::duration_cast<milliseconds>(now - waiting.submitted)});
}

void ServiceScheduler::State::Refuse(const WaitingRequest& waiting,
                                     RefusalReason reason,
                                     SteadyTime now) {
  SchedulerAction refusal =
      MakeAction(SchedulerActionKind::kRefuse, waiting.request.key);
  refusal.reason = reason;
  actions.push_back(refusal);
  answers.Record(refusal, now);
  ++figures.by_priority[waiting.priority].refused[reason];
}

void ServiceScheduler::State::GrantWaiting(SteadyTime now) {
  while (queue.size() > 0 && pool.HasPlace(now)) {
    const bool lowest_first =
        (grants_while_waiting + 1) % kGrantsPerLowest == 0;
    std::optional<uint64_t> upstream_id;
    int skipped_count = 0;
    std::optional<uint32_t> priority;
    const auto visit = [&](const WaitingRequest& waiting) {
      if (std::exchange(priority, waiting.priority) != waiting.priority) {
        skipped_count = 0;
      }
      if (skipped_count > kMaxSkipped || now >= waiting.leave_by) {
        return false;
      }
      upstream_id = ChoosePlace(waiting, true, now);
      skipped_count += upstream_id ? 0 : 1;
      return upstream_id.has_value();
    };
    auto taken = queue.TakeNext(lowest_first, visit);
    if (!taken && lowest_first) {
      priority.reset();
      taken = queue.TakeNext(false, visit);
    }
    if (!taken) {
      return;
    }
    ++grants_while_waiting;
    Grant(*taken, *upstream_id, now);
  }
}

void ServiceScheduler::State::RefuseHopeless(SteadyTime now) {
  const Capacity capacity = pool.CapacityAt(now);
  std::vector<RequestKey> late;
  double ahead_ms = capacity.backlog_ms;
  std::map<uint32_t, double> rates;
  for (const WaitingRequest* waiting : queue.InOrder()) {
    auto [rate, is_new] = rates.try_emplace(waiting->priority, 0);
    if (is_new) {
      rate->second = DrainRate(capacity, waiting->priority, now);
    }
    const double wait_ms = (ahead_ms + waiting->work_ms) / rate->second;
    const ListenerState& listener = listeners.Find(waiting->request.listener);
    const double slack_ms =
        listener.terms.latency_target.count() * kRecheckSlack;
    const double planned_ms =
        std::max(waiting->work_ms / capacity.mean_speed,
                 PlannedMs(*waiting, capacity.mean_speed) - slack_ms);
    const double completion_ms = wait_ms + planned_ms;
    if (capacity.has_usable && now < waiting->leave_by &&
        completion_ms <= MsUntil(now, waiting->complete_by)) {
      ahead_ms += waiting->work_ms;
      continue;
    }
    late.push_back(waiting->request.key);
  }
  for (const RequestKey& key : late) {
    auto waiting = queue.Remove(key);
    if (capacity.has_usable &&
        TryForward(*waiting, MsUntil(now, waiting->complete_by), now)) {
      continue;
    }
    Refuse(*waiting,
           capacity.has_usable ? RefusalReason::kNoRoom
                               : RefusalReason::kNoUpstream,
           now);
  }
}

void ServiceScheduler::State::ReturnForwards(SteadyTime now) {
  std::vector<RequestKey> expired;
  for (const auto& [key, forward] : forwards) {
    if (forward.expires <= now) {
      expired.push_back(key);
    }
  }
  for (const RequestKey& key : expired) {
    auto node = forwards.extract(key);
    Admit(std::move(node.mapped().waiting), now);
  }
}

}  // namespace poplarsail::scheduling
