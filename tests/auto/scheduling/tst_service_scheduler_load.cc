#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "scheduler_replay.h"

namespace poplarsail::scheduling {
namespace {

constexpr double kWorkMs = 40;
constexpr size_t kUpstreamCount = 60;
// Work of 2 slots on each upstream.
constexpr double kCapacityPerSecond = kUpstreamCount * 2 * 1'000 / kWorkMs;
constexpr double kWarmUpMs = 1'000;

Caller MakeCaller(uint16_t port, uint32_t priority, double load) {
  Caller caller;
  caller.terms = {
      {0x0A000001, port}, priority, milliseconds(400), milliseconds(3'000)};
  caller.client_address = port;
  caller.per_second = load * kCapacityPerSecond;
  caller.mean_work_ms = kWorkMs;
  caller.to_ms = 6'000;
  return caller;
}

struct Totals {
  double count = 0;
  double in_target = 0;
  double sheds = 0;
  double refused = 0;
  double work_in_target_ms = 0;
  std::vector<double> latencies;
  // Latency beyond the work.
  std::vector<double> waits;
  std::vector<double> refusals;

  double SuccessRate() const { return in_target / count; }
};

double Percentile(std::vector<double> values, double share) {
  if (values.empty())
    return 0;
  std::ranges::sort(values);
  return values[size_t((values.size() - 1) * share)];
}

// The requests of a caller, or of all, that arrived in the interval.
Totals Count(const Replay& replay,
             std::optional<size_t> caller,
             double from_ms = kWarmUpMs,
             double to_ms = 6'000) {
  Totals totals;
  for (const ReplayRequest& request : replay.requests) {
    if (request.submitted_ms < from_ms || request.submitted_ms >= to_ms)
      continue;
    if (caller && request.caller != *caller)
      continue;
    ++totals.count;
    totals.sheds += request.is_shed;
    if (request.refused_after_ms >= 0)
      totals.refusals.push_back(request.refused_after_ms);
    if (request.latency_ms < 0)
      continue;
    totals.latencies.push_back(request.latency_ms);
    totals.waits.push_back(request.latency_ms - request.work_ms);
    if (request.latency_ms > 400)
      continue;
    ++totals.in_target;
    totals.work_in_target_ms += request.work_ms;
  }
  totals.refused = totals.refusals.size();
  return totals;
}

// Work completed in time as a share of what the slots can do in 5 s.
double Goodput(const Totals& totals, size_t upstream_count = kUpstreamCount) {
  return totals.work_in_target_ms / (upstream_count * 2 * 5'000);
}

}  // namespace

// Demand at twice the capacity: upstreams shed, and priority 1 was refused as
// often as priority 2.
TEST_CASE("Overload serves priority 1 and loses no capacity") {
  // The first responses are the only samples of work, so seeds differ much.
  const uint64_t seed = GENERATE(range(1, 22));
  Replay replay(kUpstreamCount, true, seed);
  replay.Run({MakeCaller(81, 1, 0.6), MakeCaller(82, 2, 1.4)}, 8'000);
  const Totals all = Count(replay, std::nullopt);
  const Totals first = Count(replay, 0);
  CAPTURE(seed, Goodput(all), first.SuccessRate(), all.sheds, first.refused);
  CHECK(Goodput(all) >= 0.95);
  CHECK(first.SuccessRate() >= 0.98);
  CHECK(all.sheds < 0.01 * all.count);
  CHECK(Percentile(all.refusals, 0.99) < 100);
}

// Demand at 90 % of capacity: upstreams shed while others had room. The bound
// on the 99th percentile needs work whose own 99th percentile is below it,
// which a tail of 7 times the mean at 3 % is not: there the wait is bounded.
TEST_CASE("Nothing is shed at 90 % of capacity") {
  const bool has_tail = GENERATE(false, true);
  Replay replay(kUpstreamCount, has_tail);
  replay.Run({MakeCaller(81, 1, 0.45), MakeCaller(82, 2, 0.45)}, 8'000);
  const Totals all = Count(replay, std::nullopt);
  CAPTURE(has_tail, all.refused, all.count);
  CHECK(all.sheds < 0.005 * all.count);
  CHECK(all.refused < 0.01 * all.count);
  if (has_tail)
    CHECK(Percentile(all.waits, 0.99) < 2 * kWorkMs);
  else
    CHECK(Percentile(all.latencies, 0.99) < 6 * kWorkMs);
}

// A burst on one listener of a shared service slows the other one.
TEST_CASE("A burst on one listener leaves its neighbour alone") {
  Replay replay(kUpstreamCount);
  Caller burst = MakeCaller(82, 1, 3);
  burst.from_ms = 2'000;
  burst.to_ms = 4'000;
  replay.Run({MakeCaller(83, 1, 0.3), burst}, 8'000);
  const Totals steady = Count(replay, 0, 2'000, 4'000);
  CAPTURE(steady.count, steady.refused);
  CHECK(steady.SuccessRate() >= 0.98);
  CHECK(Percentile(steady.latencies, 0.5) < 2 * kWorkMs);
}

// One caller that sends ten times as much takes the places of all others.
TEST_CASE("A greedy caller gets no more than its share") {
  Replay replay(kUpstreamCount);
  std::vector<Caller> callers(5, MakeCaller(81, 1, 0.16));
  for (size_t i = 0; i < callers.size(); ++i)
    callers[i].client_address = i + 1;
  callers[0].per_second *= 10;
  replay.Run(callers, 8'000);
  for (size_t i = 1; i < callers.size(); ++i)
    CHECK(Count(replay, i).SuccessRate() >= 0.95);
  CHECK(Goodput(Count(replay, std::nullopt)) >= 0.9);
}

// Restarted upstreams looked least loaded and got 38 to 60 flows in half a
// second while they were cold.
TEST_CASE("A release in series does not flood cold upstreams") {
  Replay replay(kUpstreamCount);
  replay.pool.cold_flows_per_second = 20;
  const int64_t restarted = 2;
  for (uint64_t first = 0; first < 24; first += 6) {
    const double at_ms = 1'500 + first * 150;
    replay.At(at_ms, [&replay, first, at_ms] {
      for (uint64_t i = first; i < first + 6; ++i) {
        replay.SetSpeed(i + 1, 0.4);
        replay.pool.upstreams[i].started_unix_ms = restarted;
        replay.pool.upstreams[i].cold_until = AtMs(at_ms + 1'500);
        replay.At(at_ms + 1'500, [&replay, i] { replay.SetSpeed(i + 1, 1); });
      }
      replay.UpdatePool();
    });
  }
  replay.Run({MakeCaller(81, 1, 0.4)}, 8'000);
  std::vector<double> cold_flows(6);
  for (const ReplayRequest& request : replay.requests) {
    if (request.submitted_ms >= 1'500 && request.submitted_ms < 2'500 &&
        request.upstream_id >= 1 && request.upstream_id <= 6)
      ++cold_flows[request.upstream_id - 1];
  }
  // 0.6 of the rate in one second, and the first flow.
  CHECK(*std::ranges::max_element(cold_flows) <= 13);
  const Totals all = Count(replay, std::nullopt);
  CHECK(all.SuccessRate() >= 0.99);
}

// An upstream slower by a factor of 6 keeps its share of the flows.
TEST_CASE("A slow upstream gets fewer flows") {
  Replay replay(kUpstreamCount);
  replay.SetSpeed(1, 1.0 / 6);
  replay.Run({MakeCaller(81, 1, 0.6)}, 8'000);
  const auto slow_count =
      std::ranges::count_if(replay.requests, [](const ReplayRequest& request) {
        return request.upstream_id == 1 && request.submitted_ms >= 2'000 &&
               request.submitted_ms < 6'000;
      });
  const double mean = Count(replay, 0, 2'000).count / kUpstreamCount;
  CHECK(slow_count < mean / 3);
  CHECK(Count(replay, 0).SuccessRate() >= 0.99);
}

// Late requests at light load on uneven upstreams, and the fast ones idle.
TEST_CASE("Uneven speeds are used at light load") {
  Replay replay(kUpstreamCount);
  for (uint64_t id = 1; id <= kUpstreamCount; ++id)
    replay.SetSpeed(id, id % 2 == 0 ? 0.55 : 1.2);
  replay.Run({MakeCaller(81, 1, 0.4)}, 8'000);
  const Totals all = Count(replay, std::nullopt, 3'000);
  CAPTURE(all.count);
  CHECK(all.in_target >= 0.998 * all.count);
}

// A silent upstream gets flows again and again, each of which fails.
TEST_CASE("A silent upstream gets only single trials") {
  Replay replay(kUpstreamCount);
  replay.At(2'000, [&replay] { replay.SetSilent(1, true); });
  replay.Run({MakeCaller(81, 1, 0.6)}, 8'000);
  const auto trials =
      std::ranges::count_if(replay.requests, [](const ReplayRequest& request) {
        return request.upstream_id == 1 && request.submitted_ms >= 2'300 &&
               request.submitted_ms < 6'000;
      });
  // Trials after 250, 500, 1,000 and 2,000 ms, each with 200 ms to its failure.
  CHECK(trials <= 4);
  CHECK(trials >= 2);
}

}  // namespace poplarsail::scheduling
