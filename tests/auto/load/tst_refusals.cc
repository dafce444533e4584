// Recognition of refused requests and their share.
#include <catch2/catch.hpp>

#include <random>

#include "load/load.h"

namespace poplarsail::load {
namespace {

using namespace std::chrono_literals;

const SteadyTime kStart{1'000s};
constexpr uint32_t kResponseBytes = 2'000;
constexpr uint32_t kShortBytes = 147;

// A listener that answers every 3 ms; a given share of the answers is short.
class Answers {
 public:
  // Returns the share of answers that are recognized as refusals.
  double Send(SteadyTime::duration length,
              std::chrono::milliseconds response_time,
              double short_share) {
    int answers = 0;
    int refusals = 0;
    for (const SteadyTime end = m_now + length; m_now < end; m_now += 3ms) {
      const bool is_short =
          std::generate_canonical<double, 53>(m_random) < short_share;
      const AnswerSample answer{is_short ? kShortBytes : kResponseBytes,
                                is_short ? 42ms : response_time};
      ++answers;
      refusals += m_detector.Add(answer, m_now) ? 1 : 0;
    }
    return static_cast<double>(refusals) / answers;
  }

 private:
  RefusalDetector m_detector;
  std::mt19937_64 m_random{1};
  SteadyTime m_now = kStart;
};

TEST_CASE("Short answers of busy upstreams are refusals") {
  Answers answers;
  CHECK(answers.Send(5s, 24ms, 0) == 0);
  CHECK(answers.Send(2s, 80ms, 0.4) == Approx(0.4).margin(0.1));
  SECTION("in a long overload too") {
    CHECK(answers.Send(30s, 80ms, 0.4) == Approx(0.4).margin(0.1));
  }
  SECTION("not after it") {
    answers.Send(2s, 24ms, 0);
    CHECK(answers.Send(2s, 24ms, 0.2) < 0.02);
  }
}

// Errors, redirects and empty results are short as well. Refusing new flows for
// them would turn callers away while there is room.
TEST_CASE("Short answers at ordinary times are no refusals") {
  Answers answers;
  SECTION("from the start") {
    CHECK(answers.Send(10s, 24ms, 0.3) == 0);
    CHECK(answers.Send(5s, 30ms, 0.3) == 0);
  }
  SECTION("after a while") {
    answers.Send(10s, 24ms, 0);
    CHECK(answers.Send(5s, 24ms, 0.3) == 0);
  }
}

TEST_CASE("The usual share of short answers counts under load as well") {
  Answers answers;
  answers.Send(120s, 24ms, 0.3);
  CHECK(answers.Send(5s, 80ms, 0.3) < 0.1);
  CHECK(answers.Send(5s, 80ms, 0.7) == Approx(0.4).margin(0.1));
}

TEST_CASE("The first answers decide nothing") {
  // A large first acknowledgement made all ordinary responses look short.
  RefusalDetector detector;
  const uint32_t first = GENERATE(kShortBytes, 24'000U);
  CHECK_FALSE(detector.Add({first, 200ms}, kStart));
  SteadyTime now = kStart;
  for (int i = 0; i < 100; ++i) {
    now += 10ms;
    CHECK_FALSE(detector.Add({kResponseBytes / 2, 24ms}, now));
  }
}

TEST_CASE("The share of refused requests follows the last seconds") {
  RefusalShare share;
  CHECK_FALSE(share.HasRecentRequests(kStart));
  CHECK(share.Estimate(kStart) == 0);
  SteadyTime now = kStart;
  for (int i = 0; i < 300; ++i) {
    now += 3ms;
    share.Add(i % 3 == 0, now);
  }
  CHECK(share.HasRecentRequests(now));
  CHECK(share.Estimate(now) == Approx(0.33).margin(0.05));
  SECTION("a few answers after the overload") {
    for (int i = 0; i < 100; ++i) {
      now += 20ms;
      share.Add(false, now);
    }
    CHECK(share.Estimate(now) < 0.1);
  }
  SECTION("no requests") {
    CHECK_FALSE(share.HasRecentRequests(now + 5s));
  }
}

}  // namespace
}  // namespace poplarsail::load
