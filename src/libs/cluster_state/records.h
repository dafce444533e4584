#ifndef CLUSTER_STATE_RECORDS_H_
#define CLUSTER_STATE_RECORDS_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/ipv4_endpoint.h"

namespace poplarsail::cluster_state {

// Monotonic local time. Values are never exchanged between hosts.
using SteadyTime = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

// A state of the store. If the store is restored from an older copy, its
// revisions go back and are given out again; its era rises with each restore,
// so versions of different eras never mix. Era 0: the store states none.
struct StoreVersion {
  uint64_t era = 0;
  uint64_t revision = 0;

  friend auto operator<=>(const StoreVersion&, const StoreVersion&) = default;
};

enum class UpstreamPhase : uint8_t { kServing, kDraining };

// The registration of an upstream.
struct UpstreamRecord {
  // Identifies one upstream for as long as it is registered.
  uint64_t id = 0;
  std::string service;
  model::Ipv4Endpoint endpoint;
  std::string failure_domain;
  UpstreamPhase phase = UpstreamPhase::kServing;
  // End of the upstream's cold start.
  SteadyTime cold_until;
  // Start of the upstream's process in milliseconds since the Unix epoch; 0 if
  // not stated.
  int64_t started_unix_ms = 0;
  // Number of requests that it processes at the same time; 0 if not stated.
  uint32_t slots = 0;

  friend bool operator==(const UpstreamRecord&,
                         const UpstreamRecord&) = default;
};

// The share of a listener's new flows that goes to one service.
struct ServiceShare {
  std::string service;
  uint32_t weight = 0;

  friend bool operator==(const ServiceShare&, const ServiceShare&) = default;
};

// An address and port that clients open flows to.
struct ListenerRecord {
  std::string name;
  model::Ipv4Endpoint endpoint;
  std::vector<ServiceShare> shares;
  // Priority of the requests, 0 is the highest; nullopt if not stated.
  std::optional<uint32_t> priority;
  // Target for the time to the response; 0 if not stated.
  milliseconds latency_target{0};
  // How long clients wait for the response; 0 if not stated.
  milliseconds timeout{0};

  friend bool operator==(const ListenerRecord&,
                         const ListenerRecord&) = default;
};

struct ServiceRecord {
  std::string name;
  // New flows per second that an upstream in cold start can take, from all
  // entry hosts together; 0 if not stated.
  double cold_flows_per_second = 0;
  // Path of the health check.
  std::string health_path;

  friend bool operator==(const ServiceRecord&, const ServiceRecord&) = default;
};

// The operators' complete configuration.
struct Configuration {
  int64_t version = 0;
  std::vector<ListenerRecord> listeners;
  std::vector<ServiceRecord> services;
  // The record of a flow without packets for this long may be evicted.
  milliseconds flow_idle_timeout{0};

  friend bool operator==(const Configuration&, const Configuration&) = default;
};

// A failure domain whose upstreams get no new flows; open flows go on.
struct Evacuation {
  std::string failure_domain;

  friend bool operator==(const Evacuation&, const Evacuation&) = default;
};

}  // namespace poplarsail::cluster_state

#endif  // CLUSTER_STATE_RECORDS_H_
