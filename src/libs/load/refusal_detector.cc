#include "load/refusal_detector.h"

#include <algorithm>

#include "load/sample_weight.h"

namespace poplarsail::load {

namespace {

// Answers below this part of the usual size are short.
constexpr double kShortRatio = 0.3;
// Responses that take this much longer than usual show a queue.
constexpr double kBusyRatio = 1.5;
// Clients acknowledge every second packet of 1,200 bytes. A larger first
// acknowledgement was delayed and says nothing about the size.
constexpr uint32_t kMaxFirstBytes = 2'400;
// Answers before any of them is judged.
constexpr size_t kMinAnswers = 20;
// Half-lives of the means: of the latest responses, of what is usual, and of
// what is usual while the upstreams are busy, so that a lasting change becomes
// usual in the end.
constexpr std::chrono::duration<double> kRecentHalfLife{0.25};
constexpr std::chrono::duration<double> kUsualHalfLife{30};
constexpr std::chrono::duration<double> kBusyHalfLife{600};
// Short answers that may follow each other and still be expected.
constexpr double kMaxExpectedShort = 4;

// Moves the mean by the weight that a sample has after the time from `since`,
// but at least as in a plain mean of the first samples.
void Move(double* mean,
          double sample,
          double min_weight,
          SteadyTime since,
          SteadyTime now,
          std::chrono::duration<double> half_life) {
  const double weight = std::max(min_weight, 1 - Decay(since, now, half_life));
  *mean += weight * (sample - *mean);
}

}  // namespace

bool RefusalDetector::IsBusy() const {
  return m_recent_ms >= kBusyRatio * m_usual_ms;
}

void RefusalDetector::AddResponse(double bytes, double ms, SteadyTime now) {
  const double first_weight =
      m_answers <= kMinAnswers ? 1 / static_cast<double>(m_answers) : 0;
  const auto half_life = IsBusy() ? kBusyHalfLife : kUsualHalfLife;
  Move(&m_usual_bytes, bytes, first_weight, m_last_response, now, half_life);
  Move(&m_usual_ms, ms, first_weight, m_last_response, now, half_life);
  Move(&m_recent_ms, ms, first_weight, m_last_response, now, kRecentHalfLife);
  m_last_response = now;
}

bool RefusalDetector::Add(const AnswerSample& answer, SteadyTime now) {
  ++m_answers;
  const double bytes = std::min(answer.bytes, kMaxFirstBytes);
  const double ms =
      std::chrono::duration<double, std::milli>(answer.response_time).count();
  const bool is_short =
      m_answers > kMinAnswers && bytes < kShortRatio * m_usual_bytes;
  const bool is_busy = IsBusy();
  if (is_busy) {
    m_expected_short =
        std::min(m_expected_short + m_usual_short_share, kMaxExpectedShort);
  } else {
    Move(&m_usual_short_share, is_short ? 1 : 0, 0, m_last_answer, now,
         kUsualHalfLife);
  }
  m_last_answer = now;
  if (!is_short) {
    AddResponse(bytes, ms, now);
    return false;
  }
  const bool is_expected = m_expected_short >= 1;
  m_expected_short -= is_expected ? 1 : 0;
  return is_busy && !is_expected;
}

}  // namespace poplarsail::load
