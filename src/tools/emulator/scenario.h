#ifndef EMULATOR_SCENARIO_H_
#define EMULATOR_SCENARIO_H_

#include <cstdint>
#include <string>
#include <vector>

#include "emulator/event_queue.h"

namespace poplarsail::emulator {

// Requests of one kind, over all failure domains.
struct RequestKind {
  std::string name;
  // Index of the service that answers.
  size_t service = 0;
  double per_second = 0;
  milliseconds work{0};
  // Answers within the aim are worth all, within the budget `late_worth`.
  milliseconds aim{0};
  milliseconds budget{0};
  double late_worth = 0;
  // May be tried again after any failure.
  bool is_safe = true;
  // Flows stay open for further requests.
  bool keeps_flows = true;

  friend bool operator==(const RequestKind&, const RequestKind&) = default;
};

struct ServiceSize {
  std::string name;
  size_t upstreams = 0;

  friend bool operator==(const ServiceSize&, const ServiceSize&) = default;
};

// What happens to the fleet or its callers during a run.
enum class TroubleKind : uint8_t {
  // All load times `strength`.
  kBurst,
  // `strength` of the callers of the first failure domain move to the second.
  kShift,
  // Load rises and falls by `strength` of it, once in `length`.
  kWaves,
  // `count` upstreams of the first service stop without a word, for good; their
  // registrations lapse 1.5 s later.
  kCrash,
  // `count` upstreams of the first service end while the store is away, and
  // others take their addresses: connections are answered, flows are not. Their
  // registrations go after `length`.
  kReuse,
  // All upstreams of the first failure domain crash, and are back cold after
  // `length`.
  kDomainCrash,
  // `count` upstreams of the first service go dark and return by turns, for
  // `strength` seconds each; they lose their flows.
  kFlap,
  // `count` upstreams of the first service are `strength` times slower.
  kSlow,
  // The upstreams of the first service are replaced, `count` at a time.
  kRelease,
  // All entry hosts are down for `length` and start with nothing.
  kRestartAll,
};

struct Trouble {
  TroubleKind kind = TroubleKind::kBurst;
  SteadyTime begin;
  milliseconds length{0};
  double strength = 1;
  size_t count = 0;

  friend bool operator==(const Trouble&, const Trouble&) = default;
};

// A deployment and what happens to it.
struct Scenario {
  std::string name;
  size_t failure_domains = 3;
  size_t hosts = 9;
  std::vector<ServiceSize> services;
  std::vector<RequestKind> kinds;
  std::vector<Trouble> troubles;
  // One way, between failure domains and from callers to hosts.
  milliseconds domain_delay{4};
  milliseconds caller_delay{1};
  SteadyTime::duration length = std::chrono::seconds(30);

  friend bool operator==(const Scenario&, const Scenario&) = default;
};

// The standard set: a fleet like a small observers' site under each load shape.
std::vector<Scenario> StandardScenarios();

}  // namespace poplarsail::emulator

#endif  // EMULATOR_SCENARIO_H_
