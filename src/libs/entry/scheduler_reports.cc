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
constexpr milliseconds kWaitingAnnouncementInterval{200};
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

bool LocalSchedulers::Running::HasPending(SteadyTime now) const {
  return !forwards.empty() || scheduler.Summary(now).waiting > 0;
}

void LocalSchedulers::Running::LogRefusals(SteadyTime now) {
  if (now < next_log) {
    return;
  }
  next_log = now + kLogInterval;
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

void LocalSchedulers::Announce(Running& running, SteadyTime now) {
  std::vector<Ipv4Endpoint> receivers;
  const bool is_due = running.next_announcement <= now + kTickTolerance;
  if (is_due) {
    receivers = AnnouncementReceivers();
  } else if (running.next_waiting_announcement <= now) {
    for (const auto& [key, expiry] : running.waiting) {
      // The keys are ordered by host.
      const bool is_new = receivers.empty() || receivers.back() != key.host;
      if (is_new && key.host != m_own.endpoint) {
        receivers.push_back(key.host);
      }
    }
  }
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
  running.next_waiting_announcement = now + kWaitingAnnouncementInterval;
  for (const Ipv4Endpoint& receiver : receivers) {
    m_send(receiver, message);
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

}  // namespace poplarsail::entry
