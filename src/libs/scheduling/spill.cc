#include "scheduling/spill.h"

#include <algorithm>

namespace poplarsail::scheduling {
namespace {

constexpr milliseconds kAnnouncementLife(1'000);

}  // namespace

void SpillOffers::Record(const Announcement& announcement, SteadyTime now) {
  m_offers[announcement.failure_domain] = {announcement,
                                           now + kAnnouncementLife, 0};
}

std::optional<Ipv4Endpoint> SpillOffers::Take(double wait_ms, SteadyTime now) {
  const uint32_t domain_count = CountLive(now);
  Offer* best = nullptr;
  uint32_t best_left = 0;
  for (auto& [domain, offer] : m_offers) {
    if (now > offer.valid_until || offer.announcement.waiting > 0)
      continue;
    const milliseconds offered_wait =
        offer.announcement.predicted_wait + kDomainRoundTrip;
    if (offered_wait.count() >= wait_ms)
      continue;
    // The other domains that may forward there: all but itself, this one too.
    const uint32_t share =
        offer.announcement.free_places / std::max(domain_count, 1U);
    if (share <= offer.forwarded || share - offer.forwarded <= best_left)
      continue;
    best = &offer;
    best_left = share - offer.forwarded;
  }
  if (!best)
    return std::nullopt;
  ++best->forwarded;
  return best->announcement.scheduler;
}

uint32_t SpillOffers::CountLive(SteadyTime now) const {
  return std::ranges::count_if(m_offers, [&](const auto& entry) {
    return now <= entry.second.valid_until;
  });
}

}  // namespace poplarsail::scheduling
