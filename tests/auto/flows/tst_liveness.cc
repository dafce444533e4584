#include <catch2/catch.hpp>

#include "flows/liveness.h"

namespace poplarsail::flows {
namespace {

using namespace std::chrono_literals;

const SteadyTime kStart{1'000s};

TEST_CASE("A single timeout does not make an upstream suspect") {
  Liveness liveness;
  liveness.RecordResponseTimeout(kStart, kStart + 200ms);
  CHECK(liveness.health(kStart + 200ms) == Health::kHealthy);
}

TEST_CASE("Timeouts of packets sent before the last response are ignored") {
  Liveness liveness;
  liveness.RecordResponse(kStart + 100ms);
  for (int i = 0; i < 10; ++i) {
    liveness.RecordResponseTimeout(kStart, kStart + 200ms + i * 50ms);
  }
  CHECK(liveness.health(kStart + 700ms) == Health::kHealthy);
}

TEST_CASE("Repeated timeouts make an upstream suspect, never presumed dead") {
  // Uploads that wait for a slot time out as those of a dead upstream do.
  Liveness liveness;
  liveness.RecordResponseTimeout(kStart, kStart + 200ms);
  liveness.RecordResponseTimeout(kStart, kStart + 210ms);
  CHECK(liveness.health(kStart + 210ms) == Health::kSuspect);
  CHECK_FALSE(liveness.AllowsAttempt(kStart + 210ms));
  for (auto later = 220ms; later < 3s; later += 20ms) {
    liveness.RecordResponseTimeout(kStart, kStart + later);
    CHECK(liveness.health(kStart + later) == Health::kSuspect);
  }
  liveness.RecordResponse(kStart + 3s);
  CHECK(liveness.health(kStart + 3s) == Health::kHealthy);
}

TEST_CASE("A response ends the effect of a failed check") {
  Liveness liveness;
  liveness.RecordFailedCheck(kStart);
  liveness.RecordResponse(kStart + 100ms);
  // One more timeout within the duration of the old presumption.
  liveness.RecordResponseTimeout(kStart + 110ms, kStart + 400ms);
  CHECK(liveness.health(kStart + 400ms) == Health::kHealthy);
}

TEST_CASE("A failed check makes an upstream presumed dead for a limited time") {
  Liveness liveness;
  liveness.RecordFailedCheck(kStart);
  CHECK(liveness.health(kStart) == Health::kPresumedDead);
  // A failure domain that was disconnected comes back without notice. Its flows
  // must not be reset long after that (abo-sail mix --seed 595252944722).
  CHECK(liveness.health(kStart + kPresumedDeadDuration) == Health::kSuspect);
  CHECK(liveness.AllowsAttempt(kStart + kTrialDelay));
}

TEST_CASE("After the trial delay one attempt is allowed at a time") {
  Liveness liveness;
  liveness.RecordResponseTimeout(kStart, kStart);
  liveness.RecordResponseTimeout(kStart, kStart);
  CHECK_FALSE(liveness.AllowsAttempt(kStart + kTrialDelay - 1ms));
  CHECK(liveness.AllowsAttempt(kStart + kTrialDelay));
  liveness.RecordAttempt(kStart + kTrialDelay);
  CHECK_FALSE(liveness.AllowsAttempt(kStart + kTrialDelay));
}

TEST_CASE("An accepted connection alone does not lift the limit on new flows") {
  // During a store outage an upstream may stop and another one may take over
  // its address. That one accepts connections, but no flows.
  Liveness liveness;
  liveness.RecordFailedCheck(kStart);
  liveness.RecordConnection(kStart + 1s);
  CHECK(liveness.health(kStart + 1s) == Health::kHealthy);
  // A single new flow may try it.
  REQUIRE(liveness.AllowsAttempt(kStart + 1s));
  liveness.RecordAttempt(kStart + 1s);
  CHECK_FALSE(liveness.AllowsAttempt(kStart + 1s));
  SECTION("with a response") {
    liveness.RecordResponse(kStart + 1s + 10ms);
    CHECK(liveness.AllowsAttempt(kStart + 1s + 10ms));
  }
  SECTION("without a response") {
    liveness.RecordSynTimeout(kStart + 1s + 50ms);
    liveness.RecordConnection(kStart + 1s + 60ms);
    CHECK_FALSE(liveness.AllowsAttempt(kStart + 1s + 60ms));
    CHECK(liveness.AllowsAttempt(kStart + 1s + 50ms + kTrialDelay));
  }
}

TEST_CASE("Repeated SYN timeouts keep new flows away") {
  Liveness liveness;
  liveness.RecordSynTimeout(kStart);
  CHECK(liveness.AllowsAttempt(kStart));
  liveness.RecordSynTimeout(kStart + 10ms);
  CHECK_FALSE(liveness.AllowsAttempt(kStart + 10ms));
  liveness.RecordConnection(kStart + 20ms);
  CHECK_FALSE(liveness.AllowsAttempt(kStart + 20ms));
  liveness.RecordResponse(kStart + 30ms);
  CHECK(liveness.AllowsAttempt(kStart + 30ms));
}

}  // namespace
}  // namespace poplarsail::flows
