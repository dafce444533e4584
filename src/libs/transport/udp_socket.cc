#include "transport/udp_socket.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <cerrno>
#include <cstring>
#include <system_error>
#include <utility>
#include <vector>

namespace poplarsail::transport {

namespace {

constexpr size_t kMaxHeader = 64;
constexpr int kSocketBufferBytes = 8 * 1024 * 1024;

using UdpEndpoint = boost::asio::ip::udp::endpoint;

std::system_error SystemError(const std::string& what) {
  return std::system_error(errno, std::generic_category(), what);
}

int BindSocket(const UdpEndpoint& local) {
  const int family = local.address().is_v6() ? AF_INET6 : AF_INET;
  const int fd = ::socket(family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    throw SystemError("The UDP socket can't be opened");
  }
  const int size = kSocketBufferBytes;
  ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
  ::setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
  if (::bind(fd, local.data(), static_cast<socklen_t>(local.size())) != 0) {
    const int error = errno;
    ::close(fd);
    throw std::system_error(
        error, std::generic_category(),
        "The UDP address " + model::ToString({local.address(), local.port()}) +
            " can't be bound; check the settings and that no other process "
            "uses it");
  }
  return fd;
}

}  // namespace

struct UdpSocket::Impl {
  // A datagram that waits for Flush.
  struct Outgoing {
    std::array<uint8_t, kMaxHeader> header;
    UdpEndpoint destination;
    std::array<iovec, 2> parts;
  };

  Impl(size_t batch, size_t max_datagram_bytes)
      : buffers(batch * max_datagram_bytes),
        receive_parts(batch),
        receive_messages(batch),
        senders(batch),
        views(batch),
        outgoing(batch),
        send_messages(batch) {
    for (size_t i = 0; i < batch; ++i) {
      receive_parts[i] = {buffers.data() + i * max_datagram_bytes,
                          max_datagram_bytes};
      receive_messages[i] = {};
      receive_messages[i].msg_hdr.msg_iov = &receive_parts[i];
      receive_messages[i].msg_hdr.msg_iovlen = 1;
      receive_messages[i].msg_hdr.msg_name = senders[i].data();
    }
  }

  int fd = -1;
  std::vector<uint8_t> buffers;
  std::vector<iovec> receive_parts;
  std::vector<mmsghdr> receive_messages;
  std::vector<UdpEndpoint> senders;
  std::vector<std::span<const uint8_t>> views;
  std::vector<Outgoing> outgoing;
  std::vector<mmsghdr> send_messages;
  size_t queued = 0;
  size_t lost = 0;
};

UdpSocket::UdpSocket(const boost::asio::ip::address& address,
                             uint16_t port,
                             size_t batch_size,
                             size_t max_datagram_bytes)
    : m_impl(std::make_unique<Impl>(batch_size, max_datagram_bytes)) {
  m_impl->fd = BindSocket(UdpEndpoint(address, port));
}

UdpSocket::~UdpSocket() {
  ::close(m_impl->fd);
}

int UdpSocket::fd() const {
  return m_impl->fd;
}

model::Endpoint UdpSocket::local_endpoint() const {
  UdpEndpoint local;
  auto size = static_cast<socklen_t>(local.capacity());
  ::getsockname(m_impl->fd, local.data(), &size);
  local.resize(size);
  return {local.address(), local.port()};
}

std::span<const std::span<const uint8_t>> UdpSocket::Receive() {
  Impl& impl = *m_impl;
  for (size_t i = 0; i < impl.senders.size(); ++i) {
    impl.receive_messages[i].msg_hdr.msg_namelen =
        static_cast<socklen_t>(impl.senders[i].capacity());
  }
  const int count =
      ::recvmmsg(impl.fd, impl.receive_messages.data(),
                 static_cast<unsigned>(impl.receive_messages.size()),
                 MSG_DONTWAIT, nullptr);
  if (count <= 0) {
    return {};
  }
  for (int i = 0; i < count; ++i) {
    impl.views[i] = {
        static_cast<const uint8_t*>(impl.receive_parts[i].iov_base),
        impl.receive_messages[i].msg_len};
  }
  return {impl.views.data(), static_cast<size_t>(count)};
}

model::Endpoint UdpSocket::SenderOf(size_t index) const {
  const UdpEndpoint& sender = m_impl->senders[index];
  return {sender.address(), sender.port()};
}

void UdpSocket::Queue(const model::Endpoint& destination,
                          std::span<const uint8_t> header,
                          std::span<const uint8_t> payload) {
  Impl& impl = *m_impl;
  if (impl.queued == impl.outgoing.size()) {
    impl.lost += Flush();
  }
  Impl::Outgoing& item = impl.outgoing[impl.queued];
  std::memcpy(item.header.data(), header.data(), header.size());
  item.destination = UdpEndpoint(destination.address, destination.port);
  item.parts[0] = {item.header.data(), header.size()};
  item.parts[1] = {const_cast<uint8_t*>(payload.data()), payload.size()};
  mmsghdr& message = impl.send_messages[impl.queued];
  message = {};
  message.msg_hdr.msg_name = item.destination.data();
  message.msg_hdr.msg_namelen = static_cast<socklen_t>(item.destination.size());
  message.msg_hdr.msg_iov = item.parts.data();
  message.msg_hdr.msg_iovlen = item.parts.size();
  ++impl.queued;
}

size_t UdpSocket::Flush() {
  Impl& impl = *m_impl;
  size_t lost = std::exchange(impl.lost, 0);
  size_t sent = 0;
  while (sent < impl.queued) {
    const int count =
        ::sendmmsg(impl.fd, impl.send_messages.data() + sent,
                   static_cast<unsigned>(impl.queued - sent), MSG_DONTWAIT);
    if (count > 0) {
      sent += static_cast<size_t>(count);
      continue;
    }
    if (errno == EINTR) {
      continue;
    }
    // The first message of the rest can't be sent: it is lost, others go on.
    ++sent;
    ++lost;
  }
  impl.queued = 0;
  return lost;
}

}  // namespace poplarsail::transport
