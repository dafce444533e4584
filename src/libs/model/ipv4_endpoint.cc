#include "model/ipv4_endpoint.h"

namespace poplarsail::model {

std::optional<Ipv4Endpoint> ParseIpv4Endpoint(std::string_view text) {
  const std::optional<Endpoint> endpoint = ParseEndpoint(text);
  if (!endpoint || !endpoint->address.is_v4()) {
    return std::nullopt;
  }
  return Ipv4Endpoint{endpoint->address.to_v4().to_uint(), endpoint->port};
}

std::string ToString(const Ipv4Endpoint& endpoint) {
  return ToString(ToEndpoint(endpoint));
}

Endpoint ToEndpoint(const Ipv4Endpoint& endpoint) {
  return {boost::asio::ip::address_v4(endpoint.address), endpoint.port};
}

}  // namespace poplarsail::model
