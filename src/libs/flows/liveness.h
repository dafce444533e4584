#ifndef FLOWS_LIVENESS_H_
#define FLOWS_LIVENESS_H_

#include <cstdint>

#include "cluster_state/records.h"

namespace poplarsail::flows {

using cluster_state::milliseconds;
using cluster_state::SteadyTime;

// Timeouts since the last response after which new flows avoid an upstream. A
// single timeout may be a lost packet.
inline constexpr uint32_t kSuspectThreshold = 2;
// How long an upstream is presumed dead after a failed check. Packets are then
// forwarded again, and the next timeout causes another check, because a failure
// domain that was disconnected comes back without notice.
inline constexpr milliseconds kPresumedDeadDuration{2'000};
// After this time without further evidence of a failure a single attempt may
// use the upstream. The registration of a crashed upstream expires within this
// time.
inline constexpr milliseconds kTrialDelay{1'500};

// After as many unanswered SYNs in a row, copies of a SYN go to other upstreams
// although this one is alive. It may be at its limit of flows.
inline constexpr uint32_t kMaxUnansweredSyns = 3;

enum class Health : uint8_t {
  kHealthy,
  // New flows avoid it.
  kSuspect,
  // A check failed: its open flows are reset. Timeouts alone never show this,
  // since an upstream whose slots are all taken is as silent as a dead one.
  kPresumedDead,
};

// What a check of an upstream by a connection showed.
enum class CheckOutcome : uint8_t {
  kConnected,
  // No new flow can be opened. An upstream that stops closes its listening
  // socket before it ends its open flows, and one at its limit of connections
  // refuses more; but some networks also refuse connections to hosts that are
  // out of reach.
  kRefused,
  kNoResponse,
};

// Judges from traffic and checks whether an upstream still responds.
class Liveness {
 public:
  // The upstream sent something at most one round trip before `now`.
  void RecordResponse(SteadyTime now);

  // The upstream accepted a connection. That proves less than a response on a
  // flow, since another upstream may have taken over the address. New flows
  // therefore try it one at a time.
  void RecordConnection(SteadyTime now);

  // The upstream refused a connection, which says nothing about its open flows.
  // New flows avoid it.
  void RecordRefusal(SteadyTime now);

  // A SYN had no response until `now`. Upstreams respond to a SYN even if they
  // are overloaded.
  void RecordSynTimeout(SteadyTime now);

  // A SYN had no response in time although the upstream is alive: a packet was
  // lost, or the upstream takes no more flows.
  void RecordUnansweredSyn() { ++m_unanswered_syns; }
  // The upstream accepted a flow.
  void RecordHandshake() { m_unanswered_syns = 0; }

  // A packet that was forwarded at `sent` had no response until `now`.
  void RecordResponseTimeout(SteadyTime sent, SteadyTime now);

  // Another host reports that the upstream does not respond. New flows avoid it
  // until this host's own observations decide; a report counts as no timeout,
  // since it may also come from the refusal of an upstream that is stopping.
  void RecordPeerReport(SteadyTime now);

  // A check, which does not depend on packets of flows, got no response.
  void RecordFailedCheck(SteadyTime now);

  Health health(SteadyTime now) const;

  // Whether a new flow may use the upstream: either it is healthy, or a trial
  // is due. `RecordAttempt` delays the next trial.
  bool AllowsAttempt(SteadyTime now) const;
  void RecordAttempt(SteadyTime now) {
    if (!IsUnrestricted(now)) {
      m_next_trial = now + kTrialDelay;
    }
  }

  // Whether it refused a connection and has not responded since.
  bool is_refusing() const { return m_is_refusing; }
  // Whether a flow of this host timed out since the last response.
  bool has_timeouts() const { return m_timeouts > 0; }
  // Whether a SYN is worth sending again. Lost packets alone do not explain
  // kMaxUnansweredSyns in a row.
  bool answers_syns() const { return m_unanswered_syns < kMaxUnansweredSyns; }
  SteadyTime last_response() const { return m_last_response; }

 private:
  bool IsUnrestricted(SteadyTime now) const;

  SteadyTime m_last_response;
  SteadyTime m_next_trial;
  SteadyTime m_presumed_dead_until;
  bool m_is_refusing = false;
  // Another host has reported it since the last response.
  bool m_is_reported = false;
  uint32_t m_timeouts = 0;
  // SYNs without a response since the last response on a flow.
  uint32_t m_syn_timeouts = 0;
  // SYNs of different flows without a response since the last handshake, while
  // the upstream was alive.
  uint32_t m_unanswered_syns = 0;
};

}  // namespace poplarsail::flows

#endif  // FLOWS_LIVENESS_H_
