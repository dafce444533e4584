#include <catch2/catch.hpp>

#include "entry/era_tracker.h"

namespace poplarsail::entry {
namespace {

TEST_CASE("A store that states no era is usable") {
  EraTracker tracker;
  CHECK(tracker.Check(std::nullopt) == EraVerdict::kUsable);
  CHECK(tracker.era() == 0);
}

TEST_CASE("Eras rise, and responses of earlier ones are not used") {
  EraTracker tracker;
  CHECK(tracker.Check(1) == EraVerdict::kUsable);
  CHECK(tracker.Check(1) == EraVerdict::kUsable);
  CHECK(tracker.Check(3) == EraVerdict::kUsable);
  // A response that was delayed on another connection.
  CHECK(tracker.Check(2) == EraVerdict::kOutdated);
  CHECK(tracker.era() == 3);
  CHECK(tracker.Check(3) == EraVerdict::kUsable);
}

TEST_CASE("Once the store has stated its era, responses without are not used") {
  EraTracker tracker;
  tracker.Check(1);
  CHECK(tracker.Check(std::nullopt) == EraVerdict::kMissing);
  CHECK(tracker.Check(1) == EraVerdict::kUsable);
}

}  // namespace
}  // namespace poplarsail::entry
