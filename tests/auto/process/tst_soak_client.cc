// The soak's client keeps to the packet protocol.
#include <catch2/catch.hpp>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <chrono>
#include <optional>
#include <thread>
#include <utility>

#include "soak/client.h"
#include "soak/wire.h"

namespace poplarsail::soak {
namespace {

using namespace std::chrono_literals;
using boost::asio::ip::udp;

struct ClientFixture {
  ClientFixture()
      : daemon(
            daemon_context,
            udp::endpoint(boost::asio::ip::make_address("127.25.1.9"), kPort)) {
    ClientHooks hooks;
    hooks.pick_daemon = [](const FlowId&) {
      return model::Endpoint{boost::asio::ip::make_address("127.25.1.9"),
                             kPort};
    };
    hooks.pick_listener = []() {
      return std::make_pair(*model::ParseIpv4Endpoint("198.18.0.1:443"),
                            std::string("tally"));
    };
    client.emplace(&context, "127.25.2.9", kPort, 1, std::move(hooks),
                   &violations);
    client->Start(1);
  }

  Packet Receive() {
    std::array<uint8_t, 2'048> buffer{};
    const size_t size = daemon.receive(boost::asio::buffer(buffer));
    return *Decode(std::span<const uint8_t>(buffer.data(), size));
  }

  void Reply(const Packet& to, Packet packet) {
    packet.source = to.destination;
    packet.destination = to.source;
    const std::vector<uint8_t> bytes = Encode(packet);
    daemon.send_to(
        boost::asio::buffer(bytes),
        udp::endpoint(boost::asio::ip::make_address("127.25.2.9"), kPort));
  }

  static constexpr uint16_t kPort = 18'172;
  boost::asio::io_context context;
  boost::asio::io_context daemon_context;
  udp::socket daemon;
  Violations violations;
  std::optional<Client> client;
};

TEST_CASE_METHOD(ClientFixture,
                 "A request that is answered as its timer expires is not sent "
                 "again under the next sequence number") {
  const Packet syn = Receive();
  Packet handshake;
  handshake.syn = true;
  handshake.ack = true;
  handshake.sequence = 100;
  Reply(syn, handshake);
  context.run_for(50ms);
  const Packet request = Receive();
  REQUIRE(request.data.starts_with("REQ "));
  constexpr auto kRetransmitTimeout = 200ms;
  std::this_thread::sleep_for(kRetransmitTimeout);
  Packet response;
  response.ack = true;
  response.sequence = 101;
  response.data =
      "ANS " + request.data.substr(4, request.data.find(' ', 4) - 4);
  Reply(request, response);
  context.poll();
  CHECK(Receive().data.empty());
  CHECK(daemon.available() == 0);
}

}  // namespace
}  // namespace poplarsail::soak
