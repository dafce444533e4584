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

// A load-balanced service, which clients reach at one address.
struct Service {
  std::string name;
  Endpoint address;
  Protocol protocol = Protocol::kTcp;
  ServiceMode mode = ServiceMode::kPackets;
  // Service level objective: the fraction of requests that must succeed, above
  // 0 and below 1.
  double availability_objective = 0.999;
  // Service level objective: requests that take longer than this do not count
  // as good.
  uint32_t latency_objective_ms = 500;

  friend bool operator==(const Service&, const Service&) = default;
};

// A back end of a service.
struct Upstream {
  std::string name;
  std::string service;
  Endpoint address;
  std::string failure_domain;
  // Maximum number of requests that the upstream runs at the same time.
  uint32_t slots = 2;
  // Maximum number of connections that the upstream can handle once it is
  // warmed up.
  uint32_t connections = 2000;
  UpstreamState state = UpstreamState::kServing;

  friend bool operator==(const Upstream&, const Upstream&) = default;
};

// A failure domain. Operators evacuate it and put it back into service.
struct FailureDomain {
  std::string name;
  DomainState state = DomainState::kInService;

  friend bool operator==(const FailureDomain&, const FailureDomain&) = default;
};

// An entry host in the platform's list, which follows the actual state of the
// hosts with a delay.
struct EntryHost {
  std::string name;
  boost::asio::ip::address address;
  std::string failure_domain;
  HostPhase phase = HostPhase::kLive;

  friend bool operator==(const EntryHost&, const EntryHost&) = default;
};

// Each throws ValidationError with the object, the key and the reason.
Service ServiceFromObject(const Object& object);
Upstream UpstreamFromObject(const Object& object);
FailureDomain FailureDomainFromObject(const Object& object);
EntryHost EntryHostFromObject(const Object& object);

// Validates an object of any kind that operators may write. Throws
// ValidationError, also for other kinds.
void ValidateObject(const Object& object);

}  // namespace poplarsail::model

#endif  // MODEL_RESOURCES_H_
