#ifndef SOAK_WIRE_H_
#define SOAK_WIRE_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "model/ipv4_endpoint.h"

namespace poplarsail::soak {

// A packet in the platform's format. Clients and upstreams have a codec of
// their own, separate from the code under test.
struct Packet {
  model::Ipv4Endpoint source;
  model::Ipv4Endpoint destination;
  bool syn = false;
  bool ack = false;
  bool fin = false;
  bool rst = false;
  uint32_t sequence = 0;
  // On a SYN: the number of earlier transmissions of it.
  uint32_t ack_number = 0;
  uint32_t echo = 0;
  // 0 in resets sent by a daemon; clients and upstreams send another value, so
  // that the two kinds of resets can be told apart.
  uint32_t checksum = 1;
  std::string data;
};

std::vector<uint8_t> Encode(const Packet& packet);
std::optional<Packet> Decode(std::span<const uint8_t> bytes);

}  // namespace poplarsail::soak

#endif  // SOAK_WIRE_H_
