#include "flows/flow_packet.h"

#include <array>

#include <xxhash.h>

namespace poplarsail::flows {

size_t FlowKeyHash::operator()(const FlowKey& key) const {
  const std::array<uint32_t, 3> words = {
      key.client.address, key.listener.address,
      uint32_t{key.client.port} << 16 | key.listener.port};
  return XXH3_64bits(words.data(), sizeof(words));
}

}  // namespace poplarsail::flows
