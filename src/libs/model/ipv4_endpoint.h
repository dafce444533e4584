#ifndef MODEL_IPV4_ENDPOINT_H_
#define MODEL_IPV4_ENDPOINT_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "model/endpoint.h"

namespace poplarsail::model {

// An IPv4 address and a port in host byte order. More compact than Endpoint,
// for state that is kept for each flow or upstream.
struct Ipv4Endpoint {
  uint32_t address = 0;
  uint16_t port = 0;

  friend auto operator<=>(const Ipv4Endpoint&, const Ipv4Endpoint&) = default;
};

// Returns nullopt if `text` is not "a.b.c.d:port" with a port from 1 to 65535.
std::optional<Ipv4Endpoint> ParseIpv4Endpoint(std::string_view text);

std::string ToString(const Ipv4Endpoint& endpoint);

Endpoint ToEndpoint(const Ipv4Endpoint& endpoint);

}  // namespace poplarsail::model

template <>
struct std::hash<poplarsail::model::Ipv4Endpoint> {
  size_t operator()(const poplarsail::model::Ipv4Endpoint& endpoint) const {
    return std::hash<uint64_t>()(uint64_t{endpoint.address} << 16 |
                                 endpoint.port);
  }
};

#endif  // MODEL_IPV4_ENDPOINT_H_
