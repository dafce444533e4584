#include <catch2/catch.hpp>

#include "entry/peer_probes.h"

#include <functional>
#include <utility>
#include <vector>

#include "free_endpoint.h"

namespace poplarsail::entry {
namespace {

// An entry host whose probes end when the test says so.
struct Host : PeerProbes::Delegate {
  explicit Host(boost::asio::io_context* context)
      : endpoint(FreeEndpoint(context)),
        socket(context, model::ToEndpoint(endpoint)),
        probes(&socket, this) {
    socket.Start();
  }

  void ProbeUpstream(uint64_t upstream_id,
                     std::function<void(bool)> done) override {
    probed.push_back(upstream_id);
    pending.push_back(std::move(done));
  }
  void OnConnectedElsewhere(uint64_t upstream_id) override {
    connected_elsewhere.push_back(upstream_id);
  }

  model::Ipv4Endpoint endpoint;
  std::vector<uint64_t> probed;
  std::vector<std::function<void(bool)>> pending;
  std::vector<uint64_t> connected_elsewhere;
  PeerSocket socket;
  PeerProbes probes;
};

void RunUntil(boost::asio::io_context* context,
              const std::function<bool()>& is_done) {
  while (!is_done()) {
    REQUIRE(context->run_one() > 0);
  }
  context->poll();
}

TEST_CASE("A peer that is connected to an upstream says so") {
  boost::asio::io_context context;
  Host asker(&context);
  Host peer(&context);
  asker.probes.SetPeers({asker.endpoint, peer.endpoint}, {});
  asker.probes.Ask(7);
  RunUntil(&context, [&]() { return !peer.probed.empty(); });
  // The host itself is among its local peers and is not asked.
  CHECK(asker.probed.empty());
  SECTION("if it is connected") {
    peer.pending.front()(true);
    RunUntil(&context, [&]() { return !asker.connected_elsewhere.empty(); });
    CHECK(asker.connected_elsewhere == std::vector<uint64_t>{7});
  }
  SECTION("else it is silent, and probes again when asked again") {
    peer.pending.front()(false);
    asker.probes.Ask(7);
    RunUntil(&context, [&]() { return peer.probed.size() == 2; });
    CHECK(asker.connected_elsewhere.empty());
  }
}

TEST_CASE("Hosts that ask during a probe share its result") {
  boost::asio::io_context context;
  Host first(&context);
  Host second(&context);
  Host peer(&context);
  first.probes.SetPeers({peer.endpoint}, {});
  second.probes.SetPeers({peer.endpoint}, {});
  first.probes.Ask(7);
  RunUntil(&context, [&]() { return !peer.probed.empty(); });
  second.probes.Ask(7);
  // A question of another upstream shows that the one before has arrived.
  second.probes.Ask(8);
  RunUntil(&context, [&]() { return peer.probed.size() == 2; });
  CHECK(peer.probed == std::vector<uint64_t>{7, 8});
  peer.pending.front()(true);
  RunUntil(&context, [&]() {
    return !first.connected_elsewhere.empty() &&
           !second.connected_elsewhere.empty();
  });
}

TEST_CASE("Answers count only if they come from a peer") {
  boost::asio::io_context context;
  Host asker(&context);
  Host peer(&context);
  Host stranger(&context);
  asker.probes.SetPeers({}, {peer.endpoint});
  const std::vector<uint8_t> answer = {0x93, 3, 2, 7};
  stranger.socket.Send(asker.endpoint, answer);
  peer.socket.Send(asker.endpoint, std::vector<uint8_t>{0x93, 3, 2, 8});
  RunUntil(&context, [&]() { return !asker.connected_elsewhere.empty(); });
  CHECK(asker.connected_elsewhere == std::vector<uint64_t>{8});
}

TEST_CASE("Malformed probe messages are ignored") {
  boost::asio::io_context context;
  Host host(&context);
  Host peer(&context);
  host.probes.SetPeers({peer.endpoint}, {});
  const std::vector<std::vector<uint8_t>> malformed = {
      {0x91, 3},
      {0x93, 3, 1},
      {0x93, 3, 0xa1, 'x', 7},
      {0x92, 3, 1},
      {0x93, 3, 9, 7},
      {0x93, 3, 1, 0xff},
      {0x93, 3, 2, 0xcb, 0, 0, 0, 0, 0, 0, 0, 0}};
  for (const std::vector<uint8_t>& datagram : malformed) {
    peer.socket.Send(host.endpoint, datagram);
  }
  peer.socket.Send(host.endpoint, std::vector<uint8_t>{0x93, 3, 1, 5});
  RunUntil(&context, [&]() { return !host.probed.empty(); });
  CHECK(host.probed == std::vector<uint64_t>{5});
  CHECK(host.connected_elsewhere.empty());
}

TEST_CASE("Few peers are asked, local ones first") {
  boost::asio::io_context context;
  Host asker(&context);
  Host local(&context);
  Host remote(&context);
  std::vector<model::Ipv4Endpoint> many(kProbingPeers + 2, local.endpoint);
  asker.probes.SetPeers(many, {remote.endpoint});
  asker.probes.Ask(7);
  asker.probes.SetPeers({}, {remote.endpoint});
  asker.probes.Ask(8);
  RunUntil(&context,
           [&]() { return !remote.probed.empty() && !local.probed.empty(); });
  CHECK(remote.probed == std::vector<uint64_t>{8});
  CHECK(local.probed == std::vector<uint64_t>{7});
}

}  // namespace
}  // namespace poplarsail::entry
