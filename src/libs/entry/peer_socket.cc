#include "entry/peer_socket.h"

#include <unistd.h>

#include <optional>
#include <utility>

#include "entry/handler_errors.h"

namespace poplarsail::entry {

namespace {

constexpr size_t kReceiveBatchSize = 16;
constexpr size_t kMaxDatagramBytes = 1'500;
constexpr uint8_t kMaxVersion = 127;

model::Ipv4Endpoint ToIpv4Endpoint(const model::Endpoint& endpoint) {
  if (!endpoint.address.is_v4()) {
    return {};
  }
  return {endpoint.address.to_v4().to_uint(), endpoint.port};
}

// Returns the size of the header of a MessagePack array that is not empty, or
// nullopt if the datagram is not one.
std::optional<size_t> ArrayHeaderSize(std::span<const uint8_t> datagram) {
  constexpr uint8_t kArray16 = 0xdc;
  constexpr uint8_t kArray32 = 0xdd;
  if (datagram.empty()) {
    return std::nullopt;
  }
  const uint8_t type = datagram[0];
  if (type > 0x90 && type <= 0x9f) {
    return 1;
  }
  if (type == kArray16) {
    return 3;
  }
  return type == kArray32 ? std::optional<size_t>(5) : std::nullopt;
}

// Returns nullopt if the datagram is not an array that starts with a version.
std::optional<uint8_t> VersionOf(std::span<const uint8_t> datagram) {
  const std::optional<size_t> header_size = ArrayHeaderSize(datagram);
  if (!header_size || datagram.size() <= *header_size) {
    return std::nullopt;
  }
  const uint8_t version = datagram[*header_size];
  return version <= kMaxVersion ? std::optional(version) : std::nullopt;
}

}  // namespace

PeerSocket::PeerSocket(boost::asio::io_context* context,
                       const model::Endpoint& endpoint)
    : m_socket(endpoint.address,
               endpoint.port,
               kReceiveBatchSize,
               kMaxDatagramBytes),
      m_descriptor(*context, ::dup(m_socket.fd())) {
  m_own_endpoint = ToIpv4Endpoint(m_socket.local_endpoint());
}

void PeerSocket::SetHandler(uint8_t version, Handler handler) {
  m_handlers[version] = std::move(handler);
}

void PeerSocket::Start() {
  WaitForDatagrams();
}

void PeerSocket::Send(const model::Ipv4Endpoint& receiver,
                      std::span<const uint8_t> datagram) {
  if (datagram.empty()) {
    return;
  }
  m_socket.Queue(model::ToEndpoint(receiver), datagram.first(1),
                 datagram.subspan(1));
  m_unsent_messages += m_socket.Flush();
}

void PeerSocket::WaitForDatagrams() {
  m_descriptor.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                          [this](const boost::system::error_code& error) {
                            if (error) {
                              return;
                            }
                            ReceiveBatch();
                            WaitForDatagrams();
                          });
}

void PeerSocket::ReceiveBatch() {
  // A single batch, so that many messages do not delay the packets of flows.
  const auto datagrams = m_socket.Receive();
  for (size_t i = 0; i < datagrams.size(); ++i) {
    RunGuarded("peers", [&]() {
      Dispatch(ToIpv4Endpoint(m_socket.SenderOf(i)), datagrams[i]);
    });
  }
}

void PeerSocket::Dispatch(const model::Ipv4Endpoint& sender,
                          std::span<const uint8_t> datagram) {
  const std::optional<uint8_t> version = VersionOf(datagram);
  const auto handler = version ? m_handlers.find(*version) : m_handlers.end();
  if (handler == m_handlers.end() || !handler->second) {
    ++m_unknown_messages;
    return;
  }
  handler->second(sender, datagram);
}

}  // namespace poplarsail::entry
