#ifndef FLOWS_LIVENESS_H_
#define FLOWS_LIVENESS_H_

#include <cstdint>

#include "cluster_state/records.h"

namespace poplarsail::flows {

using cluster_state::milliseconds;
using cluster_state::SteadyTime;

// Unanswered attempts without any answer since the first of them, after which
// new flows go elsewhere. One alone may be a lost packet.
inline constexpr uint32_t kSuspectAttempts = 2;
// Likewise, after which open flows are taken to have no upstream any more.
inline constexpr uint32_t kPresumedDeadAttempts = 4;
// Unanswered attempts have to be spread over this time for that, so that one
// burst of losses is not taken for a crash.
inline constexpr milliseconds kPresumedDeadSpan{150};
// Evidence of a death is acted on for this long after it was last renewed. Then
// packets are passed on again, and one more without an answer renews it: a
// failure domain that was cut off is back without notice.
inline constexpr milliseconds kPresumedDeadTime{2'000};
// After this time without new evidence one attempt may try the upstream again;
// it is the time in which the registration of a crashed upstream lapses.
inline constexpr milliseconds kProbationDelay{1'500};

enum class Health : uint8_t { kHealthy, kSuspect, kPresumedDead };

// Judges from traffic whether something that should answer is still there.
class Liveness {
 public:
  // Something that it sent after `now` minus one round trip was seen.
  void RecordAnswer(SteadyTime now);

  // It took a connection. That proves less than an answer on a flow: the
  // address may have passed to another upstream, so new flows try it one at a
  // time.
  void RecordConnection(SteadyTime now);

  // An opening packet has had no answer until `now`. An upstream answers these
  // however busy it is.
  void RecordSilentOpening(SteadyTime now);

  // An attempt that began at `sent` has had no answer until `now`.
  void RecordUnanswered(SteadyTime sent, SteadyTime now);

  // Another host finds no answer: a suspicion until own evidence decides.
  void RecordHint(SteadyTime now);

  // A check that does not depend on packets of flows failed.
  void RecordFailedCheck(SteadyTime now);

  Health health(SteadyTime now) const;

  // Whether an attempt may be risked: in good health, or as the one attempt
  // after probation. `NoteAttempt` makes further ones wait.
  bool AllowsAttempt(SteadyTime now) const;
  void NoteAttempt(SteadyTime now) {
    if (!IsTrusted(now)) {
      m_next_probe = now + kProbationDelay;
    }
  }

  SteadyTime last_answer() const { return m_last_answer; }
  SteadyTime first_unanswered() const { return m_first_unanswered; }
  // Whether a check failed not long ago.
  bool HasFailedCheck(SteadyTime now) const {
    return now - m_last_failed_check < kPresumedDeadTime;
  }

 private:
  bool IsTrusted(SteadyTime now) const;

  SteadyTime m_last_answer;
  SteadyTime m_first_unanswered;
  SteadyTime m_last_unanswered;
  SteadyTime m_next_probe;
  SteadyTime m_last_failed_check;
  uint32_t m_unanswered = 0;
  // Opening packets without an answer since the last answer on a flow.
  uint32_t m_silent_openings = 0;
};

}  // namespace poplarsail::flows

#endif  // FLOWS_LIVENESS_H_
