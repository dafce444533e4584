#ifndef FLOWS_RESPONSE_TIMEOUTS_H_
#define FLOWS_RESPONSE_TIMEOUTS_H_

#include <string>
#include <unordered_map>

#include "flows/liveness.h"

namespace poplarsail::flows {

// Tracks a high percentile of durations. A single outlier moves it by a few
// percent, however long it is, and some ten samples double it.
class PercentileEstimator {
 public:
  void Add(SteadyTime::duration sample);

  bool has_samples() const { return m_estimate_ms > 0; }
  double estimate_ms() const { return m_estimate_ms; }

 private:
  double m_estimate_ms = 0;
};

// Bounds of a timeout. `initial` holds until there are samples.
struct TimeoutBounds {
  milliseconds min{0};
  milliseconds initial{0};
  milliseconds max{0};

  friend bool operator==(const TimeoutBounds&, const TimeoutBounds&) = default;
};

// The response to a SYN takes a round trip. At the maximum the client's
// retransmission is due as well.
inline constexpr TimeoutBounds kSynTimeoutBounds{
    milliseconds{50}, milliseconds{120}, milliseconds{180}};
// A connection is accepted or refused within a round trip. Without samples the
// failure domains may be far apart.
inline constexpr TimeoutBounds kConnectTimeoutBounds{
    milliseconds{45}, milliseconds{150}, milliseconds{400}};
// Time to the first packet of the response to a request, after which the
// upstream is checked.
inline constexpr TimeoutBounds kRequestTimeoutBounds{
    milliseconds{100}, milliseconds{250}, milliseconds{1'500}};
// Time after which a missing response counts against the upstream. Clients
// retransmit after 200 ms at the earliest, less jitter.
inline constexpr TimeoutBounds kFlowTimeoutBounds{
    milliseconds{150}, milliseconds{1'500}, milliseconds{1'500}};

// Learns from responses how long upstreams may take: handshakes by failure
// domain, since distance decides, and requests by service, since the work
// decides.
class ResponseTimeouts {
 public:
  void RecordHandshake(const std::string& failure_domain,
                       SteadyTime::duration time);
  void RecordResponse(const std::string& service, SteadyTime::duration time);

  milliseconds SynTimeout(const std::string& failure_domain) const;
  milliseconds ConnectTimeout(const std::string& failure_domain) const;
  milliseconds RequestTimeout(const std::string& service) const;
  milliseconds FlowTimeout(const std::string& service) const;

 private:
  using Estimators = std::unordered_map<std::string, PercentileEstimator>;

  Estimators m_handshakes;
  Estimators m_responses;
};

}  // namespace poplarsail::flows

#endif  // FLOWS_RESPONSE_TIMEOUTS_H_
