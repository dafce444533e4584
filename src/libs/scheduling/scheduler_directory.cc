#include "scheduling/scheduler_directory.h"

#include <algorithm>
#include <tuple>

#include <xxhash.h>

namespace poplarsail::scheduling {

namespace {

constexpr milliseconds kAnswerTimeout{60};
constexpr milliseconds kSkipDuration{1'000};
constexpr milliseconds kAnnouncementLifetime{1'500};
// Bounds for messages of hosts that are not configured correctly.
constexpr size_t kMaxServices = 4'096;
constexpr size_t kMaxHeard = 16;
constexpr size_t kMaxContacts = 4'096;
constexpr milliseconds kContactRetention{60'000};

uint64_t RendezvousHash(const Ipv4Endpoint& endpoint,
                        const std::string& service) {
  return XXH64(service.data(), service.size(),
               uint64_t{endpoint.address} << 16 | endpoint.port);
}

template <typename IsUsable>
std::optional<Ipv4Endpoint> SelectFirst(const std::vector<Candidate>& ranked,
                                        const IsUsable& is_usable) {
  const auto found =
      std::ranges::find_if(ranked, is_usable, &Candidate::endpoint);
  return found == ranked.end() ? std::nullopt : std::optional(found->endpoint);
}

}  // namespace

std::vector<Candidate> RankCandidates(std::vector<Candidate> candidates,
                                      const std::string& service) {
  std::ranges::sort(candidates, std::greater(), [&](const Candidate& item) {
    return std::tuple(item.capacity_class,
                      RendezvousHash(item.endpoint, service), item.endpoint);
  });
  return candidates;
}

SchedulerDirectory::SchedulerDirectory(const Candidate& own)
    : m_own(own), m_candidates{own} {}

void SchedulerDirectory::SetCandidates(
    const std::vector<Candidate>& candidates) {
  m_candidates = {m_own};
  for (const Candidate& candidate : candidates) {
    if (candidate.endpoint != m_own.endpoint) {
      m_candidates.push_back(candidate);
    }
  }
  for (auto& [name, service] : m_services) {
    Rank(name, service);
  }
}

SchedulerDirectory::Service* SchedulerDirectory::FindService(
    const std::string& service) {
  const auto found = m_services.find(service);
  if (found != m_services.end()) {
    return &found->second;
  }
  if (m_services.size() >= kMaxServices) {
    return nullptr;
  }
  Service& added = m_services[service];
  Rank(service, added);
  return &added;
}

void SchedulerDirectory::Rank(const std::string& name, Service& service) {
  std::vector<Candidate> all = m_candidates;
  std::erase_if(all, [&](const Candidate& candidate) {
    return service.heard.contains(candidate.endpoint);
  });
  for (const auto& [endpoint, heard] : service.heard) {
    all.push_back({endpoint, heard.capacity_class});
  }
  service.ranked = RankCandidates(std::move(all), name);
}

void SchedulerDirectory::RecordAnnouncement(const Announcement& announcement,
                                            SteadyTime now) {
  const auto contact = m_contacts.find(announcement.scheduler);
  if (contact != m_contacts.end()) {
    contact->second.last_heard = now;
  }
  Service* service = FindService(announcement.service);
  if (service == nullptr || announcement.scheduler == m_own.endpoint) {
    return;
  }
  const size_t expired_count =
      std::erase_if(service->heard,
                    [&](const auto& item) { return item.second.until < now; });
  const bool is_known = service->heard.contains(announcement.scheduler);
  if (!is_known && service->heard.size() >= kMaxHeard) {
    return;
  }
  Heard& heard = service->heard[announcement.scheduler];
  const bool has_changed =
      !is_known || heard.capacity_class != announcement.capacity_class;
  heard = {announcement.capacity_class, now + kAnnouncementLifetime};
  if (has_changed || expired_count > 0) {
    Rank(announcement.service, *service);
  }
}

void SchedulerDirectory::RecordRedirect(const std::string& service,
                                        const Ipv4Endpoint& other,
                                        SteadyTime now) {
  if (Service* found = FindService(service)) {
    found->redirect = other;
    found->redirect_until = now + kAnnouncementLifetime;
  }
}

std::optional<Ipv4Endpoint> SchedulerDirectory::Select(
    const std::string& service,
    const std::vector<Ipv4Endpoint>& excluded,
    SteadyTime now) const {
  const auto is_usable = [&](const Ipv4Endpoint& endpoint) {
    return !IsSkipped(endpoint, now) &&
           std::ranges::find(excluded, endpoint) == excluded.end();
  };
  const auto found = m_services.find(service);
  if (found == m_services.end()) {
    return SelectFirst(RankCandidates(m_candidates, service), is_usable);
  }
  const Service& known = found->second;
  if (known.redirect && known.redirect_until >= now &&
      is_usable(*known.redirect)) {
    return known.redirect;
  }
  return SelectFirst(known.ranked, [&](const Ipv4Endpoint& endpoint) {
    return is_usable(endpoint) && !IsStale(known, endpoint, now);
  });
}

bool SchedulerDirectory::IsStale(const Service& service,
                                 const Ipv4Endpoint& scheduler,
                                 SteadyTime now) const {
  const auto heard = service.heard.find(scheduler);
  return heard != service.heard.end() && heard->second.until < now &&
         std::ranges::find(m_candidates, scheduler, &Candidate::endpoint) ==
             m_candidates.end();
}

bool SchedulerDirectory::IsSkipped(const Ipv4Endpoint& scheduler,
                                   SteadyTime now) const {
  const auto found = m_contacts.find(scheduler);
  return found != m_contacts.end() && found->second.skipped_until > now;
}

void SchedulerDirectory::RecordAsked(const Ipv4Endpoint& scheduler,
                                     SteadyTime now) {
  if (m_contacts.size() >= kMaxContacts && !m_contacts.contains(scheduler)) {
    return;
  }
  Contact& contact = m_contacts[scheduler];
  if (!contact.answer_due) {
    contact.answer_due = now + kAnswerTimeout;
  }
}

void SchedulerDirectory::RecordAnswer(const Ipv4Endpoint& scheduler,
                                      SteadyTime now) {
  const auto found = m_contacts.find(scheduler);
  if (found != m_contacts.end()) {
    found->second.last_heard = now;
    found->second.answer_due.reset();
  }
}

void SchedulerDirectory::Skip(const Ipv4Endpoint& scheduler, SteadyTime now) {
  const auto found = m_contacts.find(scheduler);
  if (found != m_contacts.end()) {
    found->second.skipped_until = now + kSkipDuration;
    found->second.answer_due.reset();
  }
}

void SchedulerDirectory::Tick(SteadyTime now) {
  std::erase_if(m_contacts, [now](const auto& item) {
    const Contact& contact = item.second;
    return !contact.answer_due && contact.skipped_until <= now &&
           contact.last_heard + kContactRetention <= now;
  });
  for (const auto& [endpoint, contact] : m_contacts) {
    if (contact.answer_due && *contact.answer_due <= now) {
      Skip(endpoint, now);
    }
  }
}

std::optional<SteadyTime> SchedulerDirectory::NextDeadline() const {
  std::optional<SteadyTime> next;
  for (const auto& [endpoint, contact] : m_contacts) {
    if (contact.answer_due && (!next || *contact.answer_due < *next)) {
      next = contact.answer_due;
    }
  }
  return next;
}

SteadyTime SchedulerDirectory::last_heard(const Ipv4Endpoint& scheduler) const {
  const auto found = m_contacts.find(scheduler);
  return found == m_contacts.end() ? SteadyTime() : found->second.last_heard;
}

}  // namespace poplarsail::scheduling
