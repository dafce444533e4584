#include <algorithm>

#include "entry/local_scheduler_state.h"
#include "telemetry/telemetry.h"

// What the schedulers on this host tell others of their own accord.
namespace poplarsail::entry {

namespace {

using model::Ipv4Endpoint;
using scheduling::milliseconds;
using scheduling::SteadyTime;

constexpr milliseconds kAnnouncementInterval{500};
// Limit for the announcements of all schedulers on this host together.
constexpr size_t kAnnouncementBytesPerSecond = 4'000;
constexpr size_t kDatagramHeaderBytes = 28;
// Hosts leave a scheduler at which their requests wait after 500 ms of silence.
constexpr milliseconds kMaxSilence{300};
// Ticks are 250 ms apart; what is due a little later is sent at once.
constexpr milliseconds kTickTolerance{50};
constexpr milliseconds kLearnedInterval{1'000};
constexpr size_t kLearnedReceivers = 2;

std::string_view ToText(scheduling::RefusalReason reason) {
  switch (reason) {
    case scheduling::RefusalReason::kNoRoom:
      return "no-room";
    case scheduling::RefusalReason::kNoUpstream:
      return "no-upstream";
    case scheduling::RefusalReason::kUseOther:
      break;
  }
  return "use-other";
}

}  // namespace

void LocalSchedulers::Running::LogRefusals(SteadyTime now) {
  if (now < next_log) {
    return;
  }
  next_log = now + kLogInterval;
  std::erase_if(last_sent, [now](const auto& item) {
    return item.second + kLogInterval <= now;
  });
  const scheduling::SchedulerFigures figures = scheduler.figures();
  for (const auto& [priority, counts] : figures.by_priority) {
    auto& logged = logged_figures.by_priority[priority].refused;
    for (const auto& [reason, count] : counts.refused) {
      const uint64_t added = count - std::exchange(logged[reason], count);
      if (added == 0) {
        continue;
      }
      telemetry::Log(telemetry::LogLevel::kWarning, "scheduling",
                     "requests refused",
                     {{"service", service},
                      {"priority", std::to_string(priority)},
                      {"reason", std::string(ToText(reason))},
                      {"count", std::to_string(added)}});
    }
  }
  const scheduling::Announcement summary = scheduler.Summary(now);
  if (summary.waiting > 0) {
    telemetry::Log(telemetry::LogLevel::kInfo, "scheduling", "requests waiting",
                   {{"service", service},
                    {"waiting", std::to_string(summary.waiting)},
                    {"places", std::to_string(summary.places)},
                    {"outstanding", std::to_string(summary.outstanding)}});
  }
}

std::vector<Ipv4Endpoint> LocalSchedulers::AnnouncementReceivers() const {
  std::vector<Ipv4Endpoint> receivers = m_remote_peers;
  for (const scheduling::Candidate& candidate : m_candidates) {
    receivers.push_back(candidate.endpoint);
  }
  return receivers;
}

milliseconds LocalSchedulers::AnnouncementInterval(size_t datagram_bytes,
                                                   SteadyTime now) const {
  const auto active_count = static_cast<size_t>(
      std::ranges::count_if(m_running, [now](const auto& item) {
        return item.second->last_request + kActivePeriod > now;
      }));
  const size_t bytes = active_count *
                       (m_remote_peers.size() + m_candidates.size()) *
                       (datagram_bytes + kDatagramHeaderBytes);
  return std::max(kAnnouncementInterval,
                  milliseconds(bytes * 1'000 / kAnnouncementBytesPerSecond));
}

std::vector<Ipv4Endpoint> LocalSchedulers::Running::SilentlyWaitingHosts(
    SteadyTime now) const {
  std::vector<Ipv4Endpoint> hosts;
  for (const auto& [key, expiry] : waiting) {
    // The keys are ordered by host.
    const bool is_known = !hosts.empty() && hosts.back() == key.host;
    const auto sent = last_sent.find(key.host);
    const bool is_silent =
        sent == last_sent.end() || sent->second + kMaxSilence <= now;
    if (!is_known && is_silent) {
      hosts.push_back(key.host);
    }
  }
  return hosts;
}

void LocalSchedulers::Announce(Running& running, SteadyTime now) {
  const bool is_due = running.next_announcement <= now + kTickTolerance;
  const std::vector<Ipv4Endpoint> receivers =
      is_due ? AnnouncementReceivers() : running.SilentlyWaitingHosts(now);
  if (!is_due && receivers.empty()) {
    return;
  }
  scheduling::SchedulingMessage message{running.service,
                                        running.scheduler.Summary(now)};
  std::get<scheduling::Announcement>(message.body).capacity_class =
      m_own.capacity_class;
  if (is_due) {
    const size_t bytes = scheduling::EncodeMessage(message).front().size();
    running.next_announcement = now + AnnouncementInterval(bytes, now);
  }
  for (const Ipv4Endpoint& receiver : receivers) {
    running.last_sent[receiver] = now;
    if (receiver != m_own.endpoint) {
      m_send(receiver, message);
    }
  }
}

void LocalSchedulers::SendLearned(const std::string& service,
                                  Running& running,
                                  SteadyTime now) {
  if (running.next_learned > now + kTickTolerance) {
    return;
  }
  running.next_learned = now + kLearnedInterval;
  const scheduling::LearnedMessage learned =
      running.scheduler.ExportLearned(now);
  if (learned.speeds.empty() && learned.work.empty()) {
    return;
  }
  auto receivers = scheduling::RankCandidates(m_candidates, service);
  receivers.resize(std::min(receivers.size(), kLearnedReceivers));
  for (const scheduling::Candidate& receiver : receivers) {
    m_send(receiver.endpoint, {service, learned});
  }
}

void LocalSchedulers::HandOver(SteadyTime now) {
  for (const auto& [service, running] : m_running) {
    HandOverWaiting(service, *running, now);
  }
}

void LocalSchedulers::HandOverWaiting(const std::string& service,
                                      Running& running,
                                      SteadyTime now) {
  const auto waiting = std::exchange(running.waiting, {});
  const auto ranked = scheduling::RankCandidates(m_candidates, service);
  const Better* better = FindBetter(service, now);
  std::optional<Ipv4Endpoint> other;
  if (better != nullptr) {
    other = better->candidate.endpoint;
  } else if (!ranked.empty()) {
    other = ranked[0].endpoint;
  }
  for (const auto& [key, expiry] : waiting) {
    // A message must name the other scheduler.
    if (other || key.host == m_own.endpoint) {
      m_send(key.host,
             {service,
              scheduling::RefuseMessage{
                  key.token, scheduling::RefusalReason::kUseOther, other, {}}});
    }
  }
}

}  // namespace poplarsail::entry
