#ifndef EMULATOR_SCENARIO_H_
#define EMULATOR_SCENARIO_H_

#include <cstdint>
#include <string>
#include <vector>

#include "emulator/event_queue.h"
#include "emulator/work_distribution.h"

namespace poplarsail::emulator {

// A kind of requests. Rates are the total over all failure domains.
struct RequestKind {
  std::string name;
  // Index of the service that processes the requests.
  size_t service = 0;
  double requests_per_second = 0;
  milliseconds work{0};
  // A response within `latency_target` has a utility of 1, a later one within
  // `timeout` of `late_utility`.
  milliseconds latency_target{0};
  milliseconds timeout{0};
  double late_utility = 0;
  // Requests may be retried after any failure, even if they may have been
  // processed.
  bool is_idempotent = true;
  // Flows are kept open for further requests.
  bool reuses_flows = true;
  // 0 is the highest.
  uint32_t priority = 0;
  // Of the work of single requests around `work`.
  WorkDistribution distribution;

  friend bool operator==(const RequestKind&, const RequestKind&) = default;
};

struct ServiceSize {
  std::string name;
  size_t upstreams = 0;
  // Speeds of the upstreams, in turn; 1 if empty.
  std::vector<double> speeds;

  friend bool operator==(const ServiceSize&, const ServiceSize&) = default;
};

// Disturbances of the fleet or its load during a run.
enum class DisturbanceKind : uint8_t {
  // The load is multiplied by `strength`.
  kBurst,
  // The fraction `strength` of the clients of the first failure domain moves to
  // the second.
  kShift,
  // The load varies sinusoidally by the fraction `strength`, with period
  // `length`.
  kWaves,
  // `count` upstreams of the first service crash permanently; their
  // registrations expire 1.5 s later.
  kCrash,
  // `count` upstreams of the first service terminate while the store is
  // unavailable, and others reuse their addresses: health checks connect
  // successfully, but packets of flows get no response. The registrations are
  // removed after `length`.
  kAddressReuse,
  // All upstreams of the first failure domain crash and are replaced by cold
  // ones after `length`.
  kDomainCrash,
  // `count` upstreams of the first service alternate between being down and up,
  // `strength` seconds each, and lose their flows each time.
  kFlap,
  // `count` upstreams of the first service are slower by the factor `strength`.
  kSlow,
  // Rolling replacement of the upstreams of the first service, `count` at a
  // time.
  kRelease,
  // All entry hosts are down for `length` and restart without any state.
  kRestartAll,
  // The fraction `strength` of the upstreams of the first service is replaced,
  // `count` of them every `length`.
  kRollingRelease,
  // `count` upstreams of the first service answer all requests with errors,
  // quickly.
  kFastErrors,
  // The work of requests grows linearly to `strength` times its mean during
  // `length`, and remains there.
  kDrift,
  // The demand of each failure domain varies sinusoidally by the fraction
  // `strength`, with period `length`, out of phase with the others; the total
  // is constant.
  kDomainWaves,
};

struct Disturbance {
  DisturbanceKind kind = DisturbanceKind::kBurst;
  SteadyTime begin;
  milliseconds length{0};
  double strength = 1;
  size_t count = 0;

  friend bool operator==(const Disturbance&, const Disturbance&) = default;
};

// A deployment with its load and its disturbances.
struct Scenario {
  std::string name;
  size_t failure_domains = 3;
  size_t hosts = 9;
  std::vector<ServiceSize> services;
  std::vector<RequestKind> kinds;
  std::vector<Disturbance> disturbances;
  // One-way delays between failure domains and between clients and hosts.
  milliseconds domain_delay{4};
  milliseconds client_delay{1};
  // Mean time that clients wait before they try again.
  milliseconds retry_delay{0};
  SteadyTime::duration length = std::chrono::seconds(30);
  // Processing times of a cold upstream are longer by this factor.
  double cold_factor = 3.0;
  milliseconds cold_time{3'000};
  // Time between the announcement that an upstream drains and its exit.
  milliseconds drain_time{3'200};
  // The conditions of scheduling hold: each kind of requests has a listener of
  // its own that states priority and latency target, upstreams register their
  // slots, and flows carry one request each. A refused request isn't retried.
  bool is_schedulable = false;
  // The load report covers requests that begin in this period.
  SteadyTime busy_begin = kSimulationStart;
  SteadyTime busy_end = kSimulationStart + std::chrono::seconds(30);

  // Each kind has a listener of its own, which states priority and latency
  // target; always so if `is_schedulable`.
  bool has_listener_per_kind = false;

  bool StatesTerms() const { return is_schedulable || has_listener_per_kind; }
  // Index of the listener of a kind.
  size_t ListenerOf(size_t kind) const {
    return StatesTerms() ? kind : kinds[kind].service;
  }

  friend bool operator==(const Scenario&, const Scenario&) = default;
};

// The standard set: a fleet like the one of a small observers' site under each
// load shape and failure.
std::vector<Scenario> StandardScenarios();

// The set of mixed services: one kind of requests keeps its flows open, another
// one opens a flow for each request, and both use the same upstreams.
std::vector<Scenario> MixedScenarios();

// The load set: 57 hosts in 3 failure domains, of which each sees 2 % of the
// flows, and 120 upstreams of uneven speeds. Work varies and has a heavy tail.
std::vector<Scenario> LoadScenarios();

}  // namespace poplarsail::emulator

#endif  // EMULATOR_SCENARIO_H_
