#include "scheduling/placement_client.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

#include "scheduling/placement_client_state.h"

namespace poplarsail::scheduling {

namespace {

// The first repetition goes to the same host: a lost datagram is more likely
// than a dead scheduler, and a second scheduler knows nothing of the flows that
// the first one has placed.
constexpr milliseconds kRepeatDelay{25};
constexpr milliseconds kNextCandidateDelay{20};
constexpr milliseconds kQueuedRepeatDelay{200};
constexpr milliseconds kLocalDelay{60};
// The client gives up 1.4 s after its first SYN.
constexpr milliseconds kMaxHold{1'300};
constexpr milliseconds kMaxQueueSilence{500};
constexpr size_t kMaxHeld = 4'096;

// The scheduler would take tokens of an earlier run of this host for
// duplicates, so each run starts with another token.
uint32_t FirstToken(const Ipv4Endpoint& own, SteadyTime now) {
  const int64_t ticks = now.time_since_epoch().count();
  return static_cast<uint32_t>(
      XXH64(&ticks, sizeof(ticks), uint64_t{own.address} << 16 | own.port));
}

}  // namespace

uint32_t PlacementClient::State::TakeToken(SteadyTime now) {
  if (!next_token) {
    next_token = FirstToken(own.endpoint, now);
  }
  // 0 means none.
  while (*next_token == 0 || held.contains(*next_token) ||
         reports.IsKnown(*next_token)) {
    ++*next_token;
  }
  return (*next_token)++;
}

Held* PlacementClient::State::FindAsked(uint32_t token,
                                        const Ipv4Endpoint& scheduler) {
  const auto found = held.find(token);
  if (found == held.end() ||
      std::ranges::find(found->second.asked, scheduler) ==
          found->second.asked.end()) {
    return nullptr;
  }
  return &found->second;
}

FlowReports::SchedulerLookup PlacementClient::State::Lookup(
    SteadyTime now) const {
  return [this, now](const std::string& service) {
    return directory.Select(service, {}, now);
  };
}

template <typename Change>
void PlacementClient::State::Update(uint32_t token, const Change& change) {
  Held& item = held.at(token);
  deadlines.erase({item.Due(), token});
  change(item);
  deadlines.insert({item.Due(), token});
}

Held PlacementClient::State::Release(uint32_t token, SteadyTime now) {
  const auto found = held.find(token);
  Held item = std::move(found->second);
  deadlines.erase({item.Due(), token});
  held.erase(found);
  for (const Ipv4Endpoint& scheduler : item.queued_at) {
    Unqueue(token, scheduler);
  }
  for (const Ipv4Endpoint& scheduler : item.asked) {
    reports.OnAsked(item.service, scheduler, now);
  }
  return item;
}

void PlacementClient::State::AskNext(uint32_t token,
                                     SteadyTime now,
                                     ClientActions& actions) {
  const Held& item = held.at(token);
  const auto next = directory.Select(item.service, item.asked, now);
  if (next) {
    Ask(token, *next, now, actions);
    return;
  }
  Update(token, [](Held& changed) { changed.repeat_due.reset(); });
}

void PlacementClient::State::Ask(uint32_t token,
                                 const Ipv4Endpoint& scheduler,
                                 SteadyTime now,
                                 ClientActions& actions) {
  directory.RecordAsked(scheduler, now);
  Update(token, [&](Held& item) {
    item.asked.push_back(scheduler);
    item.repeat_due =
        now + (item.is_repeated ? kNextCandidateDelay : kRepeatDelay);
  });
  SendRequest(token, scheduler, actions);
}

void PlacementClient::State::Repeat(uint32_t token,
                                    SteadyTime now,
                                    ClientActions& actions) {
  Update(token, [&](Held& item) {
    item.is_repeated = true;
    item.repeat_due = now + kNextCandidateDelay;
  });
  SendRequest(token, held.at(token).asked.back(), actions);
}

void PlacementClient::State::AskWhileQueued(uint32_t token,
                                            SteadyTime now,
                                            ClientActions& actions) {
  Update(token,
         [&](Held& item) { item.repeat_due = now + kQueuedRepeatDelay; });
  SendRequest(token, *held.at(token).queued_at.begin(), actions);
}

void PlacementClient::State::SendRequest(uint32_t token,
                                         const Ipv4Endpoint& scheduler,
                                         ClientActions& actions) const {
  const Held& item = held.at(token);
  actions.push_back({.kind = ClientActionKind::kSendRequest,
                     .service = item.service,
                     .scheduler = scheduler,
                     .request = item.request});
}

void PlacementClient::State::Queue(uint32_t token,
                                   const Ipv4Endpoint& scheduler,
                                   SteadyTime now) {
  queued[scheduler].insert(token);
  Update(token, [&](Held& item) {
    item.queued_at.insert(scheduler);
    item.repeat_due = now + kQueuedRepeatDelay;
    item.end = item.request.first_syn + kMaxHold;
  });
}

void PlacementClient::State::Unqueue(uint32_t token,
                                     const Ipv4Endpoint& scheduler) {
  const auto found = queued.find(scheduler);
  if (found == queued.end()) {
    return;
  }
  found->second.erase(token);
  if (found->second.empty()) {
    queued.erase(found);
  }
}

void PlacementClient::State::PlaceLocally(uint32_t token,
                                          SteadyTime now,
                                          ClientActions& actions) {
  Held item = Release(token, now);
  reports.OnDecided(item.service, token, now);
  actions.push_back({.kind = ClientActionKind::kPlaceLocally,
                     .service = std::move(item.service),
                     .request = std::move(item.request)});
}

void PlacementClient::State::Reset(uint32_t token,
                                   RefusalReason reason,
                                   SteadyTime now,
                                   ClientActions& actions) {
  Held item = Release(token, now);
  reports.OnDecided(item.service, token, now);
  actions.push_back({.kind = ClientActionKind::kReset,
                     .service = std::move(item.service),
                     .request = std::move(item.request),
                     .reason = reason});
}

void PlacementClient::State::ProcessDeadlines(SteadyTime now,
                                              ClientActions& actions) {
  while (!deadlines.empty() && deadlines.begin()->first <= now) {
    const uint32_t token = deadlines.begin()->second;
    const Held& item = held.at(token);
    if (item.end > now && item.IsQueued()) {
      AskWhileQueued(token, now, actions);
    } else if (item.end > now && !item.is_repeated && !item.asked.empty()) {
      Repeat(token, now, actions);
    } else if (item.end > now) {
      AskNext(token, now, actions);
    } else if (item.IsQueued()) {
      Reset(token, RefusalReason::kNoRoom, now, actions);
    } else {
      PlaceLocally(token, now, actions);
    }
  }
}

void PlacementClient::State::LeaveSilentSchedulers(SteadyTime now,
                                                   ClientActions& actions) {
  std::vector<Ipv4Endpoint> silent;
  for (const auto& [scheduler, tokens] : queued) {
    // The scheduler on this host sends no announcements to it.
    if (scheduler != own.endpoint &&
        directory.last_heard(scheduler) + kMaxQueueSilence <= now) {
      silent.push_back(scheduler);
    }
  }
  for (const Ipv4Endpoint& scheduler : silent) {
    directory.Skip(scheduler, now);
    const std::set<uint32_t> tokens = std::move(queued[scheduler]);
    queued.erase(scheduler);
    for (const uint32_t token : tokens) {
      Update(token, [&](Held& item) { item.queued_at.erase(scheduler); });
      if (held.at(token).IsQueued()) {
        continue;
      }
      Update(token, [&](Held& item) {
        item.end = std::min(item.end, now + kLocalDelay);
      });
      AskNext(token, now, actions);
      if (!held.at(token).repeat_due) {
        PlaceLocally(token, now, actions);
      }
    }
  }
}

PlacementClient::PlacementClient(const Candidate& own)
    : m_state(std::make_unique<State>(own)) {}

PlacementClient::~PlacementClient() = default;

void PlacementClient::SetCandidates(const std::vector<Candidate>& candidates) {
  m_state->directory.SetCandidates(candidates);
}

ClientActions PlacementClient::Request(const std::string& service,
                                       PlacementRequest request,
                                       SteadyTime now) {
  ClientActions actions;
  const uint32_t token = m_state->TakeToken(now);
  request.key = {m_state->own.endpoint, token};
  const SteadyTime end = now + kLocalDelay;
  const bool is_full = m_state->held.size() >= kMaxHeld;
  m_state->held[token] = {
      .service = service, .request = std::move(request), .end = end};
  m_state->deadlines.insert({end, token});
  if (!is_full) {
    m_state->AskNext(token, now, actions);
  }
  // Without a candidate nothing is gained by holding the flow.
  if (actions.empty()) {
    m_state->PlaceLocally(token, now, actions);
  }
  return actions;
}

uint32_t PlacementClient::NewToken(SteadyTime now) {
  return m_state->TakeToken(now);
}

bool PlacementClient::IsHeld(uint32_t token) const {
  return m_state->held.contains(token);
}

ClientActions PlacementClient::OnGrant(const Ipv4Endpoint& scheduler,
                                       uint32_t token,
                                       uint64_t upstream_id,
                                       SteadyTime now) {
  m_state->directory.RecordAnswer(scheduler, now);
  if (!m_state->held.contains(token)) {
    m_state->reports.OnLateGrant(scheduler, token, upstream_id, now);
    return {};
  }
  Held item = m_state->Release(token, now);
  m_state->reports.OnGranted(item.service, scheduler, token, upstream_id, now);
  return {{.kind = ClientActionKind::kPlace,
           .service = std::move(item.service),
           .scheduler = scheduler,
           .request = std::move(item.request),
           .upstream_id = upstream_id}};
}

ClientActions PlacementClient::OnQueued(const Ipv4Endpoint& scheduler,
                                        uint32_t token,
                                        SteadyTime now) {
  m_state->directory.RecordAnswer(scheduler, now);
  if (m_state->FindAsked(token, scheduler) != nullptr) {
    m_state->Queue(token, scheduler, now);
  }
  return {};
}

ClientActions PlacementClient::OnRefusal(
    const Ipv4Endpoint& scheduler,
    uint32_t token,
    RefusalReason reason,
    const std::optional<Ipv4Endpoint>& other,
    SteadyTime now) {
  m_state->directory.RecordAnswer(scheduler, now);
  ClientActions actions;
  Held* item = m_state->FindAsked(token, scheduler);
  if (item == nullptr) {
    return actions;
  }
  m_state->Unqueue(token, scheduler);
  m_state->Update(token, [&](Held& held) { held.queued_at.erase(scheduler); });
  ++item->refusal_count;
  const bool is_redirect = reason == RefusalReason::kUseOther;
  if (is_redirect && other) {
    m_state->directory.RecordRedirect(item->service, *other, now);
  }
  if (item->IsQueued()) {
    return actions;
  }
  if (!is_redirect && item->refusal_count < item->asked.size()) {
    // Another scheduler may have granted it, and the answer is late.
    return actions;
  }
  if (!is_redirect) {
    m_state->Reset(token, reason, now, actions);
    return actions;
  }
  // If the request waited, its end was that of the wait.
  m_state->Update(token, [&](Held& held) {
    held.end = std::min(held.end, now + kLocalDelay);
  });
  m_state->AskNext(token, now, actions);
  return actions;
}

void PlacementClient::OnAnnouncement(const Announcement& announcement,
                                     SteadyTime now) {
  m_state->directory.RecordAnnouncement(announcement, now);
}

void PlacementClient::OnPlaced(const std::string& service,
                               uint32_t token,
                               uint64_t upstream_id,
                               SteadyTime now) {
  m_state->reports.OnPlaced(service, token, upstream_id, now);
}

void PlacementClient::OnCompleted(const Completion& completion,
                                  SteadyTime now) {
  m_state->reports.OnCompleted(completion, m_state->Lookup(now), now);
}

ClientActions PlacementClient::Tick(SteadyTime now) {
  ClientActions actions;
  m_state->directory.Tick(now);
  // Requests that have waited too long are not asked for again.
  m_state->ProcessDeadlines(now, actions);
  m_state->LeaveSilentSchedulers(now, actions);
  m_state->reports.Tick(m_state->Lookup(now), now, actions);
  return actions;
}

std::optional<SteadyTime> PlacementClient::NextDeadline() const {
  std::optional<SteadyTime> next = m_state->directory.NextDeadline();
  const auto consider = [&](std::optional<SteadyTime> deadline) {
    if (deadline && (!next || *deadline < *next)) {
      next = deadline;
    }
  };
  if (!m_state->deadlines.empty()) {
    consider(m_state->deadlines.begin()->first);
  }
  for (const auto& [scheduler, tokens] : m_state->queued) {
    if (scheduler != m_state->own.endpoint) {
      consider(m_state->directory.last_heard(scheduler) + kMaxQueueSilence);
    }
  }
  consider(m_state->reports.NextDeadline());
  return next;
}

std::optional<Ipv4Endpoint> PlacementClient::scheduler_of(
    const std::string& service,
    SteadyTime now) const {
  return m_state->directory.Select(service, {}, now);
}

}  // namespace poplarsail::scheduling
