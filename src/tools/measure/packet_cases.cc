#include "measure/packet_cases.h"

namespace poplarsail::measure {

namespace {

using Kind = EventKind;
using Events = std::vector<FleetEvent>;

constexpr int kNewUpstream = 14;
constexpr int kNewHost = 9;
constexpr int64_t kChangeMs = 20'000;

Events Join(Events first, const Events& second) {
  first.insert(first.end(), second.begin(), second.end());
  return first;
}

Events Chain() {
  Events events;
  for (int i = 0; i < 20; ++i) {
    const int64_t at_ms = 5'000 + i * 15'000;
    if (i % 2 == 0) {
      events.push_back({at_ms, Kind::kAdd, kNewUpstream + i / 2});
    } else {
      events.push_back({at_ms, Kind::kDrain, i / 2});
    }
  }
  return events;
}

std::vector<PacketCase> BuildCases() {
  const Events drain = {{kChangeMs, Kind::kDrain, 3}};
  const Events add = {{kChangeMs, Kind::kAdd, kNewUpstream}};
  // Without warning: found after two seconds, then ramped up by health.
  const Events cold = {{kChangeMs + 2'000, Kind::kSetWeight, 5, 10},
                       {kChangeMs + 10'000, Kind::kSetWeight, 5, 30},
                       {kChangeMs + 20'000, Kind::kSetWeight, 5, 60},
                       {kChangeMs + 30'000, Kind::kSetWeight, 5, 100}};
  const Events leave = {{kChangeMs, Kind::kHostLeaves, 4}};
  const Events join = {{kChangeMs, Kind::kHostJoins, kNewHost}};
  const Events restart =
      Join(leave, {{kChangeMs + 8'000, Kind::kHostJoins, kNewHost}});
  const Events die = {{kChangeMs + 15'000, Kind::kHostDies, 4}};
  const Events pause = {{kChangeMs + 15'000, Kind::kHostPauses, 4},
                        {kChangeMs + 25'000, Kind::kHostResumes, 4}};
  const Events late = {{0, Kind::kUpdatesLateAtHalf, 1}};
  const Events lossy = {{0, Kind::kControlLossy, 1}};
  const Events take_out = {{kChangeMs, Kind::kDomainOut, 1},
                           {kChangeMs + 30'000, Kind::kDomainIn, 1}};
  const Events respray = {{0, Kind::kStickySpray, 1},
                          {kChangeMs + 15'000, Kind::kRespray, 0}};
  const Events cut = {{kChangeMs + 10'000, Kind::kDomainCutOff, 2},
                      {kChangeMs + 25'000, Kind::kDomainHealed, 2}};
  const Events second_drain = {{kChangeMs + 700, Kind::kDrain, 8}};
  const Events second_add = {{kChangeMs + 700, Kind::kAdd, kNewUpstream + 1}};
  const Events away = {{kChangeMs + 5'000, Kind::kPlatformAway, 1},
                       {kChangeMs + 60'000, Kind::kHostLeaves, 4},
                       {kChangeMs + 100'000, Kind::kHostJoins, kNewHost},
                       {kChangeMs + 605'000, Kind::kPlatformAway, 0}};
  return {
      {"steady", {}, 0},
      {"drain", drain, 1},
      {"add", add, 1},
      {"turns-cold", cold, 1},
      {"host-leaves", leave, 1},
      {"host-joins", join, 1},
      {"drain+host-leaves", Join(drain, leave), 2},
      {"add+host-leaves", Join(add, leave), 2},
      {"cold+host-leaves", Join(cold, leave), 2},
      {"drain+host-joins", Join(drain, join), 2},
      {"add+host-joins", Join(add, join), 2},
      {"cold+host-joins", Join(cold, join), 2},
      {"drain+host-restart", Join(drain, restart), 3},
      {"drain+drain", Join(drain, second_drain), 2},
      {"drain+add", Join(drain, second_add), 2},
      {"add+add", Join(add, second_add), 2},
      {"drain+late-half", Join(late, drain), 1},
      {"add+late-half", Join(late, add), 1},
      {"drain+lossy", Join(lossy, drain), 1},
      {"drain+respray", Join(respray, drain), 1},
      {"take-out", take_out, 2},
      {"drain+take-out", Join(take_out, drain), 3},
      {"add+take-out", Join(take_out, add), 3},
      {"chain-of-20", Chain(), 20, true, 320'000},
      {"add+host-dies", Join(add, die), 1, false},
      {"drain+host-dies", Join(drain, die), 1, false},
      {"drain+host-pauses", Join(drain, pause), 1, false},
      {"add+host-pauses", Join(add, pause), 1, false},
      {"add+cut-off", Join(add, cut), 1, false},
      {"drain+platform-away", Join(drain, away), 3, false, 660'000},
  };
}

}  // namespace

const std::vector<PacketCase>& PacketCases() {
  static const std::vector<PacketCase> cases = BuildCases();
  return cases;
}

}  // namespace poplarsail::measure
