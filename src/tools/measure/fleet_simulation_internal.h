#ifndef MEASURE_FLEET_SIMULATION_INTERNAL_H_
#define MEASURE_FLEET_SIMULATION_INTERNAL_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "measure/fleet_simulation.h"

// Nested types of FleetSimulation, shared by its two source files.
namespace poplarsail::measure {

// Stands for an upstream number where there is no upstream.
inline constexpr int kNoOwner = -1;

struct FleetSimulation::Host {
  std::string name;
  int domain = 0;
  std::unique_ptr<HostSteering> steering;
  std::unique_ptr<membership::FailureDetector> detector;
  uint64_t handled_changes = 0;
  uint32_t handled_refutations = 0;
  // Whether the process is running.
  bool is_up = true;
  // Whether the platform lists the host as live.
  bool is_listed = true;
  // Time at which the fabric stops sending packets to the host, after the host
  // leaves, fails or is evacuated.
  int64_t fabric_until_ms = INT64_MAX;
  int64_t fabric_from_ms = 0;
  int64_t ends_at_ms = INT64_MAX;
  // Arrival time of the latest member list, so that lists arrive in order.
  int64_t last_members_delivery_ms = INT64_MIN;
  // Period in which the host announces to store flow records.
  TimePoint replica_from = TimePoint::min();
  TimePoint replica_until = TimePoint::max();
  // The member list that the host received last.
  std::vector<steering::Member> members;
  TimePoint next_replica_change = TimePoint::max();
};

struct FleetSimulation::Upstream {
  std::string name;
  int domain = 0;
  uint32_t weight = 0;
  bool is_present = false;
  uint64_t open_flows = 0;
  // Time of the change after which no new flow should arrive; -1 for none.
  int64_t drained_at_ms = -1;
};

struct FleetSimulation::Flow {
  steering::FlowKey key;
  int owner = kNoOwner;
  bool is_established = false;
  bool has_ended = false;
  bool is_low_rate = false;
  int64_t opened_at_ms = 0;
  int64_t ends_at_ms = 0;
  int64_t undelivered_since_ms = -1;
};

// A control message in transit to one host.
struct FleetSimulation::Delivery {
  steering::ServicePlanPtr plan;
  std::shared_ptr<const std::vector<steering::Member>> members;
  std::shared_ptr<const Digest> digest;
  std::shared_ptr<const membership::Message> peer_message;
};

}  // namespace poplarsail::measure

#endif  // MEASURE_FLEET_SIMULATION_INTERNAL_H_
