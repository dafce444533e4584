#ifndef SCHEDULING_SPILL_H_
#define SCHEDULING_SPILL_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "scheduling/types.h"

namespace poplarsail::scheduling {

// A forwarded request comes back this late if no answer arrives.
inline constexpr milliseconds kForwardTimeout(60);
// Between failure domains, there and back.
inline constexpr milliseconds kDomainRoundTrip(10);

// What the schedulers of a service in other failure domains offer.
class SpillOffers {
 public:
  void Record(const Announcement& announcement, SteadyTime now);

  // The scheduler with the most places left for this domain, if its predicted
  // wait with the round trip is below `wait_ms`; one place counts as taken.
  std::optional<Ipv4Endpoint> Take(double wait_ms, SteadyTime now);
  // Other failure domains known to have a scheduler.
  uint32_t CountLive(SteadyTime now) const;

 private:
  struct Offer {
    Announcement announcement;
    // The announcement counts until then.
    SteadyTime valid_until;
    uint32_t forwarded = 0;
  };

  std::map<std::string, Offer> m_offers;
};

}  // namespace poplarsail::scheduling

#endif  // SCHEDULING_SPILL_H_
