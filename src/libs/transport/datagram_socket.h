#ifndef TRANSPORT_DATAGRAM_SOCKET_H_
#define TRANSPORT_DATAGRAM_SOCKET_H_

#include <cstdint>
#include <span>

#include "model/model.h"

namespace poplarsail::transport {

// Carries datagrams in batches. Spans stay valid until the next Receive.
class DatagramSocket {
 public:
  virtual ~DatagramSocket() = default;

  // Returns the datagrams at hand, possibly none, without waiting.
  virtual std::span<const std::span<const uint8_t>> Receive() = 0;

  // Queues `header` followed by `payload` for `destination`; both must stay
  // valid until Flush.
  virtual void Queue(const model::Endpoint& destination,
                     std::span<const uint8_t> header,
                     std::span<const uint8_t> payload) = 0;

  // Sends what is queued. Returns the number of datagrams that the system did
  // not take; they are lost.
  virtual size_t Flush() = 0;
};

}  // namespace poplarsail::transport

#endif  // TRANSPORT_DATAGRAM_SOCKET_H_
