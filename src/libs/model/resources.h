#ifndef MODEL_RESOURCES_H_
#define MODEL_RESOURCES_H_

#include <cstdint>
#include <string>

#include "model/endpoint.h"
#include "model/object.h"

namespace poplarsail::model {

inline constexpr char kServiceKind[] = "Service";
inline constexpr char kUpstreamKind[] = "Upstream";
inline constexpr char kFailureDomainKind[] = "FailureDomain";
inline constexpr char kEntryHostKind[] = "EntryHost";
inline constexpr char kPlanKind[] = "Plan";

enum class Protocol : uint8_t { kTcp, kUdp };
enum class ServiceMode : uint8_t { kPackets, kRequests };
enum class UpstreamState : uint8_t { kServing, kDraining };
enum class DomainState : uint8_t { kInService, kEvacuated };
enum class HostPhase : uint8_t { kLive, kLeaving };

// A service that callers reach at one address.
struct Service {
  std::string name;
  Endpoint address;
  Protocol protocol = Protocol::kTcp;
  ServiceMode mode = ServiceMode::kPackets;
  // The share of requests that must succeed, 0 to 1.
  double availability_objective = 0.999;
  // The latency, in milliseconds, that a good request stays under.
  uint32_t latency_objective_ms = 500;

  friend bool operator==(const Service&, const Service&) = default;
};

// A back end of one service.
struct Upstream {
  std::string name;
  std::string service;
  Endpoint address;
  std::string failure_domain;
  // The number of requests that the upstream runs at the same time.
  uint32_t slots = 2;
  // The number of connections that the upstream bears when it is warm.
  uint32_t connections = 2000;
  UpstreamState state = UpstreamState::kServing;

  friend bool operator==(const Upstream&, const Upstream&) = default;
};

// A failure domain; operators take it out and return it.
struct FailureDomain {
  std::string name;
  DomainState state = DomainState::kInService;

  friend bool operator==(const FailureDomain&, const FailureDomain&) = default;
};

// An entry host in the platform's lagging list.
struct EntryHost {
  std::string name;
  boost::asio::ip::address address;
  std::string failure_domain;
  HostPhase phase = HostPhase::kLive;

  friend bool operator==(const EntryHost&, const EntryHost&) = default;
};

// Each throws ValidationError, naming the object, the key and the reason.
Service ServiceFromObject(const Object& object);
Upstream UpstreamFromObject(const Object& object);
FailureDomain FailureDomainFromObject(const Object& object);
EntryHost EntryHostFromObject(const Object& object);

// Checks an object of any kind that operators may write. Throws
// ValidationError; an unknown kind is refused.
void ValidateObject(const Object& object);

}  // namespace poplarsail::model

#endif  // MODEL_RESOURCES_H_
