#ifndef MEASURE_FLEET_SIMULATION_INTERNAL_H_
#define MEASURE_FLEET_SIMULATION_INTERNAL_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "measure/fleet_simulation.h"

// The parts of a FleetSimulation, for its two source files.
namespace poplarsail::measure {

// In place of an upstream's number.
inline constexpr int kNoOwner = -1;

struct FleetSimulation::Host {
  std::string name;
  int domain = 0;
  std::unique_ptr<HostSteering> steering;
  std::unique_ptr<membership::FailureDetector> detector;
  uint64_t seen_changes = 0;
  uint32_t seen_refutations = 0;
  // The process runs.
  bool is_up = true;
  // The platform's list names the host as live.
  bool is_listed = true;
  // The fabric sends packets to it until then, once it is not listed.
  int64_t fabric_until_ms = INT64_MAX;
  int64_t fabric_from_ms = 0;
  int64_t ends_at_ms = INT64_MAX;
  // The newest member list arrives then; none overtakes another.
  int64_t members_until_ms = INT64_MIN;
  // What the host says of its part as a keeper.
  TimePoint replica_from = TimePoint::min();
  TimePoint replica_until = TimePoint::max();
  // The member list as the host knows it.
  std::vector<steering::Member> members;
  TimePoint next_keeper_change = TimePoint::max();
};

struct FleetSimulation::Upstream {
  std::string name;
  int domain = 0;
  uint32_t weight = 0;
  bool is_present = false;
  uint64_t open_flows = 0;
  // The change after which no new flow should come.
  int64_t closed_at_ms = -1;
};

struct FleetSimulation::Flow {
  steering::FlowKey key;
  int owner = kNoOwner;
  bool is_established = false;
  bool is_over = false;
  bool is_quiet = false;
  int64_t opened_at_ms = 0;
  int64_t ends_at_ms = 0;
  int64_t undelivered_since_ms = -1;
};

// A control message on its way to one host.
struct FleetSimulation::Delivery {
  steering::ServicePlanPtr plan;
  std::shared_ptr<const std::vector<steering::Member>> members;
  std::shared_ptr<const Digest> digest;
  std::shared_ptr<const membership::Message> peer_message;
};

}  // namespace poplarsail::measure

#endif  // MEASURE_FLEET_SIMULATION_INTERNAL_H_
