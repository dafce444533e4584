#include "scheduling/service_scheduler.h"

#include <cmath>
#include <unordered_set>

#include "scheduling/scheduler_state.h"

namespace poplarsail::scheduling {
namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

// Grants that may still be on their way when a host writes its snapshot.
constexpr milliseconds kSnapshotGrace(300);
constexpr milliseconds kHostSilence(2'000);
constexpr milliseconds kSweepInterval(100);

}  // namespace

void ServiceScheduler::State::CompleteOne(const RequestKey& key,
                                          const Completion& completion,
                                          SteadyTime now) {
  Withdraw(key);
  if (HoldsPlaceOfError(key, completion, now)) {
    return;
  }
  // A host that could not use a grant has placed the flow elsewhere, and
  // completes only the grant.
  const OutstandingFlow* known = pool.Find(key);
  const bool is_elsewhere =
      known != nullptr && known->upstream_id != completion.upstream_id;
  auto flow = is_elsewhere ? std::nullopt : pool.Remove(key, now);
  if (!flow) {
    // A flow that its host placed, or a copy of the message.
    if (answers.IsEnded(key, completion.upstream_id, now)) {
      return;
    }
    flow.emplace();
    flow->key = key;
    flow->upstream_id = completion.upstream_id;
    flow->granted = now;
  }
  drain.RecordCompletion(flow->work_ms);
  SchedulerAction answer = MakeAction(SchedulerActionKind::kGrant, key);
  answer.upstream_id = flow->upstream_id;
  answers.Record(answer, now);
  if (completion.outcome == Outcome::kFailed) {
    pool.RecordFailure(*flow, now);
  }
  if (completion.outcome != Outcome::kResponded) {
    return;
  }
  const double response_ms = Milliseconds(completion.response_time).count();
  if (flow->had_free_slot && response_ms > 0 &&
      !pool.IsCold(flow->upstream_id, now)) {
    listeners.Find(flow->listener)
        .AddSample(pool.WorkOf(response_ms) * pool.SpeedOf(flow->upstream_id),
                   now);
  }
  pool.RecordResponse(*flow, response_ms, now);
}

bool ServiceScheduler::State::HoldsPlaceOfError(const RequestKey& key,
                                                const Completion& completion,
                                                SteadyTime now) {
  const OutstandingFlow* flow = pool.Find(key);
  if (flow == nullptr || completion.outcome != Outcome::kResponded) {
    return false;
  }
  const double response_ms = Milliseconds(completion.response_time).count();
  const ListenerState& listener = listeners.Find(flow->listener);
  if (response_ms <= 0 || !listener.IsProbablyError(pool.WorkOf(response_ms))) {
    return false;
  }
  const auto work = std::chrono::duration_cast<SteadyTime::duration>(
      Milliseconds(listener.estimate.mean_ms));
  const SteadyTime usual_end = flow->granted + work;
  if (usual_end <= now) {
    return false;
  }
  pool.RecordSign(flow->upstream_id);
  pool.SetExpiry(key, usual_end);
  return true;
}

void ServiceScheduler::State::Withdraw(const RequestKey& key) {
  queue.Remove(key);
  forwards.erase(key);
}

void ServiceScheduler::State::Free(const RequestKey& key, SteadyTime now) {
  const auto flow = pool.Remove(key, now);
  if (!flow) {
    return;
  }
  SchedulerAction answer = MakeAction(SchedulerActionKind::kGrant, key);
  answer.upstream_id = flow->upstream_id;
  answers.Record(answer, now);
}

void ServiceScheduler::State::Forget(const RequestKey& key, SteadyTime now) {
  pool.Remove(key, now);
  answers.Forget(key);
}

void ServiceScheduler::State::AddListed(const RequestKey& key,
                                        const OpenFlow& listed,
                                        SteadyTime now) {
  Withdraw(key);
  if (answers.IsEnded(key, listed.upstream_id, now)) {
    return;
  }
  OutstandingFlow flow;
  flow.key = key;
  flow.upstream_id = listed.upstream_id;
  flow.granted = now - listed.age;
  flow.expires = listeners.Find({}).Expiry(flow.granted);
  flow.work_ms = listeners.MeanWorkMs();
  if (flow.expires > now) {
    pool.Add(std::move(flow), false, now);
  }
}

void ServiceScheduler::State::Refresh(SteadyTime now) {
  listeners.Refresh(now);
  pool.SetDomainCount(1 + offers.CountLive(now));
  pool.SetMeanWork(listeners.MeanWorkMs());
  pool.Refresh(now, [&](const OutstandingFlow& flow, double done_ms) {
    return listeners.Find(flow.listener).work.RemainingMs(done_ms, now);
  });
}

void ServiceScheduler::State::Sweep(SteadyTime now) {
  if (now < next_sweep) {
    return;
  }
  next_sweep = now + kSweepInterval;
  for (const RequestKey& key : pool.Expired(now)) {
    Free(key, now);
  }
  for (const auto& [host, silent_at] : hosts) {
    if (silent_at > now) {
      continue;
    }
    for (const RequestKey& key : pool.KeysOf(host)) {
      Forget(key, now);
    }
  }
  std::erase_if(hosts, [now](const auto& host) { return host.second <= now; });
  queue.Purge();
  answers.Purge(now);
}

ServiceScheduler::ServiceScheduler(std::string service,
                                   std::string failure_domain,
                                   uint64_t seed)
    : m_state(std::make_unique<State>(std::move(service),
                                      std::move(failure_domain),
                                      seed)) {}

ServiceScheduler::~ServiceScheduler() = default;

SchedulerActions ServiceScheduler::UpdatePool(const Pool& pool,
                                              SteadyTime now) {
  m_state->pool.Update(pool, now);
  m_state->listeners.Update(pool.listeners, now);
  return Tick(now);
}

SchedulerActions ServiceScheduler::Submit(const PlacementRequest& request,
                                          SteadyTime now) {
  m_state->hosts[request.key.host] = now + kHostSilence;
  if (m_state->AnswerDuplicate(request, now)) {
    return m_state->TakeActions();
  }
  WaitingRequest waiting = m_state->Prepare(request, now);
  m_state->listeners.RecordDemand(waiting.priority, waiting.work_ms, now);
  ++m_state->figures.by_priority[waiting.priority].submitted;
  m_state->Admit(std::move(waiting), now);
  return m_state->TakeActions();
}

SchedulerActions ServiceScheduler::Complete(
    const Ipv4Endpoint& host,
    const std::vector<Completion>& completions,
    SteadyTime now) {
  m_state->hosts[host] = now + kHostSilence;
  for (const Completion& completion : completions) {
    m_state->CompleteOne({host, completion.token}, completion, now);
  }
  m_state->GrantWaiting(now);
  return m_state->TakeActions();
}

SchedulerActions ServiceScheduler::ApplySnapshot(
    const Ipv4Endpoint& host,
    const std::vector<OpenFlow>& flows,
    SteadyTime now) {
  m_state->hosts[host] = now + kHostSilence;
  std::unordered_set<uint32_t> listed;
  for (const OpenFlow& flow : flows) {
    const RequestKey key{host, flow.token};
    listed.insert(flow.token);
    const OutstandingFlow* known = m_state->pool.Find(key);
    if (known && known->upstream_id == flow.upstream_id) {
      continue;
    }
    // The host could not use the granted upstream.
    if (known) {
      m_state->pool.Remove(key, now);
    }
    m_state->AddListed(key, flow, now);
  }
  for (const RequestKey& key : m_state->pool.KeysOf(host)) {
    if (!listed.contains(key.token) &&
        m_state->pool.Find(key)->granted + kSnapshotGrace < now) {
      m_state->Forget(key, now);
    }
  }
  m_state->GrantWaiting(now);
  return m_state->TakeActions();
}

void ServiceScheduler::RecordAnnouncement(const Announcement& announcement,
                                          SteadyTime now) {
  if (announcement.service == m_state->service &&
      announcement.failure_domain != m_state->failure_domain) {
    m_state->offers.Record(announcement, now);
  }
}

SchedulerActions ServiceScheduler::OnForwardRefused(const RequestKey& key,
                                                    SteadyTime now) {
  if (auto node = m_state->forwards.extract(key)) {
    m_state->Admit(std::move(node.mapped().waiting), now);
  }
  return m_state->TakeActions();
}

void ServiceScheduler::OnForwardGranted(const RequestKey& key, SteadyTime now) {
  if (m_state->forwards.erase(key) == 0) {
    return;
  }
  m_state->answers.Record(MakeAction(SchedulerActionKind::kQueue, key), now);
}

SchedulerActions ServiceScheduler::Tick(SteadyTime now) {
  m_state->Refresh(now);
  const Capacity capacity = m_state->pool.CapacityAt(now);
  m_state->drain.Tick(m_state->queue.size() > 0 && !capacity.has_cold,
                      capacity.work_rate, now);
  m_state->Sweep(now);
  m_state->ReturnForwards(now);
  m_state->GrantWaiting(now);
  m_state->RefuseHopeless(now);
  return m_state->TakeActions();
}

Announcement ServiceScheduler::Summary(SteadyTime now) const {
  const Capacity capacity = m_state->pool.CapacityAt(now);
  Announcement summary;
  summary.service = m_state->service;
  summary.failure_domain = m_state->failure_domain;
  summary.places = capacity.places;
  summary.outstanding = capacity.outstanding;
  summary.waiting = m_state->queue.size();
  // What own callers leave over, on average or now: the slots that are free at
  // this moment change many times until the next announcement. Offering too
  // much costs a round trip, since only free slots are given away.
  const double spare = capacity.work_rate - m_state->listeners.TotalDemand(now);
  summary.free_places = std::max(static_cast<uint32_t>(std::max(spare, 0.0)),
                                 summary.waiting > 0 ? 0 : capacity.free_slots);
  const double mean_ms = m_state->listeners.MeanWorkMs();
  summary.mean_work = milliseconds(std::llround(mean_ms));
  if (summary.free_places == 0 && capacity.work_rate > 0) {
    summary.predicted_wait = milliseconds(std::llround(
        (m_state->queue.total_work_ms() + capacity.backlog_ms + mean_ms) /
        capacity.work_rate));
  }
  return summary;
}

LearnedMessage ServiceScheduler::ExportLearned(SteadyTime now) const {
  LearnedMessage learned;
  for (const auto& record : m_state->pool.Speeds(now)) {
    if (record.samples > 0) {
      learned.speeds.push_back({record.upstream_id, record.started_unix_ms,
                                record.speed, record.samples});
    }
  }
  learned.work = m_state->listeners.Learned(now);
  return learned;
}

void ServiceScheduler::ImportLearned(const LearnedMessage& learned,
                                     SteadyTime now) {
  for (const LearnedSpeed& speed : learned.speeds) {
    m_state->pool.SeedSpeed(
        {speed.upstream_id, speed.started_unix_ms, speed.speed, speed.samples},
        now);
  }
  m_state->listeners.Seed(learned.work, now);
}

SchedulerFigures ServiceScheduler::figures() const {
  SchedulerFigures figures = m_state->figures;
  for (const auto& [priority, count] : m_state->queue.CountByPriority()) {
    figures.by_priority[priority].waiting = count;
  }
  return figures;
}

std::vector<RecordedWait> ServiceScheduler::TakeWaits() {
  std::vector<RecordedWait> waits(m_state->waits.begin(), m_state->waits.end());
  m_state->waits.clear();
  return waits;
}

}  // namespace poplarsail::scheduling
