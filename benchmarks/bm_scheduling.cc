#include <benchmark/benchmark.h>

#include "scheduling/scheduling.h"

namespace poplarsail::scheduling {
namespace {

constexpr uint32_t kUpstreamCount = 120;
const Ipv4Endpoint kHost{1, 5000};

Pool MakePool(SteadyTime now) {
  Pool pool{"s", "a", {}, {}, 0};
  pool.listeners = {{{9, 81}, 1, milliseconds(400), milliseconds(3'000)}};
  for (uint64_t id = 1; id <= kUpstreamCount; ++id)
    pool.upstreams.push_back({id, 2, now - milliseconds(1), 1, true});
  return pool;
}

PlacementRequest MakeRequest(uint32_t token, SteadyTime now) {
  return {{kHost, token}, {9, 81}, token % 50, now, {}, false};
}

// A decision and the completion of the flow, with `state.range(0)` flows
// outstanding; beyond 360 places, requests wait.
void DecideAndComplete(benchmark::State& state) {
  SteadyTime now = SteadyTime() + std::chrono::hours(1);
  ServiceScheduler scheduler("s", "a", 1);
  scheduler.UpdatePool(MakePool(now), now);
  uint32_t token = 0;
  std::vector<SchedulerAction> grants;
  const auto record = [&grants](const SchedulerActions& actions) {
    for (const SchedulerAction& action : actions) {
      if (action.kind == SchedulerActionKind::kGrant)
        grants.push_back(action);
    }
  };
  for (int64_t i = 0; i < state.range(0); ++i)
    record(scheduler.Submit(MakeRequest(++token, now), now));
  size_t next = 0;
  for (auto step : state) {
    now += std::chrono::microseconds(100);
    if (token % 100 == 0) {
      state.PauseTiming();
      record(scheduler.Tick(now));
      state.ResumeTiming();
    }
    record(scheduler.Submit(MakeRequest(++token, now), now));
    if (next == grants.size())
      continue;
    const SchedulerAction done = grants[next++];
    record(scheduler.Complete(kHost,
                              {{done.request.token, done.upstream_id,
                                Outcome::kResponded, milliseconds(20)}},
                              now));
  }
}
BENCHMARK(DecideAndComplete)->Arg(10)->Arg(200)->Arg(400);

}  // namespace
}  // namespace poplarsail::scheduling
