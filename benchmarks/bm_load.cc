// CPU time of the load model: a decision on a new flow and a completion.

#include <benchmark/benchmark.h>

#include <algorithm>
#include <limits>
#include <random>
#include <vector>

#include "load/load.h"

namespace poplarsail::load {
namespace {

using namespace std::chrono_literals;

constexpr int kUpstreams = 120;
const SteadyTime kNow{1h};

struct Upstream {
  SpeedEstimator speed;
  std::vector<SteadyTime> starts;
  UpstreamLoad load;
};

WorkEstimator LearnedWork() {
  WorkEstimator work(50);
  std::mt19937 random(1);
  for (int i = 0; i < 5'000; ++i) {
    work.Add(random() % 100 < 3 ? 140 : 16.29, kNow - 10s + i * 2ms);
  }
  return work;
}

std::vector<Upstream> MakeUpstreams() {
  std::vector<Upstream> upstreams(kUpstreams);
  for (int i = 0; i < kUpstreams; ++i) {
    Upstream& upstream = upstreams[i];
    for (int sample = 0; sample < 50; ++sample) {
      upstream.speed.Add(20, 16 + i % 20, kNow - 10s + sample * 200ms);
    }
    upstream.starts = {kNow - (1ms * (i % 40)), kNow - (1ms * (i % 7))};
    upstream.load.slots = 2;
    upstream.load.remaining_ms.reserve(4);
  }
  return upstreams;
}

// Everything is derived anew for each flow: speeds, remaining work of 240
// outstanding flows, predictions.
void BM_ChooseUpstream(benchmark::State& state) {
  const WorkEstimator work = LearnedWork();
  std::vector<Upstream> upstreams = MakeUpstreams();
  for (auto _ : state) {
    const double work_ms = work.Estimate(kNow).mean_ms;
    double best = std::numeric_limits<double>::infinity();
    for (Upstream& upstream : upstreams) {
      const double speed = upstream.speed.Speed(kNow);
      const double ms_per_work = 1 / speed;
      upstream.load.speed = speed;
      upstream.load.remaining_ms.clear();
      for (const SteadyTime start : upstream.starts) {
        const std::chrono::duration<double, std::milli> age = kNow - start;
        upstream.load.remaining_ms.push_back(
            work.RemainingMs(age.count() * speed, kNow) * ms_per_work);
      }
      best = std::min(best, PredictCompletionMs(upstream.load, work_ms));
    }
    benchmark::DoNotOptimize(best);
  }
}
BENCHMARK(BM_ChooseUpstream);

void BM_Completion(benchmark::State& state) {
  WorkEstimator work = LearnedWork();
  SpeedEstimator speed;
  SteadyTime now = kNow;
  for (auto _ : state) {
    now += 2ms;
    work.Add(20, now);
    speed.Add(20, 25, now);
  }
}
BENCHMARK(BM_Completion);

}  // namespace
}  // namespace poplarsail::load
