#include "flows/response_timeouts.h"

#include <algorithm>
#include <chrono>

namespace poplarsail::flows {

namespace {

constexpr double kPercentile = 0.97;
// Change of the estimate with each sample, as a part of it: kStep * kPercentile
// up, kStep * (1 - kPercentile) down.
constexpr double kStep = 0.1;
// The first sample may be a fast one.
constexpr double kFirstSampleFactor = 2.0;
// A timeout allows for this multiple of the percentile.
constexpr double kTimeoutFactor = 1.5;

milliseconds Timeout(
    const std::unordered_map<std::string, PercentileEstimator>& estimators,
    const std::string& key,
    const TimeoutBounds& bounds) {
  const auto found = estimators.find(key);
  if (found == estimators.end() || !found->second.has_samples()) {
    return bounds.initial;
  }
  const milliseconds timeout(
      static_cast<int64_t>(kTimeoutFactor * found->second.estimate_ms()));
  return std::clamp(timeout, bounds.min, bounds.max);
}

}  // namespace

void PercentileEstimator::Add(SteadyTime::duration sample) {
  // Below this the estimate could not grow again.
  constexpr double kMinEstimateMs = 1.0;
  const double sample_ms =
      std::chrono::duration<double, std::milli>(sample).count();
  if (!has_samples()) {
    m_estimate_ms = std::max(kMinEstimateMs, kFirstSampleFactor * sample_ms);
    return;
  }
  const double change = sample_ms > m_estimate_ms ? kStep * kPercentile
                                                  : kStep * (kPercentile - 1);
  m_estimate_ms = std::max(kMinEstimateMs, m_estimate_ms * (1 + change));
}

void ResponseTimeouts::RecordHandshake(const std::string& failure_domain,
                                       SteadyTime::duration time) {
  m_handshakes[failure_domain].Add(time);
}

void ResponseTimeouts::RecordResponse(const std::string& service,
                                      SteadyTime::duration time) {
  m_responses[service].Add(time);
}

milliseconds ResponseTimeouts::SynTimeout(
    const std::string& failure_domain) const {
  return Timeout(m_handshakes, failure_domain, kSynTimeoutBounds);
}

milliseconds ResponseTimeouts::ConnectTimeout(
    const std::string& failure_domain) const {
  return Timeout(m_handshakes, failure_domain, kConnectTimeoutBounds);
}

milliseconds ResponseTimeouts::RequestTimeout(
    const std::string& service) const {
  return Timeout(m_responses, service, kRequestTimeoutBounds);
}

milliseconds ResponseTimeouts::FlowTimeout(const std::string& service) const {
  return Timeout(m_responses, service, kFlowTimeoutBounds);
}

}  // namespace poplarsail::flows
