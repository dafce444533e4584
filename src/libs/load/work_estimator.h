#ifndef LOAD_WORK_ESTIMATOR_H_
#define LOAD_WORK_ESTIMATOR_H_

#include <cstdint>

#include "cluster_state/records.h"
#include "load/work_histogram.h"

namespace poplarsail::load {

using cluster_state::SteadyTime;

// The work of a listener's requests in milliseconds on an upstream of speed 1.
struct WorkEstimate {
  double mean_ms = 0;
  double median_ms = 0;
  double p95_ms = 0;
  // Effective number of samples; old ones count less.
  double samples = 0;
  SteadyTime last_sample;

  friend bool operator==(const WorkEstimate&, const WorkEstimate&) = default;
};

// Learns the work of a listener's requests in bounded memory.
//
// Only responses of requests that found a free slot may be added: the time that
// a request waited in its upstream is no work, and a host can't tell one from
// the other. Requests that still run are no samples either.
class WorkEstimator {
 public:
  // `prior_ms` holds until there are samples.
  explicit WorkEstimator(double prior_ms);

  // Adds the work of one request: its response time, free of waiting, times the
  // speed of its upstream. Samples below a tenth of the median are ignored,
  // since errors are returned quickly.
  void Add(double work_ms, SteadyTime now);
  // Takes over what another host has learned, unless this one knows more. Its
  // figures count as a bounded number of samples.
  void Seed(const WorkEstimate& estimate, SteadyTime now);

  WorkEstimate Estimate(SteadyTime now) const;
  // The mean remaining work of a request whose upstream has done `done_ms` of
  // work on it so far. Takes a few nanoseconds.
  double RemainingMs(double done_ms, SteadyTime /*now*/) const {
    return m_histogram.RemainingMs(done_ms);
  }

 private:
  void Age(SteadyTime now);

  WorkHistogram m_histogram;
  // `samples` is as of `m_aged_at`.
  WorkEstimate m_estimate;
  // The samples of this host among those of `m_estimate`.
  double m_own_samples = 0;
  SteadyTime m_aged_at;
};

}  // namespace poplarsail::load

#endif  // LOAD_WORK_ESTIMATOR_H_
