#ifndef FLOWS_FLOW_ADMISSION_H_
#define FLOWS_FLOW_ADMISSION_H_

#include <string>
#include <unordered_map>

#include "flows/flow_packet.h"
#include "flows/routing_table.h"
#include "load/load.h"

namespace poplarsail::flows {

// Decides which new flows a service takes while its upstreams refuse requests.
//
// Load pattern: clients keep flows open and send more requests on them than the
// upstreams can process. A host can't refuse a request on an open flow; the
// upstream does, and its client tries again on new flows, up to twice.
// Returning requests then take the places of first ones, each of which is
// refused in its turn: half of all arrivals are refused, and what is answered
// is late.
//
// A new flow has not run anything, so its host may refuse it at once and
// truthfully. Of the lowest priority, the more are refused the larger the share
// of requests is that upstreams refuse. Higher priorities are always admitted.
class FlowAdmission {
 public:
  // Records the first acknowledgement of an answer. Returns whether the answer
  // is a refusal.
  bool RecordAnswer(const Ipv4Endpoint& listener,
                    Upstream* upstream,
                    const load::AnswerSample& answer,
                    SteadyTime now);

  // Forgets listeners and services that are no longer configured.
  void RemoveUnknown(const RoutingTable& routing_table);

  // The share of requests that the upstream refuses. With few requests it
  // follows the other upstreams of the service.
  double RefusedShare(const Upstream& upstream, SteadyTime now) const;

  // Whether the upstream's service takes a new flow.
  bool Admits(const Listener& listener,
              const Upstream& upstream,
              SteadyTime now);

 private:
  std::unordered_map<Ipv4Endpoint, load::RefusalDetector> m_detectors;
  // Keyed by the name of the service.
  std::unordered_map<std::string, load::RefusalShare> m_services;
  // Sum of the admission probabilities since the last admitted flow, so that
  // the admitted ones are spread evenly.
  std::unordered_map<std::string, double> m_credits;
};

// Returns the share of new flows to admit.
double AdmissionProbability(double refused_share);

}  // namespace poplarsail::flows

#endif  // FLOWS_FLOW_ADMISSION_H_
