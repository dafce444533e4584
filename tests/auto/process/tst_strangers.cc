// Connections and responses of others keep neither the processor nor the
// descriptors of a daemon.
#include <catch2/catch.hpp>

#include <list>
#include <memory>
#include <string>
#include <vector>

#include "process/process_fixture.h"

namespace poplarsail::process {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr int kNetwork = 24;
constexpr uint16_t kMetricsPort = 18'169;
constexpr rlim_t kFewDescriptors = 64;
constexpr auto kMeasurement = 2'000ms;
// A fifth of a core.
constexpr auto kMaxProcessorTime = 400ms;

struct StrangersFixture : ProcessFixture {
  StrangersFixture() : ProcessFixture(kNetwork) {}

  // Processor time that the daemon uses during the measurement.
  std::chrono::milliseconds Measure() {
    const auto before = daemon().ProcessorTime();
    RunFor(kMeasurement);
    return daemon().ProcessorTime() - before;
  }

  std::vector<tcp::socket> Connect(const model::Endpoint& server, int count) {
    std::vector<tcp::socket> connections;
    for (int i = 0; i < count; ++i) {
      connections.emplace_back(context());
      boost::system::error_code ignored;
      connections.back().connect({server.address, server.port}, ignored);
    }
    return connections;
  }

  void CheckIdleConnections(uint16_t port) {
    daemon().next_options().environment.limits = {
        {RLIMIT_NOFILE, kFewDescriptors}};
    daemon().Start();
    REQUIRE(WaitUntilReady(daemon()));
    {
      const auto idle = Connect({Address("1.1"), port}, 100);
      CHECK(Measure() < kMaxProcessorTime);
      CHECK(IsReady(daemon()));
    }
    CHECK(WaitUntilReady(daemon(), 2s));
    CHECK(RunAndDescribe(daemon(), 10ms) == "running");
  }
};

TEST_CASE_METHOD(StrangersFixture,
                 "Idle connections to the metrics do not stop the readiness") {
  CheckIdleConnections(kMetricsPort);
}

TEST_CASE_METHOD(StrangersFixture,
                 "Idle connections to the readiness do not stop it") {
  CheckIdleConnections(daemon().readiness().port);
}

}  // namespace
}  // namespace poplarsail::process
