#ifndef TRANSPORT_UDP_SOCKET_H_
#define TRANSPORT_UDP_SOCKET_H_

#include <cstddef>
#include <memory>

#include "transport/datagram_socket.h"

namespace poplarsail::transport {

inline constexpr size_t kDefaultBatchSize = 64;
// The longest datagram that is taken; longer ones are cut by the system and
// then fail the check of their total length.
inline constexpr size_t kDefaultMaxDatagramBytes = 9'216;

// A packet port on a UDP socket with recvmmsg and sendmmsg. Not thread-safe.
class UdpSocket : public DatagramSocket {
 public:
  // Binds to `local`; port 0 lets the system choose. Throws
  // std::system_error with the address in its text.
  explicit UdpSocket(const boost::asio::ip::address& address,
                         uint16_t port,
                         size_t batch_size = kDefaultBatchSize,
                         size_t max_datagram_bytes = kDefaultMaxDatagramBytes);
  ~UdpSocket() override;

  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;

  std::span<const std::span<const uint8_t>> Receive() override;
  void Queue(const model::Endpoint& destination,
             std::span<const uint8_t> header,
             std::span<const uint8_t> payload) override;
  size_t Flush() override;

  // Where datagram `index` of the last Receive came from.
  model::Endpoint SenderOf(size_t index) const;

  // The socket, for poll.
  int fd() const;
  model::Endpoint local_endpoint() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace poplarsail::transport

#endif  // TRANSPORT_UDP_SOCKET_H_
