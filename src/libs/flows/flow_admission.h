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

  // Judges anew which share of requests the services refuse. Call several times
  // a second.
  void Update(const RoutingTable& routing_table, SteadyTime now);

  // Whether the service takes a new flow.
  bool Admits(const Listener& listener, const std::string& service);

 private:
  struct ServiceState {
    // The share of requests that the median upstream refuses. If only some
    // upstreams refuse requests, because they are slow, others have room.
    double refused_share = 0;
    // Sum of the admission probabilities since the last admitted flow, so that
    // the admitted ones are spread evenly.
    double credit = 0;
  };

  std::unordered_map<Ipv4Endpoint, load::RefusalDetector> m_detectors;
  // Keyed by the name of the service.
  std::unordered_map<std::string, ServiceState> m_services;
};

// Returns the share of new flows to admit.
double AdmissionProbability(double refused_share);

}  // namespace poplarsail::flows

#endif  // FLOWS_FLOW_ADMISSION_H_
