// The fake of the store serves what the real one would.
#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <string>
#include <string_view>
#include <thread>

#include "standins/fake_platform_store.h"

namespace poplarsail::standins {
namespace {

using namespace std::chrono_literals;

TEST_CASE("A watch whose time ends as a change is written is answered once") {
  boost::asio::io_context context;
  FakePlatformStore store(
      &context, {boost::asio::ip::make_address("127.25.4.3"), 18'000});
  boost::asio::io_context client_context;
  boost::asio::ip::tcp::socket client(client_context);
  client.connect({store.endpoint().address, store.endpoint().port});
  constexpr std::string_view kWatch =
      "GET /-/objects/servers?watch=1&wait_ms=200 HTTP/1.1\r\nHost: s\r\n\r\n";
  boost::asio::write(client, boost::asio::buffer(kWatch));
  while (store.call_count() == 0) {
    context.run_one();
  }
  context.poll();
  std::this_thread::sleep_for(250ms);
  // Runs after the timer has expired and before its handler.
  boost::asio::post(context, [&store]() { store.Put("servers", "a", {}); });
  context.poll();
  std::string response(4'096, '\0');
  response.resize(client.read_some(boost::asio::buffer(response)));
  CHECK(response.find(R"("name":"a")") != std::string::npos);
  CHECK(response.find("HTTP/1.1", 1) == std::string::npos);
  CHECK(client.available() == 0);
}

}  // namespace
}  // namespace poplarsail::standins
