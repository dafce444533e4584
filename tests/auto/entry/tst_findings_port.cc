#include <catch2/catch.hpp>

#include "entry/findings_port.h"

#include <memory>
#include <vector>

namespace poplarsail::entry {
namespace {

using boost::asio::ip::udp;

model::Ipv4Endpoint FreeEndpoint(boost::asio::io_context* context) {
  const udp::socket socket(*context,
                           {boost::asio::ip::address_v4::loopback(), 0});
  return {socket.local_endpoint().address().to_v4().to_uint(),
          socket.local_endpoint().port()};
}

struct Host {
  explicit Host(boost::asio::io_context* context)
      : endpoint(FreeEndpoint(context)),
        port(context, model::ToEndpoint(endpoint), [this](uint64_t id) {
          taken.push_back(id);
        }) {
    port.Start();
  }

  model::Ipv4Endpoint endpoint;
  std::vector<uint64_t> taken;
  FindingsPort port;
};

TEST_CASE("A contact in another failure domain passes a finding on") {
  boost::asio::io_context context;
  Host finder(&context);
  Host neighbour(&context);
  Host contact(&context);
  Host beyond(&context);
  // Hosts are among their own neighbours as seeds tell them.
  finder.port.set_neighbours({finder.endpoint, neighbour.endpoint});
  finder.port.set_contacts({contact.endpoint});
  contact.port.set_neighbours({contact.endpoint, beyond.endpoint});
  neighbour.port.set_neighbours({finder.endpoint});
  beyond.port.set_neighbours({contact.endpoint});
  finder.port.Tell(7);
  while (neighbour.taken.empty() || contact.taken.empty() ||
         beyond.taken.empty()) {
    REQUIRE(context.run_one() > 0);
  }
  context.poll();
  CHECK(neighbour.taken == std::vector<uint64_t>{7});
  CHECK(contact.taken == std::vector<uint64_t>{7});
  CHECK(beyond.taken == std::vector<uint64_t>{7});
  // Nothing comes back to who found it.
  CHECK(finder.taken.empty());
}

TEST_CASE("Findings are told at a bounded rate") {
  // Load pattern: a failure domain of thousands of upstreams goes dark.
  boost::asio::io_context context;
  Host finder(&context);
  Host neighbour(&context);
  finder.port.set_neighbours({neighbour.endpoint});
  for (uint64_t id = 0; id < 100'000; ++id) {
    finder.port.Tell(id);
    context.poll();
  }
  CHECK(neighbour.taken.size() < 100'000);
}

}  // namespace
}  // namespace poplarsail::entry
