#ifndef SCHEDULING_LISTENER_TABLE_H_
#define SCHEDULING_LISTENER_TABLE_H_

#include <map>
#include <vector>

#include "load/load.h"
#include "scheduling/message_codec.h"
#include "scheduling/types.h"

namespace poplarsail::scheduling {

struct ListenerState {
  explicit ListenerState(const ListenerTerms& listener_terms);

  // Adds the work of a response that did not wait, unless it is so short that
  // it was probably an error.
  // Far quicker than usual requests.
  bool IsProbablyError(double work_ms) const;
  void AddSample(double work_ms, SteadyTime now);
  void Refresh(SteadyTime now);
  double max_planned_work_ms() const;
  SteadyTime Expiry(SteadyTime granted) const;

  ListenerTerms terms;
  load::WorkEstimator work;
  // As of the last refresh.
  load::WorkEstimate estimate;
  // Mean work of the longest 5 % of requests. A waiting request is planned with
  // it: long requests are much of the work, and that is lost if they wait so
  // long that they complete late.
  double planned_work_ms = 0;
};

// The listeners of a service with the work of their requests, and the demand by
// priority.
class ListenerTable {
 public:
  ListenerTable();

  void Update(const std::vector<ListenerTerms>& terms, SteadyTime now);
  void Refresh(SteadyTime now);
  // A listener that is not configured here yet gets the lowest priority.
  ListenerState& Find(const Ipv4Endpoint& endpoint);

  // A request of this priority and work has arrived.
  void RecordDemand(uint32_t priority, double work_ms, SteadyTime now);
  // Milliseconds of work that arrive per millisecond for higher priorities.
  double DemandAbove(uint32_t priority, SteadyTime now) const;
  double TotalDemand(SteadyTime now) const;

  double MeanWorkMs() const;
  std::vector<LearnedWork> Learned(SteadyTime now) const;
  void Seed(const std::vector<LearnedWork>& work, SteadyTime now);

 private:
  // A sum of work that decays.
  struct Demand {
    double work_ms = 0;
    SteadyTime updated;
  };

  double DecayedMs(const Demand& demand, SteadyTime now) const;

  std::map<Ipv4Endpoint, ListenerState> m_listeners;
  ListenerState m_unknown;
  std::map<uint32_t, Demand> m_demand;
  double m_demand_decay_ms = 250;
};

}  // namespace poplarsail::scheduling

#endif  // SCHEDULING_LISTENER_TABLE_H_
