#ifndef STANDINS_PLATFORM_OBJECTS_H_
#define STANDINS_PLATFORM_OBJECTS_H_

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "model/model.h"

namespace poplarsail::standins {

// The readiness probe of the fabric.
inline constexpr const char* kReadinessRequest =
    "GET /-/ready HTTP/1.1\r\nHost: fabric\r\n\r\n";

struct ListenerObject {
  model::Ipv4Endpoint endpoint;
  std::string service;
};

// Builds the operators' configuration as stored in the platform's store.
nlohmann::json ConfigurationSpec(int64_t version,
                                 const std::vector<ListenerObject>& listeners,
                                 const std::vector<std::string>& services);

// Builds an upstream's registration as stored in the platform's store; `state`
// is "ready" or "draining".
nlohmann::json RegistrationSpec(const std::string& service,
                                const model::Ipv4Endpoint& endpoint,
                                const std::string& failure_domain,
                                const std::string& state);

// Registrations of another writer that name no upstream, as texts; some are no
// valid JSON.
std::vector<std::string> OddRegistrationTexts();

}  // namespace poplarsail::standins

#endif  // STANDINS_PLATFORM_OBJECTS_H_
