#include "measure/packet_cases.h"

namespace poplarsail::measure {

namespace {

using Kind = EventKind;
using Events = std::vector<FleetEvent>;

constexpr int kNewUpstream = 14;
constexpr int kNewHost = 9;
constexpr int64_t kChangeAtMs = 20'000;

Events Concatenate(Events first, const Events& second) {
  first.insert(first.end(), second.begin(), second.end());
  return first;
}

Events AlternatingChanges() {
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
  const Events drain = {{kChangeAtMs, Kind::kDrain, 3}};
  const Events add = {{kChangeAtMs, Kind::kAdd, kNewUpstream}};
  // Unannounced: detected after two seconds, then ramped up with its health.
  const Events slow_start = {{kChangeAtMs + 2'000, Kind::kSetWeight, 5, 10},
                             {kChangeAtMs + 10'000, Kind::kSetWeight, 5, 30},
                             {kChangeAtMs + 20'000, Kind::kSetWeight, 5, 60},
                             {kChangeAtMs + 30'000, Kind::kSetWeight, 5, 100}};
  const Events host_leave = {{kChangeAtMs, Kind::kHostLeaves, 4}};
  const Events host_join = {{kChangeAtMs, Kind::kHostJoins, kNewHost}};
  const Events host_restart = Concatenate(
      host_leave, {{kChangeAtMs + 8'000, Kind::kHostJoins, kNewHost}});
  const Events host_death = {{kChangeAtMs + 15'000, Kind::kHostDies, 4}};
  const Events host_pause = {{kChangeAtMs + 15'000, Kind::kHostPauses, 4},
                             {kChangeAtMs + 25'000, Kind::kHostResumes, 4}};
  const Events delayed_updates = {{0, Kind::kUpdatesDelayedOnHalf, 1}};
  const Events packet_loss = {{0, Kind::kControlPacketLoss, 1}};
  const Events evacuation = {{kChangeAtMs, Kind::kDomainEvacuated, 1},
                             {kChangeAtMs + 30'000, Kind::kDomainReturned, 1}};
  const Events rehash = {{0, Kind::kFlowHashing, 1},
                         {kChangeAtMs + 15'000, Kind::kFlowRehash, 0}};
  const Events partition = {
      {kChangeAtMs + 10'000, Kind::kDomainPartitioned, 2},
      {kChangeAtMs + 25'000, Kind::kDomainReconnected, 2}};
  const Events second_drain = {{kChangeAtMs + 700, Kind::kDrain, 8}};
  const Events second_add = {{kChangeAtMs + 700, Kind::kAdd, kNewUpstream + 1}};
  const Events platform_outage = {
      {kChangeAtMs + 5'000, Kind::kPlatformUnavailable, 1},
      {kChangeAtMs + 60'000, Kind::kHostLeaves, 4},
      {kChangeAtMs + 100'000, Kind::kHostJoins, kNewHost},
      {kChangeAtMs + 605'000, Kind::kPlatformUnavailable, 0}};
  return {
      {"steady", {}, 0},
      {"drain", drain, 1},
      {"add", add, 1},
      {"turns-cold", slow_start, 1},
      {"host-leaves", host_leave, 1},
      {"host-joins", host_join, 1},
      {"drain+host-leaves", Concatenate(drain, host_leave), 2},
      {"add+host-leaves", Concatenate(add, host_leave), 2},
      {"cold+host-leaves", Concatenate(slow_start, host_leave), 2},
      {"drain+host-joins", Concatenate(drain, host_join), 2},
      {"add+host-joins", Concatenate(add, host_join), 2},
      {"cold+host-joins", Concatenate(slow_start, host_join), 2},
      {"drain+host-restart", Concatenate(drain, host_restart), 3},
      {"drain+drain", Concatenate(drain, second_drain), 2},
      {"drain+add", Concatenate(drain, second_add), 2},
      {"add+add", Concatenate(add, second_add), 2},
      {"drain+late-half", Concatenate(delayed_updates, drain), 1},
      {"add+late-half", Concatenate(delayed_updates, add), 1},
      {"drain+lossy", Concatenate(packet_loss, drain), 1},
      {"drain+respray", Concatenate(rehash, drain), 1},
      {"take-out", evacuation, 2},
      {"drain+take-out", Concatenate(evacuation, drain), 3},
      {"add+take-out", Concatenate(evacuation, add), 3},
      {"chain-of-20", AlternatingChanges(), 20, true, 320'000},
      {"add+host-dies", Concatenate(add, host_death), 1, false},
      {"drain+host-dies", Concatenate(drain, host_death), 1, false},
      {"drain+host-pauses", Concatenate(drain, host_pause), 1, false},
      {"add+host-pauses", Concatenate(add, host_pause), 1, false},
      {"add+cut-off", Concatenate(add, partition), 1, false},
      {"drain+platform-away", Concatenate(drain, platform_outage), 3, false,
       660'000},
  };
}

}  // namespace

const std::vector<PacketCase>& PacketCases() {
  static const std::vector<PacketCase> cases = BuildCases();
  return cases;
}

}  // namespace poplarsail::measure
