#include <catch2/catch.hpp>

#include "entry/peer_exchange.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>

#include "entry/cluster_state_codec.h"

namespace poplarsail::entry {
namespace {

using cluster_state::ClusterState;
using cluster_state::ObjectKind;

const cluster_state::SteadyTime kNow{std::chrono::seconds(1'000)};

model::Endpoint Loopback(uint16_t port) {
  return {boost::asio::ip::make_address("127.0.0.1"), port};
}

// Returns a free port chosen by the system.
uint16_t FreePort(boost::asio::io_context* context) {
  boost::asio::ip::tcp::acceptor acceptor(
      *context, {boost::asio::ip::make_address("127.0.0.1"), 0});
  return acceptor.local_endpoint().port();
}

// Applies lists of all kinds. Without a `version` the listed configuration has
// no value.
void Complete(ClusterState* cluster_state, std::optional<int64_t> version = 3) {
  std::optional<cluster_state::Configuration> configuration;
  if (version) {
    configuration.emplace();
    configuration->version = *version;
  }
  cluster_state->ApplyList<cluster_state::Configuration>(
      ObjectKind::kConfiguration,
      {ClusterState::ConfigurationEntry{"main", 5, configuration}}, {0, 9},
      kNow);
  cluster_state->ApplyList<cluster_state::UpstreamRecord>(
      ObjectKind::kUpstreams, {}, {0, 9}, kNow);
  cluster_state->ApplyList<cluster_state::Evacuation>(ObjectKind::kEvacuations,
                                                      {}, {0, 9}, kNow);
}

struct Host {
  Host(boost::asio::io_context* context,
       uint16_t port,
       std::vector<model::Endpoint> seeds,
       const std::string& failure_domain = "regina",
       uint32_t cpu_thousandths = 0) {
    PeerExchange::Options options;
    options.own_endpoint = Loopback(port);
    options.failure_domain = failure_domain;
    options.cpu_thousandths = cpu_thousandths;
    options.report_endpoint = Loopback(static_cast<uint16_t>(port ^ 1));
    options.seeds = std::move(seeds);
    options.is_store_unreachable = [this]() { return is_store_unreachable; };
    options.on_change = [this]() { ++changes; };
    options.on_fleet_view = [this](const FleetView& seen) { fleet = seen; };
    exchange = std::make_unique<PeerExchange>(context, &cluster_state,
                                              std::move(options));
    exchange->Start();
  }

  ClusterState cluster_state;
  bool is_store_unreachable = false;
  int changes = 0;
  FleetView fleet;
  std::unique_ptr<PeerExchange> exchange;
};

void RunUntil(boost::asio::io_context* context,
              const std::function<bool()>& condition) {
  while (!condition()) {
    REQUIRE(context->run_one() > 0);
  }
}

TEST_CASE("A host that starts without a store gets the state from a seed") {
  boost::asio::io_context context;
  const uint16_t seed_port = FreePort(&context);
  const uint16_t stale_port = FreePort(&context);
  Host seed(&context, seed_port, {});
  Complete(&seed.cluster_state);
  Host host(&context, FreePort(&context),
            {Loopback(stale_port), Loopback(seed_port)});
  host.is_store_unreachable = true;
  RunUntil(&context, [&]() { return host.cluster_state.IsComplete(); });
  CHECK(host.changes == 1);
  CHECK(seed.changes == 0);
}

TEST_CASE("A restarted seed gets the state from a host that queries it") {
  boost::asio::io_context context;
  const uint16_t seed_port = FreePort(&context);
  Host seed(&context, seed_port, {});
  Host host(&context, FreePort(&context), {Loopback(seed_port)});
  Complete(&host.cluster_state);
  RunUntil(&context, [&]() { return seed.cluster_state.IsComplete(); });
  CHECK(seed.cluster_state.configuration()->version == 3);
}

TEST_CASE("A seed responds with the number of hosts and the local peers") {
  boost::asio::io_context context;
  const uint16_t seed_port = FreePort(&context);
  Host seed(&context, seed_port, {});
  Complete(&seed.cluster_state);
  Host first(&context, FreePort(&context), {Loopback(seed_port)});
  RunUntil(&context, [&]() { return first.fleet.host_count == 2; });
  Host second(&context, FreePort(&context), {Loopback(seed_port)});
  RunUntil(&context, [&]() { return second.fleet.host_count == 3; });
  CHECK(second.fleet.local_peers.size() == 3);
}

// All hosts must rank schedulers by the same capacities.
TEST_CASE("A seed responds with the capacities of the local peers") {
  boost::asio::io_context context;
  const uint16_t seed_port = FreePort(&context);
  Host seed(&context, seed_port, {}, "regina", 1'000);
  Complete(&seed.cluster_state);
  const uint16_t host_port = FreePort(&context);
  Host host(&context, host_port, {Loopback(seed_port)}, "regina", 350);
  RunUntil(&context, [&]() { return host.fleet.host_count == 2; });
  REQUIRE(host.fleet.local_peers.size() == 2);
  CHECK(host.fleet.local_peers[0].port == (host_port ^ 1));
  CHECK(host.fleet.local_capacities == std::vector<uint32_t>{350, 1'000});
}

TEST_CASE("A seed responds with a few hosts of each other failure domain") {
  boost::asio::io_context context;
  const uint16_t seed_port = FreePort(&context);
  Host seed(&context, seed_port, {});
  Complete(&seed.cluster_state);
  std::vector<std::unique_ptr<Host>> hosts;
  for (const char* domain : {"brandon", "brandon", "brandon", "saskatoon"}) {
    hosts.push_back(std::make_unique<Host>(
        &context, FreePort(&context),
        std::vector<model::Endpoint>{Loopback(seed_port)}, domain));
    RunUntil(&context, [&]() { return hosts.back()->fleet.host_count > 0; });
  }
  // The seed itself and kRemotePeersPerDomain of the three hosts in brandon.
  CHECK(hosts.back()->fleet.remote_peers.size() == 1 + kRemotePeersPerDomain);
  CHECK(hosts.back()->fleet.local_peers.size() == 1);
}

TEST_CASE("A host without its store gets a newer configuration from a peer") {
  boost::asio::io_context context;
  const uint16_t seed_port = FreePort(&context);
  Host seed(&context, seed_port, {});
  Complete(&seed.cluster_state);
  Host host(&context, FreePort(&context), {Loopback(seed_port)});
  Complete(&host.cluster_state);
  host.is_store_unreachable = true;
  cluster_state::Configuration newer;
  newer.version = 4;
  seed.cluster_state.Apply(ClusterState::ConfigurationEntry{"main", 12, newer},
                           kNow);
  seed.cluster_state.MarkListed(ObjectKind::kConfiguration, {0, 12});
  RunUntil(&context,
           [&]() { return host.cluster_state.configuration()->version == 4; });
}

// A store that was restored from a copy lists an older configuration until the
// operators write theirs again.
TEST_CASE("A host that lists an older configuration gets the one in force") {
  using namespace std::chrono_literals;
  boost::asio::io_context context;
  const uint16_t seed_port = FreePort(&context);
  Host seed(&context, seed_port, {});
  std::unique_ptr<Host> host;
  const auto start = std::chrono::steady_clock::now();
  SECTION("from a seed") {
    Complete(&seed.cluster_state, 4);
    host = std::make_unique<Host>(&context, FreePort(&context),
                                  std::vector{Loopback(seed_port)});
    RunUntil(&context, [&]() { return host->fleet.host_count > 0; });
    Complete(&host->cluster_state);
    RunUntil(&context, [&]() {
      return host->cluster_state.configuration()->version == 4;
    });
  }
  SECTION("from a host that queries it") {
    Complete(&seed.cluster_state);
    // By then the seed has completed its first queries.
    boost::asio::steady_timer timer(context, 400ms);
    bool is_over = false;
    timer.async_wait([&](const auto&) { is_over = true; });
    RunUntil(&context, [&]() { return is_over; });
    host = std::make_unique<Host>(&context, FreePort(&context),
                                  std::vector{Loopback(seed_port)});
    Complete(&host->cluster_state, 4);
    RunUntil(&context, [&]() {
      return seed.cluster_state.configuration()->version == 4;
    });
  }
  SECTION("from a seed that got it after the host's start") {
    Complete(&seed.cluster_state);
    host = std::make_unique<Host>(&context, FreePort(&context),
                                  std::vector{Loopback(seed_port)});
    Complete(&host->cluster_state);
    RunUntil(&context, [&]() { return host->fleet.host_count > 0; });
    cluster_state::Configuration newer;
    newer.version = 4;
    seed.cluster_state.UseConfiguration(newer);
    RunUntil(&context, [&]() {
      return host->cluster_state.configuration()->version == 4;
    });
  }
  // The bound on configuration changes of the smallest deployments is 3 s.
  CHECK(std::chrono::steady_clock::now() - start < 2s);
}

TEST_CASE("A host whose store has an invalid configuration asks its peers") {
  boost::asio::io_context context;
  const uint16_t seed_port = FreePort(&context);
  Host seed(&context, seed_port, {});
  Complete(&seed.cluster_state);
  Host host(&context, FreePort(&context), {Loopback(seed_port)});
  // What cannot be decoded counts as removed.
  Complete(&host.cluster_state, std::nullopt);
  REQUIRE_FALSE(host.cluster_state.IsComplete());
  const auto start = std::chrono::steady_clock::now();
  RunUntil(&context, [&]() {
    return host.cluster_state.IsComplete() ||
           std::chrono::steady_clock::now() - start > std::chrono::seconds(2);
  });
  REQUIRE(host.cluster_state.IsComplete());
  CHECK(host.cluster_state.configuration()->version == 3);
}

TEST_CASE("Full states are sent at a limited rate") {
  // When 300 hosts start, each requests 450 KB (sweep-300).
  SendRateLimiter limiter(1'000'000);
  size_t sent = 0;
  for (int i = 0; i < 300; ++i) {
    sent += limiter.TryConsume(450'000, kNow) ? 1 : 0;
  }
  CHECK(sent == 3);
  CHECK_FALSE(limiter.TryConsume(1, kNow + std::chrono::milliseconds(300)));
  CHECK(limiter.TryConsume(1, kNow + std::chrono::milliseconds(400)));
  // A message of any size is sent once the burst limit is available again.
  CHECK(limiter.TryConsume(50'000'000, kNow + std::chrono::seconds(10)));
  CHECK_FALSE(limiter.TryConsume(1, kNow + std::chrono::seconds(58)));
}

TEST_CASE("Hosts that start without a store all get the state from one seed") {
  boost::asio::io_context context;
  const uint16_t seed_port = FreePort(&context);
  Host seed(&context, seed_port, {});
  Complete(&seed.cluster_state);
  std::vector<std::unique_ptr<Host>> hosts;
  for (int i = 0; i < 10; ++i) {
    hosts.push_back(std::make_unique<Host>(
        &context, FreePort(&context),
        std::vector<model::Endpoint>{Loopback(seed_port)}));
    hosts.back()->is_store_unreachable = true;
  }
  RunUntil(&context, [&]() {
    return std::all_of(hosts.begin(), hosts.end(), [](const auto& host) {
      return host->cluster_state.IsComplete();
    });
  });
  // Each host gets one full state, however often it queries meanwhile.
  CHECK(seed.exchange->counts().full_states_sent == hosts.size());
}

TEST_CASE("A peer that states a huge fleet does not end the exchange") {
  boost::asio::io_context context;
  const uint16_t peer_port = FreePort(&context);
  HttpServer peer(&context, {"test", Loopback(peer_port)});
  int queries = 0;
  peer.AddHandler("/belief", [&queries](const HttpQuery&) {
    ++queries;
    FleetView fleet;
    fleet.host_count = 4'000'000'000;
    return HttpResponse{200, EncodeClusterState(nullptr, {}, fleet, kNow)};
  });
  peer.Start();
  Host host(&context, FreePort(&context), {Loopback(peer_port)});
  Complete(&host.cluster_state);
  const auto deadline =
      std::chrono::steady_clock::now() + std::chrono::seconds(4);
  // The interval between queries grows with the number of hosts.
  while (host.fleet.host_count == 0 &&
         std::chrono::steady_clock::now() < deadline) {
    context.run_one_for(std::chrono::milliseconds(10));
  }
  CHECK(queries == 1);
  CHECK(host.fleet.host_count == kMaxKnownPeers + 1);
}

}  // namespace
}  // namespace poplarsail::entry
