#include "emulator/scheduler_model.h"

#include <algorithm>
#include <utility>

namespace poplarsail::emulator {

namespace {

using namespace std::chrono_literals;
using scheduling::SchedulerActionKind;

constexpr milliseconds kWaitingTickInterval{10};
constexpr milliseconds kTickInterval{250};
constexpr milliseconds kAnnounceInterval{500};

}  // namespace

SchedulerModel::SchedulerModel(EventQueue* events,
                               SchedulingNetwork* network,
                               const model::Ipv4Endpoint& own,
                               std::string service,
                               std::string failure_domain,
                               uint64_t seed)
    : m_events(events),
      m_network(network),
      m_own(own),
      m_service(std::move(service)),
      m_failure_domain(std::move(failure_domain)),
      m_scheduler(m_service, m_failure_domain, seed) {
  ScheduleTick(kTickInterval);
  Announce();
}

void SchedulerModel::Update(const cluster_state::ClusterState& cluster_state) {
  const auto& configuration = cluster_state.configuration();
  if (!configuration) {
    return;
  }
  scheduling::Pool pool;
  pool.service = m_service;
  pool.failure_domain = m_failure_domain;
  for (const cluster_state::ListenerRecord& listener :
       configuration->listeners) {
    const bool uses_service = std::any_of(
        listener.shares.begin(), listener.shares.end(),
        [this](const auto& share) { return share.service == m_service; });
    if (uses_service) {
      pool.listeners.push_back({listener.endpoint, *listener.priority,
                                listener.latency_target, listener.timeout});
    }
  }
  for (const auto& [name, known] : cluster_state.upstreams()) {
    const cluster_state::UpstreamRecord& record = known.record;
    if (record.service == m_service &&
        record.failure_domain == m_failure_domain) {
      pool.upstreams.push_back(
          {record.id, record.slots, record.cold_until, record.started_unix_ms,
           record.phase == cluster_state::UpstreamPhase::kServing &&
               !known.is_unregistered});
    }
  }
  Execute(m_scheduler.UpdatePool(pool, m_events->now()));
}

void SchedulerModel::OnMessage(const model::Ipv4Endpoint& from,
                               const scheduling::MessageBody& body) {
  const SteadyTime now = m_events->now();
  if (const auto* place = std::get_if<scheduling::PlaceMessage>(&body)) {
    OnPlace(from, *place);
  } else if (const auto* complete =
                 std::get_if<scheduling::CompleteMessage>(&body)) {
    Execute(m_scheduler.Complete(from, complete->completions, now));
  } else if (const auto* snapshot =
                 std::get_if<scheduling::SnapshotMessage>(&body)) {
    Execute(m_scheduler.ApplySnapshot(from, snapshot->flows, now));
  } else if (const auto* refuse =
                 std::get_if<scheduling::RefuseMessage>(&body)) {
    Execute(m_scheduler.OnForwardRefused(
        {*refuse->forwarded_for, refuse->token}, now));
  } else if (const auto* announcement =
                 std::get_if<scheduling::Announcement>(&body)) {
    m_scheduler.RecordAnnouncement(*announcement, now);
  }
}

void SchedulerModel::OnForwardGranted(const scheduling::RequestKey& key) {
  m_scheduler.OnForwardGranted(key, m_events->now());
}

void SchedulerModel::OnPlace(const model::Ipv4Endpoint& from,
                             const scheduling::PlaceMessage& message) {
  scheduling::PlacementRequest request;
  request.key = {message.forwarded_for.value_or(from), message.token};
  request.listener = message.listener;
  request.client_address = message.client_address;
  request.first_syn = m_events->now() - message.syn_age;
  request.excluded_upstream_ids = message.excluded_upstream_ids;
  request.is_forwarded = message.forwarded_for.has_value();
  if (request.is_forwarded) {
    m_forwarders[request.key] = from;
  }
  Execute(m_scheduler.Submit(request, m_events->now()));
}

void SchedulerModel::Execute(const scheduling::SchedulerActions& actions) {
  for (const scheduling::SchedulerAction& action : actions) {
    ExecuteOne(action);
  }
}

void SchedulerModel::ExecuteOne(const scheduling::SchedulerAction& action) {
  const scheduling::RequestKey& key = action.request;
  const auto forwarder = m_forwarders.find(key);
  switch (action.kind) {
    case SchedulerActionKind::kGrant:
      Send(key.host, scheduling::GrantMessage{key.token, action.upstream_id});
      if (forwarder != m_forwarders.end()) {
        m_network->NotifyForwardGranted(m_own, forwarder->second, m_service,
                                        key);
        m_forwarders.erase(forwarder);
      }
      return;
    case SchedulerActionKind::kQueue:
      Send(key.host, scheduling::QueuedMessage{key.token});
      ScheduleTick(kWaitingTickInterval);
      return;
    case SchedulerActionKind::kRefuse: {
      scheduling::RefuseMessage refuse{key.token, action.reason, {}, {}};
      model::Ipv4Endpoint to = key.host;
      if (forwarder != m_forwarders.end()) {
        refuse.forwarded_for = key.host;
        to = forwarder->second;
        m_forwarders.erase(forwarder);
      }
      Send(to, refuse);
      return;
    }
    case SchedulerActionKind::kForward: {
      const scheduling::PlacementRequest& request = action.forwarded;
      Send(action.forward_to,
           scheduling::PlaceMessage{key.token, request.listener,
                                    request.client_address,
                                    std::chrono::duration_cast<milliseconds>(
                                        m_events->now() - request.first_syn),
                                    request.excluded_upstream_ids, key.host});
      ScheduleTick(kWaitingTickInterval);
      return;
    }
  }
}

void SchedulerModel::Send(const model::Ipv4Endpoint& to,
                          scheduling::MessageBody body) {
  m_network->Send(m_own, to, {m_service, std::move(body)});
}

void SchedulerModel::ScheduleTick(SteadyTime::duration delay) {
  const SteadyTime due = m_events->now() + delay;
  if (m_next_tick && *m_next_tick <= due) {
    return;
  }
  m_next_tick = due;
  m_events->ScheduleAt(due, [this, due]() {
    if (m_next_tick != due) {
      return;
    }
    m_next_tick.reset();
    Execute(m_scheduler.Tick(m_events->now()));
    const bool is_waiting = m_scheduler.Summary(m_events->now()).waiting > 0;
    ScheduleTick(is_waiting ? kWaitingTickInterval : kTickInterval);
  });
}

void SchedulerModel::Announce() {
  scheduling::Announcement announcement = m_scheduler.Summary(m_events->now());
  announcement.scheduler = m_own;
  m_network->Broadcast(m_own, {m_service, announcement});
  m_events->ScheduleAfter(kAnnounceInterval, [this]() { Announce(); });
}

}  // namespace poplarsail::emulator
