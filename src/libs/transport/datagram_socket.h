#ifndef TRANSPORT_DATAGRAM_SOCKET_H_
#define TRANSPORT_DATAGRAM_SOCKET_H_

#include <cstdint>
#include <span>

#include "model/model.h"

namespace poplarsail::transport {

// Sends and receives datagrams in batches.
class DatagramSocket {
 public:
  virtual ~DatagramSocket() = default;

  // Returns the datagrams that have arrived, possibly none, without blocking.
  // The spans are valid until the next Receive.
  virtual std::span<const std::span<const uint8_t>> Receive() = 0;

  // Queues a datagram of `header` followed by `payload` for `destination`. Both
  // must stay valid until Flush.
  virtual void Queue(const model::Endpoint& destination,
                     std::span<const uint8_t> header,
                     std::span<const uint8_t> payload) = 0;

  // Sends the queued datagrams. Returns the number of datagrams that the system
  // did not accept; they are dropped.
  virtual size_t Flush() = 0;
};

}  // namespace poplarsail::transport

#endif  // TRANSPORT_DATAGRAM_SOCKET_H_
