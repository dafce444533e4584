#include <catch2/catch.hpp>

#include "entry/overdue_exchange.h"

#include <functional>
#include <vector>

#include "free_endpoint.h"

namespace poplarsail::entry {
namespace {

using flows::OverdueCount;

struct Host {
  explicit Host(boost::asio::io_context* context)
      : endpoint(FreeEndpoint(context)),
        socket(context, model::ToEndpoint(endpoint)),
        exchange(&socket, [this](const std::vector<OverdueCount>& counts) {
          received.push_back(counts);
        }) {
    socket.Start();
  }

  model::Ipv4Endpoint endpoint;
  std::vector<std::vector<OverdueCount>> received;
  PeerSocket socket;
  OverdueExchange exchange;
};

void RunUntil(boost::asio::io_context* context,
              const std::function<bool()>& is_done) {
  while (!is_done()) {
    REQUIRE(context->run_one() > 0);
  }
  context->poll();
}

TEST_CASE("Peers receive overdue requests") {
  boost::asio::io_context context;
  Host sender(&context);
  Host peer(&context);
  sender.exchange.set_peers({sender.endpoint, peer.endpoint});
  peer.exchange.set_peers({sender.endpoint});
  sender.exchange.Broadcast({});
  const std::vector<OverdueCount> counts = {{7, 2}, {0xffffffffffffffff, 1}};
  sender.exchange.Broadcast(counts);
  RunUntil(&context, [&]() { return !peer.received.empty(); });
  CHECK(peer.received == std::vector<std::vector<OverdueCount>>{counts});
  CHECK(sender.received.empty());
}

TEST_CASE("Malformed and exaggerated messages do no harm") {
  boost::asio::io_context context;
  Host host(&context);
  Host peer(&context);
  Host stranger(&context);
  host.exchange.set_peers({peer.endpoint});
  stranger.socket.Send(host.endpoint,
                       std::vector<uint8_t>{0x92, 4, 0x91, 0x92, 9, 3});
  const std::vector<std::vector<uint8_t>> malformed = {
      {0x91, 4}, {0x92, 4, 7}, {0x92, 4, 0x91}, {0x92, 4, 0xc1}};
  for (const std::vector<uint8_t>& datagram : malformed) {
    peer.socket.Send(host.endpoint, datagram);
  }
  // Of three entries one is usable, whose count is 65,535.
  peer.socket.Send(host.endpoint,
                   std::vector<uint8_t>{0x92, 4, 0x93, 0x92, 8, 0xa1, 'x', 0x91,
                                        8, 0x92, 5, 0xcd, 0xff, 0xff});
  RunUntil(&context, [&]() { return !host.received.empty(); });
  REQUIRE(host.received.size() == 1);
  CHECK(host.received.front() ==
        std::vector<OverdueCount>{{5, kMaxOverdueRequests}});
}

TEST_CASE("A message stays within the size of a datagram") {
  boost::asio::io_context context;
  Host sender(&context);
  Host peer(&context);
  sender.exchange.set_peers({peer.endpoint});
  peer.exchange.set_peers({sender.endpoint});
  std::vector<OverdueCount> counts;
  for (uint64_t i = 0; i < 1'000; ++i) {
    counts.push_back({0xffffffff00000000 + i, 1});
  }
  sender.exchange.Broadcast(counts);
  RunUntil(&context, [&]() { return !peer.received.empty(); });
  CHECK(peer.received.front().size() == kMaxOverdueUpstreams);
}

}  // namespace
}  // namespace poplarsail::entry
