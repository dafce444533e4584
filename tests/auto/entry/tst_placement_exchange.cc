#include <catch2/catch.hpp>

#include "entry/placement_exchange.h"

#include <functional>
#include <utility>
#include <vector>

#include "free_endpoint.h"

namespace poplarsail::entry {
namespace {

using Placement = std::pair<flows::FlowKey, uint64_t>;

constexpr flows::FlowKey kKey{{0x64400007, 40'001}, {0xc6120001, 443}};

struct Host {
  explicit Host(boost::asio::io_context* context)
      : endpoint(FreeEndpoint(context)),
        socket(context, model::ToEndpoint(endpoint)),
        exchange(&socket, [this](const flows::FlowKey& key, uint64_t id) {
          received.emplace_back(key, id);
        }) {
    socket.Start();
  }

  model::Ipv4Endpoint endpoint;
  std::vector<Placement> received;
  PeerSocket socket;
  PlacementExchange exchange;
};

void RunUntil(boost::asio::io_context* context,
              const std::function<bool()>& is_done) {
  while (!is_done()) {
    REQUIRE(context->run_one() > 0);
  }
  context->poll();
}

TEST_CASE("Peers learn where a flow was placed") {
  boost::asio::io_context context;
  Host sender(&context);
  Host peer(&context);
  sender.exchange.set_peers({sender.endpoint, peer.endpoint});
  peer.exchange.set_peers({sender.endpoint});
  sender.exchange.Broadcast(kKey, 0xffffffffffffffff);
  RunUntil(&context, [&]() { return !peer.received.empty(); });
  CHECK(peer.received == std::vector<Placement>{{kKey, 0xffffffffffffffff}});
  CHECK(sender.received.empty());
}

TEST_CASE("Malformed messages and those of strangers are ignored") {
  boost::asio::io_context context;
  Host host(&context);
  Host peer(&context);
  Host stranger(&context);
  host.exchange.set_peers({peer.endpoint});
  stranger.exchange.set_peers({host.endpoint});
  stranger.exchange.Broadcast(kKey, 1);
  // Too short, a text for an address, a port out of range.
  for (const std::vector<uint8_t>& message : std::vector<std::vector<uint8_t>>{
           {0x92, 5, 1},
           {0x96, 5, 0xa1, 'x', 1, 1, 1, 1},
           {0x96, 5, 1, 0xce, 0, 1, 0, 0, 1, 1, 1}}) {
    peer.socket.Send(host.endpoint, message);
  }
  peer.exchange.set_peers({host.endpoint});
  peer.exchange.Broadcast(kKey, 9);
  RunUntil(&context, [&]() { return !host.received.empty(); });
  CHECK(host.received == std::vector<Placement>{{kKey, 9}});
}

}  // namespace
}  // namespace poplarsail::entry
