// Recognition of refused requests and their share.
#include <catch2/catch.hpp>

#include "load/load.h"

namespace poplarsail::load {
namespace {

using namespace std::chrono_literals;

const SteadyTime kStart{1'000s};
constexpr uint32_t kResponseBytes = 2'400;
constexpr uint32_t kRefusalBytes = 147;

TEST_CASE("Refusals are recognized by their size") {
  RefusalDetector detector;
  for (int i = 0; i < 20; ++i) {
    CHECK_FALSE(detector.Add(i % 2 == 0 ? kResponseBytes : kResponseBytes / 2));
  }
  CHECK(detector.Add(kRefusalBytes));
  SECTION("in a long overload too") {
    for (int i = 0; i < 1'000; ++i) {
      CHECK(detector.Add(kRefusalBytes));
    }
  }
  SECTION("until responses have become as short") {
    int refusals = 0;
    for (int i = 0; i < 10'000; ++i) {
      refusals += detector.Add(kRefusalBytes) ? 1 : 0;
    }
    CHECK(refusals < 3'000);
    CHECK_FALSE(detector.Add(kRefusalBytes));
  }
}

TEST_CASE("A refusal as the first answer does not hide later ones") {
  RefusalDetector detector;
  CHECK_FALSE(detector.Add(kRefusalBytes));
  for (int i = 0; i < 20; ++i) {
    CHECK_FALSE(detector.Add(kResponseBytes));
  }
  CHECK(detector.Add(kRefusalBytes));
}

TEST_CASE("The share of refused requests follows the last half second") {
  RefusalShare share;
  CHECK(share.Estimate(0, kStart) == 0);
  CHECK(share.Estimate(0.5, kStart) == 0.5);
  SteadyTime now = kStart;
  for (int i = 0; i < 300; ++i) {
    now += 3ms;
    share.Add(i % 3 == 0, now);
  }
  CHECK(share.Estimate(0, now) == Approx(0.33).margin(0.05));
  SECTION("a few answers after the overload") {
    for (int i = 0; i < 60; ++i) {
      now += 20ms;
      share.Add(false, now);
    }
    CHECK(share.Estimate(0, now) < 0.1);
  }
  SECTION("no requests") {
    CHECK(share.Estimate(0, now + 3s) < 0.01);
  }
}

}  // namespace
}  // namespace poplarsail::load
