#include "entry/local_schedulers.h"

#include <algorithm>
#include <random>

#include "entry/local_scheduler_state.h"

namespace poplarsail::entry {

namespace {

using model::Ipv4Endpoint;
using scheduling::milliseconds;
using scheduling::RefusalReason;
using scheduling::RequestKey;
using scheduling::SchedulerAction;
using scheduling::SchedulerActionKind;
using scheduling::SteadyTime;

// A scheduler that does not announce itself for this long is not used.
constexpr milliseconds kAnnouncementLifetime{1'500};
// By then the requests that wait at a scheduler with a better ranked one have
// left it: they are held for at most 1.3 s.
constexpr milliseconds kHandOverTime{2'000};
constexpr milliseconds kUnusedLifetime{60'000};
constexpr milliseconds kLearnedLifetime{30'000};
constexpr size_t kMaxStoredLearned = 64;
// Listeners in messages need not be configured.
constexpr size_t kMaxListeners = 256;
// Longer than the scheduler waits for the answer to a forwarded request.
constexpr milliseconds kForwardLifetime{70};
constexpr milliseconds kWaitingTick{10};
constexpr milliseconds kIdleTick{250};

}  // namespace

LocalSchedulers::LocalSchedulers(const scheduling::Candidate& own,
                                 std::string failure_domain,
                                 const ServicePools* pools,
                                 Send send)
    : m_own(own),
      m_failure_domain(std::move(failure_domain)),
      m_pools(pools),
      m_send(std::move(send)) {}

LocalSchedulers::~LocalSchedulers() = default;

void LocalSchedulers::SetCandidates(
    const std::vector<scheduling::Candidate>& candidates) {
  m_candidates = candidates;
  std::erase_if(m_candidates, [this](const scheduling::Candidate& candidate) {
    return candidate.endpoint == m_own.endpoint;
  });
}

void LocalSchedulers::SetRemotePeers(const std::vector<Ipv4Endpoint>& peers) {
  m_remote_peers = peers;
}

void LocalSchedulers::UpdatePools(SteadyTime now) {
  const auto has_no_pool = [this](const auto& item) {
    return m_pools->Find(item.first) == nullptr;
  };
  std::erase_if(m_better, has_no_pool);
  std::erase_if(m_learned, has_no_pool);
  std::vector<std::string> unusable;
  for (const auto& [service, running] : m_running) {
    if (const scheduling::Pool* pool = m_pools->Find(service)) {
      Execute(*running, running->scheduler.UpdatePool(*pool, now), now);
    } else {
      unusable.push_back(service);
    }
  }
  for (const std::string& service : unusable) {
    HandOverWaiting(service, *m_running.at(service), now);
    m_running.erase(service);
  }
}

LocalSchedulers::Running* LocalSchedulers::Find(const std::string& service) {
  const auto found = m_running.find(service);
  return found == m_running.end() ? nullptr : found->second.get();
}

bool LocalSchedulers::IsRunning(const std::string& service) const {
  return m_running.contains(service);
}

LocalSchedulers::Running* LocalSchedulers::FindOrStart(
    const std::string& service,
    SteadyTime now) {
  if (Running* running = Find(service)) {
    return running;
  }
  const scheduling::Pool* pool = m_pools->Find(service);
  if (pool == nullptr) {
    return nullptr;
  }
  auto started = std::make_unique<Running>(service, m_failure_domain,
                                           std::random_device()());
  Running& running = *started;
  m_running[service] = std::move(started);
  running.scheduler.UpdatePool(*pool, now);
  running.next_log = now + kLogInterval;
  const auto learned = m_learned.extract(service);
  if (!learned.empty()) {
    for (const StoredLearned& stored : learned.mapped()) {
      if (stored.expiry > now) {
        running.scheduler.ImportLearned(stored.message, now);
      }
    }
  }
  return &running;
}

const LocalSchedulers::Better* LocalSchedulers::FindBetter(
    const std::string& service,
    SteadyTime now) const {
  const auto found = m_better.find(service);
  return found == m_better.end() || found->second.until <= now ? nullptr
                                                               : &found->second;
}

bool LocalSchedulers::OnPlace(const std::string& service,
                              const scheduling::PlaceMessage& message,
                              const Ipv4Endpoint& sender,
                              SteadyTime now) {
  const bool is_forwarded = message.forwarded_for.has_value();
  const RequestKey key{message.forwarded_for.value_or(sender), message.token};
  Running* running = Find(service);
  const Better* better = FindBetter(service, now);
  if (is_forwarded && (running == nullptr || better != nullptr)) {
    Refuse(service, message, sender, RefusalReason::kNoRoom, std::nullopt);
    return true;
  }
  // This host asks its own scheduler only if it gets no answer from the better
  // ranked one.
  const bool is_waiting = running != nullptr && running->waiting.contains(key);
  if (better != nullptr && sender != m_own.endpoint && !is_waiting) {
    Refuse(service, message, sender, RefusalReason::kUseOther,
           better->candidate.endpoint);
    return true;
  }
  running = FindOrStart(service, now);
  if (running == nullptr) {
    return false;
  }
  running->last_request = now;
  if (sender == m_own.endpoint) {
    running->last_own_request = now;
  }
  if (running->last_refresh + kIdleTick <= now) {
    running->last_refresh = now;
    Execute(*running, running->scheduler.Tick(now), now);
  }
  const scheduling::PlacementRequest request{key,
                                             message.listener,
                                             message.client_address,
                                             now - message.syn_age,
                                             message.excluded_upstream_ids,
                                             is_forwarded};
  const auto actions = running->scheduler.Submit(request, now);
  if (is_forwarded) {
    Execute(*running, actions, now, key, sender);
  } else {
    Execute(*running, actions, now);
  }
  return true;
}

void LocalSchedulers::Refuse(const std::string& service,
                             const scheduling::PlaceMessage& message,
                             const Ipv4Endpoint& receiver,
                             RefusalReason reason,
                             const std::optional<Ipv4Endpoint>& other) {
  m_send(receiver,
         {service, scheduling::RefuseMessage{message.token, reason, other,
                                             message.forwarded_for}});
}

void LocalSchedulers::Execute(Running& running,
                              const scheduling::SchedulerActions& actions,
                              SteadyTime now,
                              const RequestKey& forwarded,
                              const Ipv4Endpoint& forwarder) {
  for (const SchedulerAction& action : actions) {
    const RequestKey& key = action.request;
    running.last_sent[key.host] = now;
    const bool is_forwarded = forwarder != Ipv4Endpoint() && key == forwarded;
    switch (action.kind) {
      case SchedulerActionKind::kGrant: {
        running.waiting.erase(key);
        const scheduling::SchedulingMessage grant{
            running.service,
            scheduling::GrantMessage{key.token, action.upstream_id}};
        m_send(key.host, grant);
        // Tells the scheduler that forwarded it not to let the request wait.
        if (is_forwarded && forwarder != key.host) {
          m_send(forwarder, grant);
        }
        break;
      }
      case SchedulerActionKind::kQueue:
        if (!is_forwarded) {
          running.waiting[key] = now + kMaxWait;
          m_send(key.host,
                 {running.service, scheduling::QueuedMessage{key.token}});
        }
        break;
      case SchedulerActionKind::kRefuse:
        running.waiting.erase(key);
        m_send(is_forwarded ? forwarder : key.host,
               {running.service,
                scheduling::RefuseMessage{
                    key.token, action.reason, std::nullopt,
                    is_forwarded ? std::optional(key.host) : std::nullopt}});
        break;
      case SchedulerActionKind::kForward:
        Forward(running, action, now);
        break;
    }
  }
}

void LocalSchedulers::Forward(Running& running,
                              const SchedulerAction& action,
                              SteadyTime now) {
  const scheduling::PlacementRequest& request = action.forwarded;
  scheduling::PlaceMessage message;
  message.token = request.key.token;
  message.listener = request.listener;
  message.client_address = request.client_address;
  message.syn_age =
      std::chrono::duration_cast<milliseconds>(now - request.first_syn);
  message.excluded_upstream_ids = request.excluded_upstream_ids;
  message.forwarded_for = request.key.host;
  running.forwards[{action.forward_to, request.key.token}] = {
      request.key, now + kForwardLifetime};
  ++m_forwarded;
  m_send(action.forward_to, {running.service, message});
}

bool LocalSchedulers::OnComplete(const std::string& service,
                                 const scheduling::CompleteMessage& message,
                                 const Ipv4Endpoint& sender,
                                 SteadyTime now) {
  Running* running = Find(service);
  if (running == nullptr) {
    return false;
  }
  Execute(*running,
          running->scheduler.Complete(sender, message.completions, now), now);
  return true;
}

bool LocalSchedulers::OnSnapshot(const std::string& service,
                                 const scheduling::SnapshotMessage& message,
                                 const Ipv4Endpoint& sender,
                                 SteadyTime now) {
  Running* running = Find(service);
  if (running == nullptr) {
    return false;
  }
  if (const auto flows = m_snapshots.Add(sender, service, message, now)) {
    Execute(*running, running->scheduler.ApplySnapshot(sender, *flows, now),
            now);
  }
  return true;
}

bool LocalSchedulers::OnLearned(const std::string& service,
                                const scheduling::LearnedMessage& message,
                                SteadyTime now) {
  if (Running* running = Find(service)) {
    running->scheduler.ImportLearned(message, now);
    return true;
  }
  if (m_pools->Find(service) == nullptr) {
    return false;
  }
  std::vector<StoredLearned>& stored = m_learned[service];
  std::erase_if(
      stored, [now](const StoredLearned& item) { return item.expiry <= now; });
  if (stored.size() >= kMaxStoredLearned) {
    stored.erase(stored.begin());
  }
  stored.push_back({message, now + kLearnedLifetime});
  return true;
}

bool LocalSchedulers::OnAnnouncement(
    const scheduling::Announcement& announcement,
    SteadyTime now) {
  const std::string& service = announcement.service;
  if (announcement.failure_domain != m_failure_domain) {
    Running* running = Find(service);
    if (running != nullptr) {
      running->scheduler.RecordAnnouncement(announcement, now);
    }
    return running != nullptr;
  }
  std::vector<scheduling::Candidate> ranked = {
      m_own, {announcement.scheduler, announcement.capacity_class}};
  const Better* known = FindBetter(service, now);
  if (known != nullptr) {
    ranked.push_back(known->candidate);
  }
  ranked = scheduling::RankCandidates(std::move(ranked), service);
  if (ranked[0].endpoint == announcement.scheduler &&
      m_pools->Find(service) != nullptr) {
    m_better[service] = {ranked[0], known != nullptr ? known->since : now,
                         now + kAnnouncementLifetime};
  }
  return true;
}

std::optional<RequestKey> LocalSchedulers::OnForwardGranted(
    const std::string& service,
    uint32_t token,
    const Ipv4Endpoint& sender,
    SteadyTime now) {
  Running* running = Find(service);
  if (running == nullptr) {
    return std::nullopt;
  }
  const auto forward = running->forwards.extract({sender, token});
  if (forward.empty()) {
    return std::nullopt;
  }
  const RequestKey key = forward.mapped().key;
  running->waiting.erase(key);
  running->scheduler.OnForwardGranted(key, now);
  return key;
}

bool LocalSchedulers::OnForwardRefused(const std::string& service,
                                       const RequestKey& key,
                                       SteadyTime now) {
  Running* running = Find(service);
  if (running == nullptr) {
    return false;
  }
  std::erase_if(running->forwards,
                [&key](const auto& item) { return item.second.key == key; });
  Execute(*running, running->scheduler.OnForwardRefused(key, now), now);
  return true;
}

bool LocalSchedulers::IsDroppable(const std::string& service,
                                  const Running& running,
                                  SteadyTime now) const {
  if (running.last_request + kUnusedLifetime <= now) {
    return true;
  }
  const Better* better = FindBetter(service, now);
  return better != nullptr && better->since + kHandOverTime <= now &&
         running.last_own_request + kHandOverTime <= now;
}

void LocalSchedulers::Tick(SteadyTime now) {
  std::vector<std::string> droppable;
  for (const auto& [service, running] : m_running) {
    const bool is_due = running->HasPending() ||
                        running->last_tick + kIdleTick <= now + kWaitingTick;
    if (is_due) {
      TickOne(service, *running, now);
    }
    if (IsDroppable(service, *running, now)) {
      droppable.push_back(service);
    }
  }
  for (const std::string& service : droppable) {
    HandOverWaiting(service, *m_running.at(service), now);
    m_running.erase(service);
  }
}

void LocalSchedulers::TickOne(const std::string& service,
                              Running& running,
                              SteadyTime now) {
  running.last_tick = now;
  running.last_refresh = now;
  Execute(running, running.scheduler.Tick(now), now);
  const auto is_over = [now](const auto& item) {
    return ExpiryOf(item.second) <= now;
  };
  std::erase_if(running.forwards, is_over);
  std::erase_if(running.waiting, is_over);
  running.LogRefusals(now);
  for (const scheduling::RecordedWait& wait : running.scheduler.TakeWaits()) {
    if (m_waits.size() < kMaxListeners || m_waits.contains(wait.listener)) {
      m_waits[wait.listener].Add(wait.wait);
    }
  }
  if (running.last_request + kActivePeriod > now) {
    Announce(running, now);
    SendLearned(service, running, now);
  }
}

std::optional<milliseconds> LocalSchedulers::TickInterval(
    SteadyTime now) const {
  std::optional<milliseconds> interval;
  for (const auto& [service, running] : m_running) {
    if (running->HasPending()) {
      return kWaitingTick;
    }
    if (running->last_request + kActivePeriod > now) {
      interval = kIdleTick;
    }
  }
  return interval;
}

void LocalSchedulers::AddFigures(SteadyTime now,
                                 SchedulingFigures* figures) const {
  figures->forwarded = m_forwarded;
  figures->waits = m_waits;
  for (const auto& [service, running] : m_running) {
    const scheduling::Announcement summary = running->scheduler.Summary(now);
    figures->schedulers.push_back(
        {service, summary.places, summary.outstanding, summary.waiting});
  }
}

}  // namespace poplarsail::entry
