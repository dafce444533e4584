#ifndef SCHEDULING_SINGLE_REQUEST_DETECTOR_H_
#define SCHEDULING_SINGLE_REQUEST_DETECTOR_H_

#include <cstdint>
#include <unordered_map>

#include "model/ipv4_endpoint.h"

namespace poplarsail::scheduling {

// Learns which listeners' flows carry one request each.
class SingleRequestDetector {
 public:
  // A flow has ended, or was evicted as idle, after `request_count` requests. A
  // flow whose start was not seen is not to be recorded.
  void RecordFlow(const model::Ipv4Endpoint& listener, uint32_t request_count);
  // A flow that is still open has sent a second request.
  void RecordReuse(const model::Ipv4Endpoint& listener);

  // Whether enough flows were seen, and nearly all of the last ones carried one
  // request.
  bool CarriesSingleRequests(const model::Ipv4Endpoint& listener) const;
  // Whether too few flows were seen to tell.
  bool IsUndecided(const model::Ipv4Endpoint& listener) const;
};

}  // namespace poplarsail::scheduling

#endif  // SCHEDULING_SINGLE_REQUEST_DETECTOR_H_
