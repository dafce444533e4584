#ifndef SCHEDULING_TYPES_H_
#define SCHEDULING_TYPES_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cluster_state/records.h"
#include "model/ipv4_endpoint.h"

namespace poplarsail::scheduling {

using cluster_state::milliseconds;
using cluster_state::SteadyTime;
using model::Ipv4Endpoint;

// Identifies a placement request: the entry host that holds the SYN, and a
// token that this host chose.
struct RequestKey {
  Ipv4Endpoint host;
  uint32_t token = 0;

  friend auto operator<=>(const RequestKey&, const RequestKey&) = default;
};

// A flow that needs an upstream.
struct PlacementRequest {
  RequestKey key;
  Ipv4Endpoint listener;
  uint32_t client_address = 0;
  // When the client sent the first SYN.
  SteadyTime first_syn;
  // Upstreams that did not respond to the SYN.
  std::vector<uint64_t> excluded_upstream_ids;
  // Forwarded by the scheduler of another failure domain.
  bool is_forwarded = false;

  friend bool operator==(const PlacementRequest&,
                         const PlacementRequest&) = default;
};

enum class RefusalReason : uint8_t {
  // No response is possible within the latency target.
  kNoRoom = 1,
  // No upstream may take new flows.
  kNoUpstream = 2,
  // Another host schedules the service.
  kUseOther = 3,
};

enum class Outcome : uint8_t {
  kResponded = 1,
  // No response to the SYN or the request, or a reset by the upstream.
  kFailed = 2,
  // The client gave up or the flow was reset by its entry host.
  kAbandoned = 3,
};

// A flow that no longer occupies its upstream.
struct Completion {
  uint32_t token = 0;
  uint64_t upstream_id = 0;
  Outcome outcome = Outcome::kResponded;
  // From the request's last packet to the first acknowledgement of its
  // response; 0 if there was none.
  std::chrono::microseconds response_time{0};

  friend bool operator==(const Completion&, const Completion&) = default;
};

// A flow that a host has open, as listed in its snapshots.
struct OpenFlow {
  uint32_t token = 0;
  uint64_t upstream_id = 0;
  milliseconds age{0};

  friend bool operator==(const OpenFlow&, const OpenFlow&) = default;
};

// What a scheduler tells of its pool.
struct Announcement {
  std::string service;
  std::string failure_domain;
  Ipv4Endpoint scheduler;
  // Floor of the binary logarithm of the host's thousandths of a core.
  uint32_t capacity_class = 0;
  uint32_t places = 0;
  uint32_t outstanding = 0;
  uint32_t waiting = 0;
  uint32_t free_places = 0;
  milliseconds predicted_wait{0};
  milliseconds mean_work{0};

  friend bool operator==(const Announcement&, const Announcement&) = default;
};

// The terms of a listener, from the configuration in force.
struct ListenerTerms {
  Ipv4Endpoint listener;
  uint32_t priority = 0;
  milliseconds latency_target{0};
  milliseconds timeout{0};

  friend bool operator==(const ListenerTerms&, const ListenerTerms&) = default;
};

// An upstream of a pool.
struct PoolUpstream {
  uint64_t id = 0;
  uint32_t slots = 0;
  SteadyTime cold_until;
  int64_t started_unix_ms = 0;
  // Whether new flows may use it, from its registration and evacuations.
  bool accepts_new_flows = false;

  friend bool operator==(const PoolUpstream&, const PoolUpstream&) = default;
};

// A service in one failure domain.
struct Pool {
  std::string service;
  std::string failure_domain;
  std::vector<ListenerTerms> listeners;
  std::vector<PoolUpstream> upstreams;
  // New flows per second that a cold upstream may take from the whole fleet; 0
  // if not stated.
  double cold_flows_per_second = 0;

  friend bool operator==(const Pool&, const Pool&) = default;
};

}  // namespace poplarsail::scheduling

#endif  // SCHEDULING_TYPES_H_
