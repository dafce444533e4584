#include "flows/liveness.h"

#include <algorithm>

namespace poplarsail::flows {

void Liveness::RecordAnswer(SteadyTime now) {
  m_last_answer = now;
  m_unanswered = 0;
  m_silent_openings = 0;
}

void Liveness::RecordConnection(SteadyTime now) {
  const bool was_silent = m_unanswered > 0;
  m_last_answer = now;
  m_unanswered = 0;
  m_next_probe = was_silent ? now : m_next_probe;
}

void Liveness::RecordSilentOpening(SteadyTime now) {
  ++m_silent_openings;
  m_next_probe = now + kProbationDelay;
}

void Liveness::RecordUnanswered(SteadyTime sent, SteadyTime now) {
  // A packet may both acknowledge an answer and begin a wait.
  if (m_last_answer > sent) {
    return;
  }
  if (m_unanswered == 0) {
    m_first_unanswered = now;
  }
  ++m_unanswered;
  m_last_unanswered = now;
  m_next_probe = now + kProbationDelay;
}

void Liveness::RecordHint(SteadyTime now) {
  m_unanswered = std::max(m_unanswered, kSuspectAttempts);
  m_next_probe = std::max(m_next_probe, now + kProbationDelay);
}

void Liveness::RecordFailedCheck(SteadyTime now) {
  m_unanswered = std::max(m_unanswered, kPresumedDeadAttempts);
  m_first_unanswered = std::min(m_first_unanswered, now - kPresumedDeadSpan);
  m_last_unanswered = now;
  m_last_failed_check = now;
  m_silent_openings = std::max(m_silent_openings, kSuspectAttempts);
  m_next_probe = now + kProbationDelay;
}

Health Liveness::health(SteadyTime now) const {
  if (m_unanswered < kSuspectAttempts) {
    return Health::kHealthy;
  }
  const bool is_spread =
      m_last_unanswered - m_first_unanswered >= kPresumedDeadSpan;
  const bool is_recent = now - m_last_unanswered < kPresumedDeadTime;
  return m_unanswered >= kPresumedDeadAttempts && is_spread && is_recent
             ? Health::kPresumedDead
             : Health::kSuspect;
}

bool Liveness::IsTrusted(SteadyTime now) const {
  return health(now) == Health::kHealthy && m_silent_openings < kSuspectAttempts;
}

bool Liveness::AllowsAttempt(SteadyTime now) const {
  return IsTrusted(now) || now >= m_next_probe;
}

}  // namespace poplarsail::flows
