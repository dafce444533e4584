#include "dispatch/dispatcher.h"

#include <algorithm>
#include <utility>

#include "dispatch/dispatch_constants.h"

namespace poplarsail::dispatch {

std::string_view ToString(RefusalCause cause) {
  switch (cause) {
    case RefusalCause::kNoSuchService:
      return "no_such_service";
    case RefusalCause::kNoUpstream:
      return "no_upstream";
    case RefusalCause::kQueueFull:
      return "queue_full";
    case RefusalCause::kDeadlinePassed:
      return "deadline_passed";
    case RefusalCause::kRetriesExhausted:
      return "retries_exhausted";
    case RefusalCause::kOutcomeUnknown:
      return "outcome_unknown";
    case RefusalCause::kStopping:
      return "stopping";
  }
  return "unknown";
}

Dispatcher::Dispatcher(uint64_t seed) : m_random(seed) {}

DispatchActions Dispatcher::SetUpstreams(const std::string& service,
                                         std::vector<RequestUpstream> upstreams,
                                         TimePoint now) {
  ServiceState& state = m_services[service];
  state.is_removed = false;
  for (auto& [name, upstream] : state.upstreams) {
    upstream.is_listed = false;
  }
  for (RequestUpstream& info : upstreams) {
    const auto found = state.upstreams.find(info.name);
    const bool is_same = found != state.upstreams.end() &&
                         found->second.info.address == info.address &&
                         found->second.info.slots == info.slots;
    if (is_same) {
      found->second.info = info;
      found->second.is_listed = true;
      continue;
    }
    const uint32_t running =
        found == state.upstreams.end() ? 0 : found->second.running;
    state.upstreams.insert_or_assign(
        info.name,
        UpstreamState{info, ConcurrencyLimit(info.slots), running, true});
  }
  std::erase_if(state.upstreams, [](const auto& item) {
    return !item.second.is_listed && item.second.running == 0;
  });
  DispatchActions actions;
  StartQueued(service, now, &actions);
  return actions;
}

DispatchActions Dispatcher::RemoveService(const std::string& service,
                                          TimePoint now) {
  DispatchActions actions = SetUpstreams(service, {}, now);
  ServiceState& state = m_services[service];
  const std::deque<RequestId> queue = std::move(state.queue);
  for (const RequestId id : queue) {
    Refuse(id, RefusalCause::kNoSuchService, &actions);
  }
  state.is_removed = true;
  return actions;
}

DispatchActions Dispatcher::Submit(const RequestInfo& request, TimePoint now) {
  DispatchActions actions;
  m_requests[request.id] = {.info = request};
  const auto service = m_services.find(request.service);
  if (m_is_stopping) {
    Refuse(request.id, RefusalCause::kStopping, &actions);
    return actions;
  }
  if (service == m_services.end() || service->second.is_removed) {
    Refuse(request.id, RefusalCause::kNoSuchService, &actions);
    return actions;
  }
  service->second.budget.RecordRequest();
  StartOrQueue(&m_requests[request.id], now, &actions);
  return actions;
}

// Starts the request if an upstream has capacity, otherwise queues or refuses
// it.
void Dispatcher::StartOrQueue(RequestState* request,
                              TimePoint now,
                              DispatchActions* actions) {
  const RequestId id = request->info.id;
  ServiceState& service = m_services[request->info.service];
  if (now >= request->info.deadline) {
    Refuse(id, RefusalCause::kDeadlinePassed, actions);
    return;
  }
  const bool has_candidate = std::any_of(
      service.upstreams.begin(), service.upstreams.end(), [](const auto& item) {
        return item.second.is_listed && !item.second.info.is_draining;
      });
  if (!has_candidate) {
    Refuse(id, RefusalCause::kNoUpstream, actions);
    return;
  }
  UpstreamState* chosen = ChooseUpstream(&service, *request, now);
  if (chosen != nullptr) {
    ++chosen->running;
    ++request->attempts;
    request->upstream = chosen->info.name;
    request->tried.insert(chosen->info.name);
    actions->push_back({.kind = DispatchActionKind::kStart,
                        .request = id,
                        .upstream = chosen->info});
    return;
  }
  if (service.queue.size() >= kMaxQueueLength) {
    Refuse(id, RefusalCause::kQueueFull, actions);
    return;
  }
  service.queue.push_back(id);
}

Dispatcher::UpstreamState* Dispatcher::ChooseUpstream(
    ServiceState* service,
    const RequestState& request,
    TimePoint now) {
  std::vector<UpstreamState*> untried;
  std::vector<UpstreamState*> tried;
  for (auto& [name, upstream] : service->upstreams) {
    const bool is_usable = upstream.is_listed && !upstream.info.is_draining &&
                           upstream.limit.HasCapacity(upstream.running, now);
    if (!is_usable) {
      continue;
    }
    (request.tried.contains(name) ? tried : untried).push_back(&upstream);
  }
  std::vector<UpstreamState*>& pool = untried.empty() ? tried : untried;
  if (pool.empty()) {
    return nullptr;
  }
  std::uniform_int_distribution<size_t> pick(0, pool.size() - 1);
  UpstreamState* first = pool[pick(m_random)];
  UpstreamState* second = pool[pick(m_random)];
  const auto load = [](const UpstreamState& upstream) {
    return (upstream.running + 1) / upstream.limit.limit();
  };
  return load(*first) <= load(*second) ? first : second;
}

DispatchActions Dispatcher::FinishAttempt(RequestId id,
                                          AttemptOutcome outcome,
                                          TimePoint now) {
  DispatchActions actions;
  const auto found = m_requests.find(id);
  if (found == m_requests.end() || found->second.upstream.empty()) {
    return actions;
  }
  RequestState& request = found->second;
  const std::string service_name = request.info.service;
  ServiceState& service = m_services[service_name];
  const std::string upstream_name = std::exchange(request.upstream, "");
  const auto upstream = service.upstreams.find(upstream_name);
  if (upstream != service.upstreams.end()) {
    if (outcome == AttemptOutcome::kResponseReceived) {
      upstream->second.limit.RecordSuccess();
    } else {
      upstream->second.limit.RecordFailure(now);
    }
  }
  ReleaseSlot(&service, upstream_name);
  if (outcome == AttemptOutcome::kResponseReceived) {
    m_requests.erase(found);
  } else {
    request.may_have_run |= outcome == AttemptOutcome::kUnknown;
    if (request.may_have_run && !request.info.is_idempotent) {
      Refuse(id, RefusalCause::kOutcomeUnknown, &actions);
    } else if (CanRetry(&service, request, now)) {
      StartOrQueue(&request, now, &actions);
    } else {
      Refuse(id, RefusalCause::kRetriesExhausted, &actions);
    }
  }
  StartQueued(service_name, now, &actions);
  return actions;
}

bool Dispatcher::CanRetry(ServiceState* service,
                          const RequestState& request,
                          TimePoint now) {
  return now < request.info.deadline && request.attempts < kMaxAttempts &&
         service->budget.TryConsumeToken();
}

void Dispatcher::ReleaseSlot(ServiceState* service,
                             const std::string& upstream) {
  const auto found = service->upstreams.find(upstream);
  if (found == service->upstreams.end()) {
    return;
  }
  --found->second.running;
  if (!found->second.is_listed && found->second.running == 0) {
    service->upstreams.erase(found);
  }
}

DispatchActions Dispatcher::Cancel(RequestId id, TimePoint now) {
  DispatchActions actions;
  const auto found = m_requests.find(id);
  if (found == m_requests.end()) {
    return actions;
  }
  const RequestState request = std::move(found->second);
  m_requests.erase(found);
  ServiceState& service = m_services[request.info.service];
  if (request.upstream.empty()) {
    std::erase(service.queue, id);
    return actions;
  }
  const auto upstream = service.upstreams.find(request.upstream);
  if (upstream != service.upstreams.end()) {
    actions.push_back({.kind = DispatchActionKind::kCancel,
                       .request = id,
                       .upstream = upstream->second.info});
  }
  ReleaseSlot(&service, request.upstream);
  StartQueued(request.info.service, now, &actions);
  return actions;
}

DispatchActions Dispatcher::Tick(TimePoint now) {
  DispatchActions actions;
  std::vector<RequestId> expired;
  for (const auto& [id, request] : m_requests) {
    if (now >= request.info.deadline) {
      expired.push_back(id);
    }
  }
  for (const RequestId id : expired) {
    const RequestState request = m_requests[id];
    const bool was_running = !request.upstream.empty();
    DispatchActions cancelled = Cancel(id, now);
    actions.insert(actions.end(), cancelled.begin(), cancelled.end());
    actions.push_back({.kind = DispatchActionKind::kRefuse,
                       .request = id,
                       .cause = RefusalCause::kDeadlinePassed,
                       .did_not_run = !was_running && !request.may_have_run});
  }
  for (auto& [name, service] : m_services) {
    StartQueued(name, now, &actions);
  }
  std::erase_if(m_services, [](const auto& item) {
    return item.second.is_removed && item.second.upstreams.empty();
  });
  return actions;
}

DispatchActions Dispatcher::StopAccepting(TimePoint now) {
  m_is_stopping = true;
  return Tick(now);
}

void Dispatcher::StartQueued(const std::string& service_name,
                             TimePoint now,
                             DispatchActions* actions) {
  ServiceState& service = m_services[service_name];
  size_t remaining = service.queue.size();
  while (remaining-- > 0) {
    const RequestId id = service.queue.front();
    service.queue.pop_front();
    StartOrQueue(&m_requests[id], now, actions);
    const bool was_queued_again =
        !service.queue.empty() && service.queue.back() == id;
    if (was_queued_again) {
      // No upstream has capacity: returns the request to the front of the
      // queue.
      service.queue.pop_back();
      service.queue.push_front(id);
      return;
    }
  }
}

void Dispatcher::Refuse(RequestId id,
                        RefusalCause cause,
                        DispatchActions* actions) {
  const auto found = m_requests.find(id);
  const bool did_not_run = !found->second.may_have_run;
  m_requests.erase(found);
  actions->push_back({.kind = DispatchActionKind::kRefuse,
                      .request = id,
                      .cause = cause,
                      .did_not_run = did_not_run});
}

size_t Dispatcher::queued_requests() const {
  size_t count = 0;
  for (const auto& [name, service] : m_services) {
    count += service.queue.size();
  }
  return count;
}

}  // namespace poplarsail::dispatch
