#include "flows/liveness.h"

#include <algorithm>

namespace poplarsail::flows {

void Liveness::RecordResponse(SteadyTime now) {
  m_last_response = now;
  m_presumed_dead_until = SteadyTime();
  m_is_refusing = false;
  m_is_reported = false;
  m_timeouts = 0;
  m_syn_timeouts = 0;
}

void Liveness::RecordConnection(SteadyTime now) {
  const bool had_timeouts = m_timeouts > 0 || m_is_reported;
  m_last_response = now;
  m_presumed_dead_until = SteadyTime();
  m_is_refusing = false;
  m_is_reported = false;
  m_timeouts = 0;
  m_next_trial = had_timeouts ? now : m_next_trial;
}

void Liveness::RecordRefusal(SteadyTime now) {
  m_is_refusing = true;
  m_syn_timeouts = std::max(m_syn_timeouts, kSuspectThreshold);
  m_next_trial = now + kTrialDelay;
}

void Liveness::RecordSynTimeout(SteadyTime now) {
  ++m_syn_timeouts;
  m_next_trial = now + kTrialDelay;
}

void Liveness::RecordResponseTimeout(SteadyTime sent, SteadyTime now) {
  // A packet may both acknowledge a response and carry a new request.
  if (m_last_response > sent) {
    return;
  }
  ++m_timeouts;
  m_next_trial = now + kTrialDelay;
}

void Liveness::RecordPeerReport(SteadyTime now) {
  m_is_reported = true;
  m_next_trial = std::max(m_next_trial, now + kTrialDelay);
}

void Liveness::RecordFailedCheck(SteadyTime now) {
  m_timeouts = std::max(m_timeouts, kSuspectThreshold);
  m_presumed_dead_until = now + kPresumedDeadDuration;
  m_syn_timeouts = std::max(m_syn_timeouts, kSuspectThreshold);
  m_next_trial = now + kTrialDelay;
}

Health Liveness::health(SteadyTime now) const {
  if (now < m_presumed_dead_until) {
    return Health::kPresumedDead;
  }
  return m_timeouts >= kSuspectThreshold || m_is_reported ? Health::kSuspect
                                                          : Health::kHealthy;
}

bool Liveness::IsUnrestricted(SteadyTime now) const {
  return health(now) == Health::kHealthy && m_syn_timeouts < kSuspectThreshold;
}

bool Liveness::AllowsAttempt(SteadyTime now) const {
  return IsUnrestricted(now) || now >= m_next_trial;
}

}  // namespace poplarsail::flows
