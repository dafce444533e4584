#include <catch2/catch.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <stdexcept>
#include <string>

#include "entry/http_server.h"
#include "entry/peer_exchange.h"
#include "entry/peer_socket.h"

namespace poplarsail::entry {
namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

const boost::asio::ip::address kAddress =
    boost::asio::ip::make_address("127.24.9.2");
constexpr auto kTimeout = 5s;

uint16_t FreePort(boost::asio::io_context* context) {
  const tcp::acceptor acceptor(*context, {kAddress, 0});
  return acceptor.local_endpoint().port();
}

// Runs handlers until the condition holds or the time is over. Returns whether
// it holds.
bool RunUntil(boost::asio::io_context* context,
              const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + kTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= deadline) {
      return false;
    }
    context->run_one_for(10ms);
  }
  return true;
}

// Sends a request and returns the start of the response.
std::string Get(boost::asio::io_context* context, tcp::socket* socket) {
  boost::asio::write(*socket,
                     boost::asio::buffer(std::string_view(
                         "GET /path HTTP/1.1\r\nHost: entry\r\n\r\n")));
  socket->non_blocking(true);
  std::string response(64, '\0');
  size_t size = 0;
  RunUntil(context, [&]() {
    boost::system::error_code error;
    size = socket->read_some(boost::asio::buffer(response), error);
    return size > 0;
  });
  return response.substr(0, size);
}

TEST_CASE("A handler of requests that throws ends neither server nor daemon") {
  boost::asio::io_context context;
  const uint16_t port = FreePort(&context);
  HttpServer server(&context, {"test", {kAddress, port}});
  int calls = 0;
  server.AddHandler("/path", [&calls](const HttpQuery&) {
    if (++calls == 1) {
      throw std::runtime_error("handler failed");
    }
    return HttpResponse{200, ""};
  });
  server.Start();
  tcp::socket socket(context);
  socket.connect({kAddress, port});
  CHECK_THAT(Get(&context, &socket), Catch::StartsWith("HTTP/1.1 500"));
  CHECK_THAT(Get(&context, &socket), Catch::StartsWith("HTTP/1.1 200"));
}

TEST_CASE("A handler of messages that throws does not end the peer socket") {
  boost::asio::io_context context;
  PeerSocket socket(&context, {kAddress, 0});
  int calls = 0;
  socket.SetHandler(
      3, [&calls](const model::Ipv4Endpoint&, std::span<const uint8_t>) {
        if (++calls == 1) {
          throw std::out_of_range("handler failed");
        }
      });
  socket.Start();
  const std::string message = "\x91\x03";
  const auto send = [&]() {
    boost::asio::ip::udp::socket sender(context, boost::asio::ip::udp::v4());
    sender.send_to(
        boost::asio::buffer(message),
        boost::asio::ip::udp::endpoint(kAddress, socket.own_endpoint().port));
  };
  send();
  send();
  CHECK(RunUntil(&context, [&]() { return calls >= 2; }));
  send();
  CHECK(RunUntil(&context, [&]() { return calls >= 3; }));
}

TEST_CASE("An exchange with peers that throws starts anew") {
  boost::asio::io_context context;
  cluster_state::ClusterState cluster_state;
  tcp::acceptor peer(context, {kAddress, 0});
  PeerExchange::Options options;
  options.own_endpoint = {kAddress, FreePort(&context)};
  options.failure_domain = "regina";
  options.report_endpoint = {kAddress, 9};
  options.seeds = {{kAddress, peer.local_endpoint().port()}};
  int checks = 0;
  options.is_store_unreachable = [&checks]() -> bool {
    if (++checks == 1) {
      throw std::runtime_error("callback failed");
    }
    return true;
  };
  options.on_change = []() {};
  options.on_fleet_view = [](const FleetView&) {};
  // The interval between queries depends on the store only with a state.
  const auto now = std::chrono::steady_clock::now();
  cluster_state::Configuration configuration;
  configuration.version = 1;
  cluster_state.ApplyList<cluster_state::Configuration>(
      cluster_state::ObjectKind::kConfiguration,
      {cluster_state::ClusterState::ConfigurationEntry{"main", 1,
                                                       configuration}},
      {0, 1}, now);
  cluster_state.ApplyList<cluster_state::UpstreamRecord>(
      cluster_state::ObjectKind::kUpstreams, {}, {0, 1}, now);
  cluster_state.ApplyList<cluster_state::Evacuation>(
      cluster_state::ObjectKind::kEvacuations, {}, {0, 1}, now);
  PeerExchange exchange(&context, &cluster_state, std::move(options));
  exchange.Start();
  CHECK(RunUntil(&context, [&]() { return exchange.counts().queries >= 3; }));
  CHECK(checks >= 2);
}

}  // namespace
}  // namespace poplarsail::entry
