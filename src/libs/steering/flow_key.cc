#include "steering/flow_key.h"

#include <algorithm>
#include <cstring>

#include <xxhash.h>

namespace poplarsail::steering {

namespace {

constexpr size_t kPackedKeySize = 16 + 16 + 2 + 2 + 1;

}  // namespace

AddressBytes ToAddressBytes(const boost::asio::ip::address& address) {
  if (address.is_v6()) {
    return address.to_v6().to_bytes();
  }
  AddressBytes bytes{};
  bytes[10] = 0xff;
  bytes[11] = 0xff;
  const auto v4 = address.to_v4().to_bytes();
  std::copy(v4.begin(), v4.end(), bytes.begin() + 12);
  return bytes;
}

uint64_t HashFlow(const FlowKey& key, uint64_t seed) {
  std::array<uint8_t, kPackedKeySize> packed;
  std::memcpy(packed.data(), key.source.data(), 16);
  std::memcpy(packed.data() + 16, key.destination.data(), 16);
  std::memcpy(packed.data() + 32, &key.source_port, 2);
  std::memcpy(packed.data() + 34, &key.destination_port, 2);
  packed[36] = key.protocol;
  return XXH3_64bits_withSeed(packed.data(), packed.size(), seed);
}

}  // namespace poplarsail::steering
