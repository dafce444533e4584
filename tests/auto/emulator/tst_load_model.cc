#include <catch2/catch.hpp>

#include <optional>
#include <vector>

#include "emulator/emulator.h"
#include "emulator/oracle.h"

namespace poplarsail::emulator {
namespace {

using namespace std::chrono_literals;
using std::chrono::duration;

// If the mean were not kept, demand would differ from the stated share of the
// capacity.
TEST_CASE("Work with a tail keeps its mean") {
  std::mt19937_64 random(1);
  constexpr int kDraws = 200'000;
  duration<double, std::milli> sum{0};
  int tail = 0;
  for (int i = 0; i < kDraws; ++i) {
    const auto work = DrawWork({0.5, 0.03, 7}, 20ms, &random);
    sum += work;
    tail += work == 140ms ? 1 : 0;
  }
  CHECK(sum.count() / kDraws == Approx(20).epsilon(0.01));
  CHECK(tail / static_cast<double>(kDraws) == Approx(0.03).epsilon(0.05));
}

// The standard set must not change with the load set.
TEST_CASE("Constant work takes no random numbers") {
  std::mt19937_64 random(1);
  CHECK(DrawWork({}, 20ms, &random) == 20ms);
  CHECK(random == std::mt19937_64(1));
}

TEST_CASE("Speed and cold start determine the time for work") {
  EventQueue events;
  cluster_state::UpstreamRecord record;
  record.cold_until = kSimulationStart + 1s;
  const UpstreamModel upstream(&events, record, 0.5, 1.6);
  CHECK(upstream.TimePerWork() == Approx(3.2));
  events.RunUntil(kSimulationStart + 1s);
  CHECK(upstream.TimePerWork() == Approx(2));
}

// Answers by the oracle in a pool of one upstream of speed 1.
class OracleTester {
 public:
  void Submit(uint32_t priority, milliseconds work, milliseconds target) {
    const size_t index = m_answers.size();
    m_answers.emplace_back();
    m_oracle.Submit({0, priority, work, m_events.now() + target,
                     [this, index](std::optional<uint64_t> upstream) {
                       m_answers[index] = {m_events.now(), upstream};
                     }});
  }
  void Run(milliseconds time) { m_events.RunUntil(m_events.now() + time); }

  // When the request was granted, or nullopt.
  std::optional<milliseconds> Granted(size_t index) const {
    const Answer& answer = m_answers.at(index);
    return answer.upstream
               ? std::optional(std::chrono::duration_cast<milliseconds>(
                     answer.time - kSimulationStart))
               : std::nullopt;
  }
  bool IsRefused(size_t index) const {
    const Answer& answer = m_answers.at(index);
    return answer.time != SteadyTime() && !answer.upstream;
  }

 private:
  struct Answer {
    SteadyTime time;
    std::optional<uint64_t> upstream;
  };

  EventQueue m_events;
  std::vector<Answer> m_answers;
  Oracle m_oracle{&m_events,
                  []() {
                    return std::vector<OracleUpstream>{{1, 0, 1, true}};
                  },
                  Oracle::Delays{0ms, 0ms, 0ms}};
};

TEST_CASE("The oracle serves the highest priority first") {
  OracleTester tester;
  tester.Submit(0, 10ms, 100ms);
  tester.Submit(0, 10ms, 100ms);
  tester.Submit(2, 10ms, 100ms);
  tester.Submit(1, 10ms, 100ms);
  tester.Submit(1, 10ms, 100ms);
  tester.Run(50ms);
  CHECK(tester.Granted(0) == 0ms);
  CHECK(tester.Granted(1) == 0ms);
  CHECK(tester.Granted(2) == 20ms);
  CHECK(tester.Granted(3) == 10ms);
  CHECK(tester.Granted(4) == 10ms);
}

TEST_CASE("The oracle refuses what cannot meet its target") {
  OracleTester tester;
  tester.Submit(0, 50ms, 100ms);
  tester.Submit(0, 50ms, 100ms);
  tester.Submit(1, 20ms, 60ms);
  tester.Submit(0, 20ms, 90ms);
  tester.Run(100ms);
  CHECK(tester.IsRefused(2));
  CHECK(tester.Granted(3) == 50ms);
}

}  // namespace
}  // namespace poplarsail::emulator
