#include <catch2/catch.hpp>

#include "entry/failure_report_channel.h"

#include <boost/asio/ip/udp.hpp>
#include <memory>
#include <vector>

#include "free_endpoint.h"

namespace poplarsail::entry {
namespace {

using boost::asio::ip::udp;

struct Host {
  explicit Host(boost::asio::io_context* context)
      : endpoint(FreeEndpoint(context)),
        socket(context, model::ToEndpoint(endpoint)),
        channel(&socket, [this](uint64_t id) { received.push_back(id); }) {
    socket.Start();
  }

  model::Ipv4Endpoint endpoint;
  std::vector<uint64_t> received;
  PeerSocket socket;
  FailureReportChannel channel;
};

TEST_CASE("A remote peer relays a failure report in its failure domain") {
  boost::asio::io_context context;
  Host reporter(&context);
  Host peer(&context);
  Host remote_peer(&context);
  Host relayed_peer(&context);
  // The local peers that seeds send include the host itself.
  reporter.channel.set_local_peers({reporter.endpoint, peer.endpoint});
  reporter.channel.set_remote_peers({remote_peer.endpoint});
  remote_peer.channel.set_local_peers(
      {remote_peer.endpoint, relayed_peer.endpoint});
  peer.channel.set_local_peers({reporter.endpoint});
  relayed_peer.channel.set_local_peers({remote_peer.endpoint});
  reporter.channel.Broadcast(7);
  while (peer.received.empty() || remote_peer.received.empty() ||
         relayed_peer.received.empty()) {
    REQUIRE(context.run_one() > 0);
  }
  context.poll();
  CHECK(peer.received == std::vector<uint64_t>{7});
  CHECK(remote_peer.received == std::vector<uint64_t>{7});
  CHECK(relayed_peer.received == std::vector<uint64_t>{7});
  // The report does not return to its sender.
  CHECK(reporter.received.empty());
}

TEST_CASE("Failure reports are sent at a limited rate") {
  // Without a limit, the failure of a domain with thousands of upstreams would
  // cause a burst of reports.
  boost::asio::io_context context;
  Host reporter(&context);
  Host peer(&context);
  reporter.channel.set_local_peers({peer.endpoint});
  for (uint64_t id = 0; id < 100'000; ++id) {
    reporter.channel.Broadcast(id);
    context.poll();
  }
  CHECK(peer.received.size() < 100'000);
}

// Hosts of earlier releases exchange reports with this one during an upgrade.
TEST_CASE("Failure reports keep their bytes") {
  boost::asio::io_context context;
  Host host(&context);
  udp::socket earlier(context, {boost::asio::ip::address_v4::loopback(), 0});
  host.channel.set_local_peers(
      {{earlier.local_endpoint().address().to_v4().to_uint(),
        earlier.local_endpoint().port()}});
  host.channel.Broadcast(7);
  std::array<uint8_t, 64> buffer{};
  const size_t size = earlier.receive(boost::asio::buffer(buffer));
  const std::vector<uint8_t> message(buffer.begin(), buffer.begin() + size);
  CHECK(message == std::vector<uint8_t>{0x93, 1, 7, 0xc2});
}

// A message that no handler knows must not stop the ones after it.
TEST_CASE("Messages of unknown versions are dropped and counted") {
  boost::asio::io_context context;
  Host host(&context);
  PeerSocket sender(&context, {boost::asio::ip::address_v4::loopback(), 0});
  const std::vector<std::vector<uint8_t>> unknown = {
      {0x93, 3, 7, 0xc2}, {0x90}, {0x93}, {0x93, 0xcc, 1, 7}, {0xdc, 0}, {1}};
  for (const std::vector<uint8_t>& datagram : unknown) {
    sender.Send(host.endpoint, datagram);
  }
  sender.Send(host.endpoint, std::vector<uint8_t>{0x93, 1, 8, 0xc2});
  while (host.received.empty()) {
    REQUIRE(context.run_one() > 0);
  }
  CHECK(host.received == std::vector<uint64_t>{8});
  CHECK(host.socket.unknown_messages() == unknown.size());
}

}  // namespace
}  // namespace poplarsail::entry
