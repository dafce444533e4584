#ifndef MODEL_ENDPOINT_H_
#define MODEL_ENDPOINT_H_

#include <boost/asio/ip/address.hpp>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace poplarsail::model {

// An IP address and a port, written "192.0.2.1:443" or "[2001:db8::1]:443".
struct Endpoint {
  boost::asio::ip::address address;
  uint16_t port = 0;

  friend bool operator==(const Endpoint&, const Endpoint&) = default;
  friend bool operator<(const Endpoint& a, const Endpoint& b) {
    return a.address != b.address ? a.address < b.address : a.port < b.port;
  }
};

// Returns nullopt if `text` is not an address with a port from 1 to 65535.
std::optional<Endpoint> ParseEndpoint(std::string_view text);

std::string ToString(const Endpoint& endpoint);

}  // namespace poplarsail::model

#endif  // MODEL_ENDPOINT_H_
