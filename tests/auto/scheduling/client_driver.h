#ifndef SCHEDULING_CLIENT_DRIVER_H_
#define SCHEDULING_CLIENT_DRIVER_H_

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

#include "scheduling/placement_client.h"

namespace poplarsail::scheduling {

using Kind = ClientActionKind;

inline const std::string kService = "web";
// By rank: best, second, own.
inline const Candidate kBest{{0x0a000001, 7000}, 12};
inline const Candidate kSecond{{0x0a000002, 7000}, 11};
inline const Candidate kOwn{{0x0a000003, 7000}, 10};

// A client with virtual time. The test gives the answers of the schedulers.
class Driver {
 public:
  explicit Driver(SteadyTime start = SteadyTime(std::chrono::hours(1)))
      : now(start) {
    client.SetCandidates({kSecond, kBest});
  }

  ClientActions Request() {
    return client.Request(kService, {.first_syn = now}, now);
  }

  // Advances the time from deadline to deadline.
  ClientActions Run(int duration_ms) {
    const SteadyTime end = now + milliseconds(duration_ms);
    ClientActions all;
    for (int steps = 0; steps < 100'000; ++steps) {
      const auto next = client.NextDeadline();
      if (!next || *next > end) {
        now = end;
        return all;
      }
      now = std::max(now, *next);
      for (const ClientAction& action : client.Tick(now)) {
        all.push_back(action);
      }
    }
    FAIL("deadlines are due but do nothing");
    return all;
  }

  Announcement Announce(const Candidate& scheduler) {
    Announcement announcement{.service = kService,
                              .scheduler = scheduler.endpoint,
                              .capacity_class = scheduler.capacity_class};
    client.OnAnnouncement(announcement, now);
    return announcement;
  }

  PlacementClient client{kOwn};
  SteadyTime now;
};

inline uint32_t TokenOf(const ClientActions& actions) {
  REQUIRE(!actions.empty());
  return actions[0].request.key.token;
}

inline ClientActions Only(ClientActions actions, Kind kind) {
  std::erase_if(actions, [kind](const ClientAction& action) {
    return action.kind != kind;
  });
  return actions;
}

inline std::vector<Ipv4Endpoint> Asked(const ClientActions& actions) {
  std::vector<Ipv4Endpoint> asked;
  for (const ClientAction& action : Only(actions, Kind::kSendRequest)) {
    asked.push_back(action.scheduler);
  }
  return asked;
}

}  // namespace poplarsail::scheduling

#endif  // SCHEDULING_CLIENT_DRIVER_H_
