#include <catch2/catch.hpp>

#include "flows/liveness.h"

namespace poplarsail::flows {
namespace {

using namespace std::chrono_literals;

const SteadyTime kStart{1'000s};

TEST_CASE("One unanswered packet alone proves nothing") {
  Liveness liveness;
  liveness.RecordUnanswered(kStart, kStart + 200ms);
  CHECK(liveness.health(kStart + 200ms) == Health::kHealthy);
}

TEST_CASE("An answer after the packet was sent refutes its silence") {
  Liveness liveness;
  liveness.RecordAnswer(kStart + 100ms);
  for (int i = 0; i < 10; ++i) {
    liveness.RecordUnanswered(kStart, kStart + 200ms + i * 50ms);
  }
  CHECK(liveness.health(kStart + 700ms) == Health::kHealthy);
}

TEST_CASE("Silence of many flows makes a suspect, then a presumed death") {
  Liveness liveness;
  liveness.RecordUnanswered(kStart, kStart + 200ms);
  liveness.RecordUnanswered(kStart, kStart + 210ms);
  CHECK(liveness.health(kStart + 210ms) == Health::kSuspect);
  CHECK_FALSE(liveness.AllowsAttempt(kStart + 210ms));
  liveness.RecordUnanswered(kStart, kStart + 220ms);
  liveness.RecordUnanswered(kStart, kStart + 230ms);
  // Four within 30 ms may be one burst of losses.
  CHECK(liveness.health(kStart + 230ms) == Health::kSuspect);
  liveness.RecordUnanswered(kStart, kStart + 400ms);
  CHECK(liveness.health(kStart + 400ms) == Health::kPresumedDead);
  liveness.RecordAnswer(kStart + 410ms);
  CHECK(liveness.health(kStart + 410ms) == Health::kHealthy);
}

TEST_CASE("A failed check is a presumed death at once, for a limited time") {
  Liveness liveness;
  liveness.RecordFailedCheck(kStart);
  CHECK(liveness.health(kStart) == Health::kPresumedDead);
  // A failure domain that was cut off comes back without notice: its flows
  // must not be reset long after (hunt, abo-sail mix --seed 595252944722).
  CHECK(liveness.health(kStart + kPresumedDeadTime) == Health::kSuspect);
  CHECK(liveness.AllowsAttempt(kStart + kProbationDelay));
}

TEST_CASE("After probation one attempt is risked at a time") {
  Liveness liveness;
  liveness.RecordUnanswered(kStart, kStart);
  liveness.RecordUnanswered(kStart, kStart);
  CHECK_FALSE(liveness.AllowsAttempt(kStart + kProbationDelay - 1ms));
  CHECK(liveness.AllowsAttempt(kStart + kProbationDelay));
  liveness.NoteAttempt(kStart + kProbationDelay);
  CHECK_FALSE(liveness.AllowsAttempt(kStart + kProbationDelay));
}

TEST_CASE("A connection alone does not bring back new flows") {
  // Load pattern: the store is away, an upstream ended and another one has its
  // address: it takes connections, but no
  // flows.
  Liveness liveness;
  liveness.RecordFailedCheck(kStart);
  liveness.RecordConnection(kStart + 1s);
  CHECK(liveness.health(kStart + 1s) == Health::kHealthy);
  // One new flow tries it.
  REQUIRE(liveness.AllowsAttempt(kStart + 1s));
  liveness.NoteAttempt(kStart + 1s);
  CHECK_FALSE(liveness.AllowsAttempt(kStart + 1s));
  SECTION("that is answered") {
    liveness.RecordAnswer(kStart + 1s + 10ms);
    CHECK(liveness.AllowsAttempt(kStart + 1s + 10ms));
  }
  SECTION("that is not answered") {
    liveness.RecordSilentOpening(kStart + 1s + 50ms);
    liveness.RecordConnection(kStart + 1s + 60ms);
    CHECK_FALSE(liveness.AllowsAttempt(kStart + 1s + 60ms));
    CHECK(liveness.AllowsAttempt(kStart + 1s + 50ms + kProbationDelay));
  }
}

TEST_CASE("Silent opening packets keep new flows away") {
  Liveness liveness;
  liveness.RecordSilentOpening(kStart);
  CHECK(liveness.AllowsAttempt(kStart));
  liveness.RecordSilentOpening(kStart + 10ms);
  CHECK_FALSE(liveness.AllowsAttempt(kStart + 10ms));
  liveness.RecordConnection(kStart + 20ms);
  CHECK_FALSE(liveness.AllowsAttempt(kStart + 20ms));
  liveness.RecordAnswer(kStart + 30ms);
  CHECK(liveness.AllowsAttempt(kStart + 30ms));
}

}  // namespace
}  // namespace poplarsail::flows
