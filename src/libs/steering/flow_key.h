#ifndef STEERING_FLOW_KEY_H_
#define STEERING_FLOW_KEY_H_

#include <array>
#include <boost/asio/ip/address.hpp>
#include <compare>
#include <cstdint>

namespace poplarsail::steering {

// An IPv6 address, or an IPv4 address in its IPv4-mapped form.
using AddressBytes = std::array<uint8_t, 16>;

// The 5-tuple that identifies a flow. The destination is the address of a
// service, so each flow belongs to exactly one service.
struct FlowKey {
  AddressBytes source{};
  AddressBytes destination{};
  uint16_t source_port = 0;
  uint16_t destination_port = 0;
  uint8_t protocol = 0;

  friend auto operator<=>(const FlowKey&, const FlowKey&) = default;
};

AddressBytes ToAddressBytes(const boost::asio::ip::address& address);

// Hashes a flow with a seed that only the entry hosts know, so that clients
// can't choose source ports that all hash to one bucket.
uint64_t HashFlow(const FlowKey& key, uint64_t seed);

// Combines two uniformly distributed hashes (finalizer of splitmix64).
constexpr uint64_t MixHashes(uint64_t a, uint64_t b) {
  uint64_t x = a ^ (b * 0x9e3779b97f4a7c15ULL);
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

}  // namespace poplarsail::steering

#endif  // STEERING_FLOW_KEY_H_
