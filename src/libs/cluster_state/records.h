#ifndef CLUSTER_STATE_RECORDS_H_
#define CLUSTER_STATE_RECORDS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "model/ipv4_endpoint.h"

namespace poplarsail::cluster_state {

// Local time that only moves forward. Values are never exchanged between hosts.
using SteadyTime = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

enum class UpstreamPhase : uint8_t { kServing, kDraining };

// What an upstream says of itself.
struct UpstreamRecord {
  // Names one upstream for as long as it is registered.
  uint64_t id = 0;
  std::string service;
  model::Ipv4Endpoint endpoint;
  std::string failure_domain;
  UpstreamPhase phase = UpstreamPhase::kServing;
  // Until when the upstream is in cold start.
  SteadyTime cold_until;
  // Start of the upstream's process, milliseconds since the Unix epoch; 0 where
  // it does not say.
  int64_t started_unix_ms = 0;

  friend bool operator==(const UpstreamRecord&,
                         const UpstreamRecord&) = default;
};

// The part of a listener's new flows that goes to one service.
struct ServiceShare {
  std::string service;
  uint32_t weight = 0;

  friend bool operator==(const ServiceShare&, const ServiceShare&) = default;
};

// An address and port that callers open flows to.
struct ListenerRecord {
  std::string name;
  model::Ipv4Endpoint endpoint;
  std::vector<ServiceShare> shares;

  friend bool operator==(const ListenerRecord&,
                         const ListenerRecord&) = default;
};

struct ServiceRecord {
  std::string name;
  // New flows a second that an upstream in cold start bears, over all entry
  // hosts; 0 means that none is stated.
  double cold_flows_per_second = 0;
  // Path of the status check.
  std::string health_path;

  friend bool operator==(const ServiceRecord&, const ServiceRecord&) = default;
};

// The operators' configuration, always whole.
struct Configuration {
  int64_t version = 0;
  std::vector<ListenerRecord> listeners;
  std::vector<ServiceRecord> services;
  // A flow without packets for this long may be forgotten.
  milliseconds flow_idle_timeout{0};

  friend bool operator==(const Configuration&, const Configuration&) = default;
};

// A failure domain whose upstreams get no new flows; open flows go on.
struct Evacuation {
  std::string failure_domain;

  friend bool operator==(const Evacuation&, const Evacuation&) = default;
};

}  // namespace poplarsail::belief

#endif  // CLUSTER_STATE_RECORDS_H_
