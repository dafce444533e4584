#include "load/work_estimator.h"

#include <catch2/catch.hpp>

#include <limits>
#include <random>

namespace poplarsail::load {
namespace {

using namespace std::chrono_literals;

const SteadyTime kStart{1h};

// Adds one sample every 10 ms and returns the time after the last.
SteadyTime AddMany(WorkEstimator& estimator,
                   int count,
                   double work_ms,
                   SteadyTime now) {
  for (int i = 0; i < count; ++i) {
    estimator.Add(work_ms, now);
    now += 10ms;
  }
  return now;
}

// Guards against decisions on a new listener by accidental first samples.
TEST_CASE("the prior holds until there are samples") {
  WorkEstimator estimator(50);
  CHECK(estimator.Estimate(kStart) == WorkEstimate{50, 50, 50, 0, {}});
  estimator.Add(54, kStart);
  CHECK(estimator.Estimate(kStart).mean_ms == Approx(52));
  CHECK(estimator.Estimate(kStart).samples == 1);
  CHECK(estimator.Estimate(kStart).last_sample == kStart);
  const SteadyTime end = AddMany(estimator, 100, 20, kStart);
  CHECK(estimator.Estimate(end).mean_ms == Approx(20).epsilon(0.05));
}

// Guards against a prior so far off that every sample counts as invalid.
TEST_CASE("a prior off by a factor of 30 is left") {
  const double work = GENERATE(50.0 / 30, 50.0 * 30);
  WorkEstimator estimator(50);
  SteadyTime now = AddMany(estimator, 40, work, kStart);
  CHECK(estimator.Estimate(now).mean_ms < 2 * work);
  CHECK(estimator.Estimate(now).mean_ms > work / 2);
  CHECK(estimator.Estimate(now).median_ms == Approx(work).epsilon(0.1));
  now = AddMany(estimator, 160, work, now);
  CHECK(estimator.Estimate(now).mean_ms == Approx(work).epsilon(0.2));
}

// Guards against long requests that are taken for nearly done: tails of 7
// times the mean at 3 %.
TEST_CASE("the longer a request has run, the longer it will run") {
  WorkEstimator estimator(50);
  std::mt19937 random(1);
  SteadyTime end = kStart;
  for (int i = 0; i < 2'000; ++i) {
    end = AddMany(estimator, 1, random() % 100 < 3 ? 140 : 16.29, end);
  }
  const WorkEstimate estimate = estimator.Estimate(end);
  CHECK(estimate.mean_ms == Approx(20).epsilon(0.1));
  CHECK(estimate.median_ms == Approx(16.29).epsilon(0.06));
  CHECK(estimator.RemainingMs(0, end) == Approx(estimate.mean_ms));
  CHECK(estimator.RemainingMs(10, end) == Approx(10).epsilon(0.15));
  CHECK(estimator.RemainingMs(20, end) == Approx(120).epsilon(0.1));
  CHECK(estimator.RemainingMs(100, end) == Approx(40).epsilon(0.1));
  // Beyond all samples.
  CHECK(estimator.RemainingMs(1'000, end) >= 1'000);
  CHECK(estimator.RemainingMs(2'000, end) >= 2'000);
  CHECK(estimator.RemainingMs(1e12, end) >= 1e12);
}

// Guards against costs of the last minute: the mean doubles at 100 requests
// per second.
TEST_CASE("a doubled mean is followed within two half-lives") {
  WorkEstimator estimator(50);
  SteadyTime now = AddMany(estimator, 3'000, 20, kStart);
  now = AddMany(estimator, 2'000, 40, now);
  CHECK(estimator.Estimate(now).mean_ms >= 34);
  CHECK(estimator.Estimate(now).median_ms == Approx(40).epsilon(0.1));
}

// Guards against one hung request or a hostile caller that makes a listener
// look overloaded or free, also by its effect on later samples.
TEST_CASE("a single sample moves no figure by more than 20 %") {
  const int before = GENERATE(0, 5, 100);
  const double sample = GENERATE(0.001, 3.0, 19.0, 300.0, 1e9);
  WorkEstimator estimator(20);
  const SteadyTime now = AddMany(estimator, before, 20, kStart);
  estimator.Add(sample, now);
  for (int i = 0; i < 30; ++i) {
    const WorkEstimate estimate = estimator.Estimate(now);
    CHECK(estimate.mean_ms == Approx(20).epsilon(0.2001));
    CHECK(estimate.median_ms == Approx(20).epsilon(0.2001));
    CHECK(estimate.p95_ms == Approx(20).epsilon(0.2001));
    estimator.Add(20, now);
  }
}

// Guards against quantiles that jump between two kinds of requests.
TEST_CASE("with two kinds of requests no figure jumps") {
  WorkEstimator estimator(20);
  SteadyTime now = AddMany(estimator, 10, 20, kStart);
  WorkEstimate last = estimator.Estimate(now);
  for (int i = 0; i < 20; ++i) {
    now = AddMany(estimator, 1, 100, now);
    const WorkEstimate estimate = estimator.Estimate(now);
    CHECK(estimate.median_ms == Approx(last.median_ms).epsilon(0.2001));
    CHECK(estimate.p95_ms == Approx(last.p95_ms).epsilon(0.2001));
    last = estimate;
  }
  CHECK(last.median_ms == Approx(100).epsilon(0.06));
}

// Guards against one of 20 callers whose requests run for minutes.
TEST_CASE("samples are clipped to ten times the median") {
  WorkEstimator estimator(20);
  for (int i = 0; i < 2'000; ++i) {
    estimator.Add(i % 20 == 19 ? 100'000 : 20, kStart + i * 10ms);
  }
  const WorkEstimate estimate = estimator.Estimate(kStart + 20s);
  CHECK(estimate.mean_ms <= 0.95 * 20 + 0.05 * 200 + 1);
  CHECK(estimate.median_ms == Approx(20).epsilon(0.06));
}

// Guards against errors returned quickly that make work look cheap, and
// against a listener that became cheaper and whose samples are ignored for
// ever.
TEST_CASE("samples below a tenth of the median are ignored for a time") {
  WorkEstimator estimator(20);
  SteadyTime now = AddMany(estimator, 1'000, 20, kStart);
  const WorkEstimate before = estimator.Estimate(now);
  CHECK(estimator.Estimate(now + 10s).samples == Approx(before.samples / 2));
  now = AddMany(estimator, 1'000, 1.9, now);
  CHECK(estimator.Estimate(now).mean_ms == Approx(before.mean_ms));
  CHECK(estimator.Estimate(now).samples == Approx(before.samples / 2));
  now = AddMany(estimator, 11'000, 1.9, now);
  CHECK(estimator.Estimate(now).mean_ms == Approx(1.9).epsilon(0.1));
}

// Guards against invalid figures.
TEST_CASE("invalid work is ignored") {
  const double invalid =
      GENERATE(0.0, -1.0, std::numeric_limits<double>::quiet_NaN(),
               std::numeric_limits<double>::infinity());
  WorkEstimator estimator(20);
  estimator.Add(invalid, kStart);
  estimator.Seed({invalid, 20, 20, 10, kStart}, kStart);
  estimator.Seed({20, 20, 20, invalid, kStart}, kStart);
  CHECK(estimator.Estimate(kStart).samples == 0);
  CHECK(estimator.Estimate(kStart).mean_ms == 20);
}

// Guards against a new scheduler that starts cold, and one that is bound to
// another host's figures.
TEST_CASE("another host's figures count until there are own samples") {
  const WorkEstimate learned{20, 16, 80, 20, kStart};
  WorkEstimator estimator(50);
  estimator.Seed({20, 16, 80, 1e6, kStart}, kStart);
  CHECK(estimator.Estimate(kStart) == learned);
  CHECK(estimator.RemainingMs(0, kStart) == Approx(20));
  const SteadyTime now = AddMany(estimator, 60, 40, kStart);
  CHECK(estimator.Estimate(now).mean_ms > 32);
  estimator.Seed(learned, now);
  CHECK(estimator.Estimate(now).mean_ms > 32);
  // Work without a tail.
  WorkEstimator even(50);
  even.Seed({20, 21, 38, 10, kStart}, kStart);
  CHECK(even.Estimate(kStart).mean_ms == Approx(20).epsilon(0.01));
}

}  // namespace
}  // namespace poplarsail::load
