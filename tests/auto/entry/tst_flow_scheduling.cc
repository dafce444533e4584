#include <catch2/catch.hpp>

#include "entry/flow_scheduling.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace poplarsail::entry {
namespace {

using namespace std::chrono_literals;
using cluster_state::ClusterState;
using model::Ipv4Endpoint;

constexpr Ipv4Endpoint kAlerts{0xc6120001, 8443};
constexpr Ipv4Endpoint kReports{0xc6120001, 8444};
constexpr const char* kService = "tally";

struct Upstream {
  uint64_t id = 0;
  std::string failure_domain = "regina";
  uint32_t slots = 2;
};

cluster_state::Configuration MakeConfiguration() {
  cluster_state::Configuration configuration;
  configuration.version = 1;
  configuration.listeners = {
      {"alerts", kAlerts, {{kService, 1}}, 0, 2'000ms, 4'000ms},
      {"reports", kReports, {{kService, 1}}, 1, 2'000ms, 4'000ms}};
  configuration.services = {{kService, 0, "/health"}};
  return configuration;
}

ClusterState MakeClusterState(
    const std::vector<Upstream>& upstreams,
    const cluster_state::Configuration& configuration = MakeConfiguration()) {
  ClusterState state;
  const auto now = std::chrono::steady_clock::now();
  state.Apply(ClusterState::ConfigurationEntry{"main", 1, configuration}, now);
  for (const Upstream& upstream : upstreams) {
    cluster_state::UpstreamRecord record;
    record.id = upstream.id;
    record.service = kService;
    record.endpoint = {0x0a000000 + static_cast<uint32_t>(upstream.id), 80};
    record.failure_domain = upstream.failure_domain;
    record.started_unix_ms = 1'700'000'000'000;
    record.slots = upstream.slots;
    state.Apply(ClusterState::UpstreamEntry{std::to_string(upstream.id),
                                            upstream.id, record},
                now);
  }
  return state;
}

struct Host : FlowScheduling::Delegate {
  Host(boost::asio::io_context* context,
       uint32_t number,
       uint32_t capacity_class,
       const std::string& failure_domain = "regina")
      : socket(context, {boost::asio::ip::address_v4(0x7f000000 + number), 0}),
        candidate{socket.own_endpoint(), capacity_class},
        scheduling(std::make_unique<FlowScheduling>(
            context,
            &socket,
            this,
            FlowScheduling::Options{candidate, failure_domain, true})) {
    socket.Start();
  }

  FlowScheduling::PlaceResult PlaceFlow(uint32_t token,
                                        uint64_t upstream_id) override {
    if (unusable.contains(upstream_id)) {
      return FlowScheduling::PlaceResult::kUnusableUpstream;
    }
    placed[token] = upstream_id;
    return FlowScheduling::PlaceResult::kPlaced;
  }
  void PlaceFlowLocally(uint32_t token) override { local.insert(token); }
  void RefuseFlow(uint32_t token, scheduling::RefusalReason) override {
    refused.insert(token);
  }

  uint32_t Request(const Ipv4Endpoint& listener = kReports) {
    scheduling::PlacementRequest request;
    request.listener = listener;
    request.client_address = 0xc0a80001;
    request.first_syn = std::chrono::steady_clock::now();
    return scheduling->Request(kService, request);
  }
  bool IsDecided(uint32_t token) const {
    return placed.contains(token) || local.contains(token) ||
           refused.contains(token);
  }

  PeerSocket socket;
  scheduling::Candidate candidate;
  std::map<uint32_t, uint64_t> placed;
  std::set<uint32_t> local;
  std::set<uint32_t> refused;
  std::set<uint64_t> unusable;
  std::unique_ptr<FlowScheduling> scheduling;
};

void Connect(const std::vector<Host*>& hosts, const ClusterState& state) {
  std::vector<scheduling::Candidate> candidates;
  for (const Host* host : hosts) {
    candidates.push_back(host->candidate);
  }
  for (Host* host : hosts) {
    host->scheduling->SetLocalCandidates(candidates);
    host->scheduling->Update(state);
  }
}

// Returns whether the condition came true in time.
bool RunUntil(boost::asio::io_context* context,
              std::chrono::milliseconds limit,
              const std::function<bool()>& condition) {
  boost::asio::steady_timer timer(*context, limit);
  bool is_over = false;
  timer.async_wait([&](const auto& error) { is_over = !error; });
  while (!condition() && !is_over) {
    context->run_one();
  }
  const bool is_met = condition();
  timer.cancel();
  context->poll();
  return is_met;
}

void RunFor(boost::asio::io_context* context, std::chrono::milliseconds time) {
  RunUntil(context, time, []() { return false; });
}

TEST_CASE("A flow is placed by the scheduler on another host") {
  boost::asio::io_context context;
  Host scheduler(&context, 1, 10);
  Host host(&context, 2, 1);
  Connect({&scheduler, &host}, MakeClusterState({{1}}));
  const uint32_t token = host.Request();
  REQUIRE(RunUntil(&context, 200ms, [&] { return host.IsDecided(token); }));
  CHECK(host.placed[token] == 1);
  const auto figures = scheduler.scheduling->figures();
  REQUIRE(figures.schedulers.size() == 1);
  CHECK(figures.schedulers[0].outstanding == 1);
  CHECK(host.scheduling->figures().schedulers.empty());
  // Completions free the place.
  host.scheduling->OnCompleted({token, 1});
  CHECK(RunUntil(&context, 100ms, [&] {
    return scheduler.scheduling->figures().schedulers[0].outstanding == 0;
  }));
}

TEST_CASE("A host answers its own requests without a datagram") {
  boost::asio::io_context context;
  Host host(&context, 1, 10);
  Connect({&host}, MakeClusterState({{1}}));
  host.socket.SetHandler(scheduling::kSchedulingMessageVersion, nullptr);
  const uint32_t token = host.Request();
  // A decision within the call would come before its token is known.
  CHECK_FALSE(host.IsDecided(token));
  REQUIRE(RunUntil(&context, 20ms, [&] { return host.IsDecided(token); }));
  CHECK(host.placed.contains(token));
}

// The cluster state of the scheduler may be newer than the host's.
TEST_CASE("A grant of an upstream that can't be used frees its place") {
  boost::asio::io_context context;
  Host scheduler(&context, 1, 10);
  Host host(&context, 2, 1);
  Connect({&scheduler, &host}, MakeClusterState({{1}}));
  host.unusable = {1};
  const uint32_t token = host.Request();
  REQUIRE(RunUntil(&context, 200ms, [&] { return host.IsDecided(token); }));
  CHECK(host.local.contains(token));
  CHECK(RunUntil(&context, 100ms, [&] {
    return scheduler.scheduling->figures().schedulers[0].outstanding == 0;
  }));
}

// Takes all three places (two slots and one more) of an upstream.
std::vector<uint32_t> FillPool(boost::asio::io_context* context, Host* host) {
  std::vector<uint32_t> tokens;
  // An upstream starts with one place, and each completion adds one. The
  // scheduler has to learn the work, or predicts that requests wait too long.
  for (int i = 0; i < 20; ++i) {
    const uint32_t token = host->Request(kReports);
    REQUIRE(RunUntil(context, 200ms, [&] { return host->IsDecided(token); }));
    host->scheduling->OnCompleted(
        {token, host->placed[token], scheduling::Outcome::kResponded, 50ms});
    RunFor(context, 5ms);
  }
  for (int i = 0; i < 3; ++i) {
    tokens.push_back(host->Request(kReports));
    RunFor(context, 20ms);
  }
  for (const uint32_t token : tokens) {
    REQUIRE(host->placed.contains(token));
  }
  return tokens;
}

// Under overload, requests of the first priority must not wait behind others.
TEST_CASE("A free place goes to the highest priority, whichever host asks") {
  boost::asio::io_context context;
  Host scheduler(&context, 1, 10);
  Host host(&context, 2, 1);
  Connect({&scheduler, &host}, MakeClusterState({{1}}));
  const auto tokens = FillPool(&context, &host);
  const uint32_t low = host.Request(kReports);
  RunFor(&context, 30ms);
  const uint32_t high = scheduler.Request(kAlerts);
  RunFor(&context, 30ms);
  REQUIRE_FALSE(host.IsDecided(low));
  REQUIRE_FALSE(scheduler.IsDecided(high));
  CHECK(scheduler.scheduling->figures().schedulers[0].waiting == 2);
  // As long as the place was taken, or the rest would count as time in transit
  // and give the upstream one more place.
  host.scheduling->OnCompleted(
      {tokens[0], 1, scheduling::Outcome::kResponded, 5s});
  REQUIRE(RunUntil(&context, 100ms, [&] { return scheduler.IsDecided(high); }));
  CHECK(scheduler.placed.contains(high));
  CHECK_FALSE(host.placed.contains(low));
  CHECK_FALSE(host.refused.contains(low));
  CHECK_FALSE(host.IsDecided(low));
}

// Stands for other hosts: counts the bytes of announcements that they get.
struct Receivers {
  explicit Receivers(boost::asio::io_context* context)
      : socket(context, {boost::asio::ip::address_v4(0x7f000064), 0}) {
    socket.SetHandler(
        scheduling::kSchedulingMessageVersion,
        [this](const Ipv4Endpoint&, std::span<const uint8_t> datagram) {
          const auto message = scheduling::DecodeMessage(datagram);
          const bool is_announcement =
              message &&
              std::holds_alternative<scheduling::Announcement>(message->body);
          bytes += is_announcement ? datagram.size() + 28 : 0;
        });
    socket.Start();
  }

  size_t bytes = 0;
  PeerSocket socket;
};

// The share of announcements in the control traffic of a large domain.
TEST_CASE("Announcements stay below 4 KB/s") {
  boost::asio::io_context context;
  Host scheduler(&context, 1, 10);
  Connect({&scheduler}, MakeClusterState({{1}}));
  Receivers receivers(&context);
  scheduler.scheduling->SetRemotePeers(
      std::vector(100, receivers.socket.own_endpoint()));
  scheduler.Request();
  RunFor(&context, 1'400ms);
  CHECK(receivers.bytes > 0);
  // One announcement to all of them.
  CHECK(receivers.bytes < 8'000);
}

// Hosts leave a scheduler at which their requests wait after 500 ms of silence;
// in a large domain announcements are further apart.
TEST_CASE("A host whose request waits hears from the scheduler in time") {
  boost::asio::io_context context;
  Host scheduler(&context, 1, 10);
  Connect({&scheduler}, MakeClusterState({{1}}));
  Receivers others(&context);
  scheduler.scheduling->SetRemotePeers(
      std::vector(200, others.socket.own_endpoint()));
  FillPool(&context, &scheduler);
  Receivers host(&context);
  const auto request = scheduling::EncodeMessage(
      {kService, scheduling::PlaceMessage{7, kAlerts, 1, 0ms, {}, {}}});
  host.socket.Send(scheduler.candidate.endpoint, request[0]);
  CHECK(RunUntil(&context, 400ms, [&] { return host.bytes > 0; }));
}

TEST_CASE("Requests that wait at a scheduler that stops are placed") {
  boost::asio::io_context context;
  auto scheduler = std::make_unique<Host>(&context, 1, 10);
  Host host(&context, 2, 1);
  Connect({scheduler.get(), &host}, MakeClusterState({{1}}));
  FillPool(&context, &host);
  const uint32_t token = host.Request();
  RunFor(&context, 50ms);
  REQUIRE_FALSE(host.IsDecided(token));
  scheduler.reset();
  CHECK(RunUntil(&context, 100ms, [&] {
    return host.placed.contains(token) || host.local.contains(token);
  }));
}

TEST_CASE("With one direction cut, flows are placed within 100 ms") {
  boost::asio::io_context context;
  Host scheduler(&context, 1, 10);
  Host host(&context, 2, 1);
  Connect({&scheduler, &host}, MakeClusterState({{1}, {2}}));
  const auto drop = [](const Ipv4Endpoint&, std::span<const uint8_t>) {};
  SECTION("requests are lost") {
    scheduler.socket.SetHandler(scheduling::kSchedulingMessageVersion, drop);
  }
  SECTION("answers are lost") {
    host.socket.SetHandler(scheduling::kSchedulingMessageVersion, drop);
  }
  const uint32_t token = host.Request();
  REQUIRE(RunUntil(&context, 100ms, [&] { return host.IsDecided(token); }));
  CHECK_FALSE(host.refused.contains(token));
}

TEST_CASE("Requests without room are granted by another failure domain") {
  boost::asio::io_context context;
  Host scheduler(&context, 1, 10);
  Host host(&context, 2, 1);
  Host remote(&context, 3, 10, "brandon");
  std::vector<Upstream> upstreams = {{1}};
  for (uint64_t id = 11; id <= 16; ++id) {
    upstreams.push_back({id, "brandon"});
  }
  const ClusterState state = MakeClusterState(upstreams);
  Connect({&scheduler, &host}, state);
  Connect({&remote}, state);
  FillPool(&context, &host);
  // The announcement reaches a host that has to pass it on.
  remote.scheduling->SetRemotePeers({host.candidate.endpoint});
  remote.Request();
  RunFor(&context, 400ms);
  const uint32_t token = host.Request();
  REQUIRE(RunUntil(&context, 200ms, [&] { return host.IsDecided(token); }));
  CHECK(host.placed[token] >= 11);
  CHECK(scheduler.scheduling->figures().forwarded == 1);
  // The request must not wait in its own domain as well.
  RunFor(&context, 100ms);
  CHECK(scheduler.scheduling->figures().schedulers[0].waiting == 0);
  SECTION("a refusal returns to the scheduler that forwarded") {
    remote.scheduling->Update(MakeClusterState({{1}}));
    const uint32_t refused = host.Request();
    RunFor(&context, 30ms);
    CHECK_FALSE(host.IsDecided(refused));
    CHECK(scheduler.scheduling->figures().schedulers[0].waiting == 1);
  }
}

// After a start or a partition two hosts may schedule the same service.
TEST_CASE("A scheduler gives way to a better ranked one") {
  boost::asio::io_context context;
  Host better(&context, 1, 10);
  Host former(&context, 2, 5);
  Host host(&context, 3, 1);
  const ClusterState state = MakeClusterState({{1}, {2}});
  Connect({&former, &host}, state);
  host.Request();
  RunFor(&context, 50ms);
  REQUIRE(former.scheduling->figures().schedulers.size() == 1);
  // Only the former scheduler hears of the better one.
  better.scheduling->SetLocalCandidates({former.candidate});
  better.scheduling->Update(state);
  better.Request();
  RunFor(&context, 400ms);
  const uint32_t token = host.Request();
  REQUIRE(RunUntil(&context, 100ms, [&] { return host.IsDecided(token); }));
  CHECK(host.placed.contains(token));
  CHECK(better.scheduling->figures().schedulers[0].outstanding == 2);
  CHECK(RunUntil(&context, 2'500ms, [&] {
    return former.scheduling->figures().schedulers.empty();
  }));
}

TEST_CASE("Only services that state what is needed are scheduled") {
  boost::asio::io_context context;
  Host host(&context, 1, 10);
  const auto record = [&host](const Ipv4Endpoint& listener, uint32_t requests) {
    for (int i = 0; i < 40; ++i) {
      host.scheduling->OnFlowEnded(listener, requests);
    }
  };
  cluster_state::Configuration configuration = MakeConfiguration();
  std::vector<Upstream> upstreams = {{1}, {2, "brandon"}};
  uint32_t requests = 1;
  bool is_expected = false;
  SECTION("all stated") {
    is_expected = true;
  }
  SECTION("a listener that sends nothing there states no priority") {
    configuration.listeners[0].priority.reset();
    configuration.listeners[0].shares[0].weight = 0;
    is_expected = true;
  }
  SECTION("no priority") {
    configuration.listeners[0].priority.reset();
  }
  SECTION("no latency target") {
    configuration.listeners[0].latency_target = 0ms;
  }
  SECTION("no slots") {
    upstreams[1].slots = 0;
  }
  SECTION("no upstream in the own domain") {
    upstreams = {{2, "brandon"}};
  }
  SECTION("long flows") {
    requests = 20;
  }
  SECTION("too few flows") {
    requests = 0;
  }
  host.scheduling->Update(MakeClusterState(upstreams, configuration));
  if (requests > 0) {
    record(kReports, requests);
  }
  CHECK(host.scheduling->IsScheduled(kService) == is_expected);
  CHECK_FALSE(host.scheduling->IsScheduled("other"));
  // A listener without enough flows is ignored, a long one is not.
  record(kAlerts, 20);
  CHECK(host.scheduling->IsScheduled(kService) ==
        (is_expected && configuration.listeners[0].shares[0].weight == 0));
}

TEST_CASE("Nothing is scheduled if the mode is off") {
  boost::asio::io_context context;
  Host host(&context, 1, 10);
  FlowScheduling scheduling(&context, &host.socket, &host,
                            {host.candidate, "regina", false});
  scheduling.Update(MakeClusterState({{1}}));
  for (int i = 0; i < 40; ++i) {
    scheduling.OnFlowEnded(kReports, 1);
  }
  CHECK_FALSE(scheduling.IsScheduled(kService));
}

TEST_CASE("Messages that are invalid or of no use are counted") {
  boost::asio::io_context context;
  Host host(&context, 1, 10);
  Host other(&context, 2, 1);
  Connect({&host, &other}, MakeClusterState({}));
  other.socket.Send(host.candidate.endpoint, std::vector<uint8_t>{0x92, 2, 99});
  other.Request();
  CHECK(RunUntil(&context, 100ms, [&] {
    return host.scheduling->figures().dropped_messages == 2;
  }));
}

TEST_CASE("Capacities are compared by classes") {
  CHECK(CapacityClass(0) == 0);
  CHECK(CapacityClass(350) == 8);
  CHECK(CapacityClass(511) == 8);
  CHECK(CapacityClass(512) == 9);
  FleetView fleet{3, {{1, 2}, {3, 4}}};
  CHECK(MakeCandidates(fleet)[1] == scheduling::Candidate{{3, 4}, 0});
  fleet.local_capacities = {0, 512};
  CHECK(MakeCandidates(fleet)[1] == scheduling::Candidate{{3, 4}, 9});
}

}  // namespace
}  // namespace poplarsail::entry
