#include "flows/liveness.h"

#include <algorithm>

namespace poplarsail::flows {

void Liveness::RecordResponse(SteadyTime now) {
  m_last_response = now;
  m_is_refusing = false;
  m_is_reported = false;
  m_timeouts = 0;
  m_syn_timeouts = 0;
}

void Liveness::RecordConnection(SteadyTime now) {
  const bool had_timeouts = m_timeouts > 0 || m_is_reported;
  m_last_response = now;
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
  if (m_timeouts == 0) {
    m_first_timeout = now;
  }
  ++m_timeouts;
  m_last_timeout = now;
  m_next_trial = now + kTrialDelay;
}

void Liveness::RecordPeerReport(SteadyTime now) {
  m_is_reported = true;
  m_next_trial = std::max(m_next_trial, now + kTrialDelay);
}

void Liveness::RecordFailedCheck(SteadyTime now) {
  m_timeouts = std::max(m_timeouts, kPresumedDeadThreshold);
  m_first_timeout = std::min(m_first_timeout, now - kPresumedDeadMinSpan);
  m_last_timeout = now;
  m_last_failed_check = now;
  m_syn_timeouts = std::max(m_syn_timeouts, kSuspectThreshold);
  m_next_trial = now + kTrialDelay;
}

Health Liveness::health(SteadyTime now) const {
  if (!HasRepeatedTimeouts()) {
    return m_is_reported ? Health::kSuspect : Health::kHealthy;
  }
  const bool is_spread =
      m_last_timeout - m_first_timeout >= kPresumedDeadMinSpan;
  const bool is_recent = now - m_last_timeout < kPresumedDeadDuration;
  return m_timeouts >= kPresumedDeadThreshold && is_spread && is_recent
             ? Health::kPresumedDead
             : Health::kSuspect;
}

bool Liveness::IsUnrestricted(SteadyTime now) const {
  return health(now) == Health::kHealthy && m_syn_timeouts < kSuspectThreshold;
}

bool Liveness::AllowsAttempt(SteadyTime now) const {
  return IsUnrestricted(now) || now >= m_next_trial;
}

}  // namespace poplarsail::flows
