#ifndef SCHEDULING_SINGLE_REQUEST_DETECTOR_H_
#define SCHEDULING_SINGLE_REQUEST_DETECTOR_H_

#include <bitset>
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

 private:
  static constexpr size_t kWindowFlows = 32;

  struct History {
    // A set bit is a flow with one request; bit 0 is the last flow.
    std::bitset<kWindowFlows> single;
    uint32_t flow_count = 0;
    uint32_t ended_count = 0;
    // Open flows that are in the window already.
    uint32_t open_reused_count = 0;

    void Add(bool is_single);
  };

  History* Find(const model::Ipv4Endpoint& listener);

  std::unordered_map<model::Ipv4Endpoint, History> m_histories;
};

}  // namespace poplarsail::scheduling

#endif  // SCHEDULING_SINGLE_REQUEST_DETECTOR_H_
