#include "scheduling/spill.h"

#include <algorithm>

namespace poplarsail::scheduling {
namespace {

constexpr milliseconds kAnnouncementLife(1'000);
// Announcements are at least 500 ms apart.
constexpr milliseconds kCopyWindow(400);
constexpr size_t kMaxDomains = 64;

}  // namespace

void SpillOffers::Record(const Announcement& announcement, SteadyTime now) {
  std::erase_if(m_offers, [now](const auto& entry) {
    return entry.second.valid_until < now;
  });
  const auto known = m_offers.find(announcement.failure_domain);
  if (known == m_offers.end() && m_offers.size() >= kMaxDomains) {
    return;
  }
  // Several hosts may pass on the same announcement.
  const bool is_copy = known != m_offers.end() &&
                       known->second.announcement == announcement &&
                       now < known->second.announced + kCopyWindow;
  if (is_copy) {
    return;
  }
  m_offers[announcement.failure_domain] = {announcement, now,
                                           now + kAnnouncementLife, 0};
}

uint32_t SpillOffers::Allowance(const Offer& offer,
                                uint32_t domain_count,
                                SteadyTime now) {
  const std::chrono::duration<double, std::milli> age = now - offer.announced;
  const double work_ms = std::max<double>(
      static_cast<double>(offer.announcement.mean_work.count()), 1);
  // The other domains that may forward there: all but itself, this one too.
  const double share = offer.announcement.free_places *
                       (1 + age.count() / work_ms) / std::max(domain_count, 1U);
  return static_cast<uint32_t>(std::max(share - offer.forwarded, 0.0));
}

std::optional<Ipv4Endpoint> SpillOffers::Take(double wait_ms, SteadyTime now) {
  const uint32_t domain_count = CountLive(now);
  Offer* best = nullptr;
  uint32_t best_left = 0;
  for (auto& [domain, offer] : m_offers) {
    if (now > offer.valid_until) {
      continue;
    }
    const milliseconds offered_wait =
        offer.announcement.predicted_wait + kDomainRoundTrip;
    if (offered_wait.count() >= wait_ms) {
      continue;
    }
    const uint32_t left = Allowance(offer, domain_count, now);
    if (left <= best_left) {
      continue;
    }
    best = &offer;
    best_left = left;
  }
  if (!best) {
    return std::nullopt;
  }
  ++best->forwarded;
  return best->announcement.scheduler;
}

uint32_t SpillOffers::CountLive(SteadyTime now) const {
  return std::ranges::count_if(m_offers, [&](const auto& entry) {
    return now <= entry.second.valid_until;
  });
}

}  // namespace poplarsail::scheduling
