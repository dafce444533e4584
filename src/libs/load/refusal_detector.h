#ifndef LOAD_REFUSAL_DETECTOR_H_
#define LOAD_REFUSAL_DETECTOR_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "cluster_state/records.h"

namespace poplarsail::load {

using cluster_state::SteadyTime;

// What a host sees of the answer to a request: how much of it the client's
// first acknowledgement covers, and how long that took.
struct AnswerSample {
  uint32_t bytes = 0;
  SteadyTime::duration response_time{0};

  friend bool operator==(const AnswerSample&, const AnswerSample&) = default;
};

// Tells refusals from responses of one listener, for a host that can't read
// them: a refusal is a status line with a few headers, and upstreams refuse
// requests when their queues are full. So an answer is a refusal if it is far
// shorter than usual while responses take longer than usual. Short answers that
// the listener also gives at ordinary times are no refusals.
class RefusalDetector {
 public:
  // Adds an answer and returns whether it is a refusal.
  bool Add(const AnswerSample& answer, SteadyTime now);

 private:
  // Whether responses take longer than usual.
  bool IsBusy() const;
  void AddResponse(double bytes, double ms, SteadyTime now);

  size_t m_answers = 0;
  // Means over the responses at ordinary times.
  double m_usual_bytes = 0;
  double m_usual_ms = 0;
  // The usual share of short answers.
  double m_usual_short_share = 0;
  // Mean over the latest responses.
  double m_recent_ms = 0;
  // Short answers that are to be expected, less those seen.
  double m_expected_short = 0;
  SteadyTime m_last_answer;
  SteadyTime m_last_response;
};

}  // namespace poplarsail::load

#endif  // LOAD_REFUSAL_DETECTOR_H_
