#ifndef ENTRY_PEER_SOCKET_H_
#define ENTRY_PEER_SOCKET_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <span>

#include "model/model.h"
#include "transport/transport.h"

namespace poplarsail::entry {

// The UDP socket for messages between entry hosts. Messages are MessagePack
// arrays whose first element is a version, which selects the handler.
class PeerSocket {
 public:
  using Handler = std::function<void(const model::Ipv4Endpoint& sender,
                                     std::span<const uint8_t> datagram)>;

  // Throws std::system_error if the address can't be bound.
  PeerSocket(boost::asio::io_context* context, const model::Endpoint& endpoint);

  // Sets the handler of the messages of a version, 0 to 127.
  void SetHandler(uint8_t version, Handler handler);
  void Start();

  // Sends at once. A datagram that the system does not accept is dropped and
  // counted.
  void Send(const model::Ipv4Endpoint& receiver,
            std::span<const uint8_t> datagram);

  const model::Ipv4Endpoint& own_endpoint() const { return m_own_endpoint; }
  // Datagrams of unknown versions, or without one.
  uint64_t unknown_messages() const { return m_unknown_messages; }
  uint64_t unsent_messages() const { return m_unsent_messages; }

 private:
  void WaitForDatagrams();
  void ReceiveBatch();
  void Dispatch(const model::Ipv4Endpoint& sender,
                std::span<const uint8_t> datagram);

  model::Ipv4Endpoint m_own_endpoint;
  transport::UdpSocket m_socket;
  boost::asio::posix::stream_descriptor m_descriptor;
  std::map<uint8_t, Handler> m_handlers;
  uint64_t m_unknown_messages = 0;
  uint64_t m_unsent_messages = 0;
};

}  // namespace poplarsail::entry

#endif  // ENTRY_PEER_SOCKET_H_
