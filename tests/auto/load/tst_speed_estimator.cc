#include "load/speed_estimator.h"

#include <catch2/catch.hpp>

#include <limits>
#include <random>

namespace poplarsail::load {
namespace {

using namespace std::chrono_literals;

const SteadyTime kStart{1h};

void AddMany(SpeedEstimator& upstream,
             int count,
             double speed,
             SteadyTime now) {
  for (int i = 0; i < count; ++i) {
    upstream.Add(20, 20 / speed, now);
  }
}

// Guards against flows sent to a slow upstream for seconds: 0.55 of the speed,
// work with tails of 7 times the mean at 3 %.
TEST_CASE("a slow upstream is found within 20 samples, 100 after a change") {
  std::mt19937 random(1);
  int found = 0;
  for (int run = 0; run < 1'000; ++run) {
    SpeedEstimator estimator;
    for (int i = 0; i < 20; ++i) {
      const double work = random() % 100 < 3 ? 7 : 0.81;
      estimator.Add(20, 20 * work / 0.55, kStart);
    }
    found += estimator.Speed(kStart) < 0.8 ? 1 : 0;
  }
  CHECK(found > 950);
  // After hours of use.
  SpeedEstimator estimator;
  AddMany(estimator, 1'000, 1, kStart);
  AddMany(estimator, 100, 0.55, kStart);
  CHECK(estimator.Speed(kStart) == Approx(0.55).epsilon(0.15));
}

// Guards against speeds that follow the last request's work: all flows would
// move between upstreams.
TEST_CASE("half of a change takes at least five samples") {
  const double target = GENERATE(0.1, 0.55, 1.2, 4.0);
  SpeedEstimator estimator;
  AddMany(estimator, 4, target, kStart);
  const double part = (estimator.Speed(kStart) - 1) / (target - 1);
  CHECK(part > 0);
  CHECK(part < 0.5);
}

// Guards against one hung request that takes its upstream out of use, also by
// its effect on later samples.
TEST_CASE("a single sample moves the speed by at most 20 %") {
  const int before = GENERATE(0, 5, 100);
  const double sample = GENERATE(0.12, 10.0, 1e9);
  SpeedEstimator estimator;
  AddMany(estimator, before, 1, kStart);
  estimator.Add(20, 20 * sample, kStart);
  for (int i = 0; i < 50; ++i) {
    CHECK(estimator.Speed(kStart) == Approx(1).epsilon(0.2));
    estimator.Add(20, 20, kStart);
  }
}

// Guards against invalid figures and an upstream that attracts flows since it
// returns errors quickly.
TEST_CASE("invalid samples and errors returned quickly gain no speed") {
  SpeedEstimator estimator;
  const double invalid =
      GENERATE(0.0, -1.0, std::numeric_limits<double>::quiet_NaN(),
               std::numeric_limits<double>::infinity());
  estimator.Add(20, invalid, kStart);
  estimator.Add(invalid, 20, kStart);
  estimator.Seed(invalid, 10, kStart);
  estimator.Seed(1, invalid, kStart);
  AddMany(estimator, 1'000, 11, kStart);
  CHECK(estimator.Speed(kStart) == 1);
  CHECK(estimator.Samples(kStart) == 0);
  AddMany(estimator, 1'000, 0.01, kStart);
  CHECK(estimator.Speed(kStart) == Approx(kMinSpeed).epsilon(0.01));
  AddMany(estimator, 1'000, 9, kStart);
  CHECK(estimator.Speed(kStart) <= kMaxSpeed);
}

// Guards against an upstream that was slow once and never gets a flow again.
TEST_CASE("without samples the speed returns to 1") {
  SpeedEstimator estimator;
  AddMany(estimator, 100, 0.5, kStart);
  CHECK(estimator.Samples(kStart + 20s) == Approx(50));
  CHECK(estimator.Speed(kStart + 20s) == Approx(0.75).epsilon(0.03));
  CHECK(estimator.Speed(kStart + 10min) == Approx(1));
  // The old samples must not come back with the next one.
  estimator.Add(20, 20, kStart + 10min);
  CHECK(estimator.Speed(kStart + 10min) == Approx(1));
  CHECK(estimator.Samples(kStart + 10min) == Approx(1));
  AddMany(estimator, 20, 0.55, kStart + 10min);
  CHECK(estimator.Speed(kStart + 10min) == Approx(0.55).epsilon(0.15));
}

// Guards against a new scheduler that starts cold, one that is bound to another
// host's figures, and the speed of a process that has ended.
TEST_CASE("another host's speed counts until own samples or a restart") {
  SpeedEstimator estimator;
  estimator.Seed(0.5, 1e6, kStart);
  CHECK(estimator.Speed(kStart) == 0.5);
  CHECK(estimator.Samples(kStart) <= 20);
  AddMany(estimator, 40, 1, kStart);
  CHECK(estimator.Speed(kStart) > 0.75);
  estimator.Seed(0.5, 1e6, kStart);
  CHECK(estimator.Speed(kStart) > 0.75);
  // The upstream has restarted.
  estimator.Reset();
  CHECK(estimator.Speed(kStart) == 1);
  CHECK(estimator.Samples(kStart) == 0);
}

}  // namespace
}  // namespace poplarsail::load
