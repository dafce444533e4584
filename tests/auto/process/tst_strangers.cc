// Connections, packets and responses of others keep neither the processor nor
// the descriptors of a daemon.
#include <catch2/catch.hpp>

#include <atomic>
#include <boost/asio/ip/udp.hpp>
#include <csignal>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "process/process_fixture.h"
#include "soak/wire.h"

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

// Sends SYNs of random flows by several threads as fast as the machine takes
// them, for kDuration at the most.
class Flood {
 public:
  explicit Flood(const model::Endpoint& receiver) {
    for (uint32_t seed = 1; seed <= kThreads; ++seed) {
      m_threads.emplace_back([this, receiver, seed]() { Run(receiver, seed); });
    }
  }
  ~Flood() {
    m_is_stopping = true;
    for (std::thread& thread : m_threads) {
      thread.join();
    }
  }

  Flood(const Flood&) = delete;
  Flood& operator=(const Flood&) = delete;

 private:
  static constexpr auto kDuration = 8s;
  static constexpr uint32_t kThreads = 3;
  static constexpr size_t kPackets = 4'096;

  void Run(const model::Endpoint& receiver, uint32_t seed) {
    asio::io_context context;
    asio::ip::udp::socket socket(context, asio::ip::udp::v4());
    socket.connect({receiver.address, receiver.port});
    std::minstd_rand random(seed);
    soak::Packet syn;
    syn.syn = true;
    syn.destination = *model::ParseIpv4Endpoint("198.18.0.1:443");
    std::vector<std::vector<uint8_t>> packets;
    for (size_t i = 0; i < kPackets; ++i) {
      syn.source = {static_cast<uint32_t>(random()),
                    static_cast<uint16_t>(random())};
      packets.push_back(soak::Encode(syn));
    }
    const auto deadline = std::chrono::steady_clock::now() + kDuration;
    while (!m_is_stopping && std::chrono::steady_clock::now() < deadline) {
      for (const std::vector<uint8_t>& packet : packets) {
        boost::system::error_code ignored;
        socket.send(asio::buffer(packet), 0, ignored);
      }
    }
  }

  std::atomic<bool> m_is_stopping = false;
  std::vector<std::thread> m_threads;
};

TEST_CASE_METHOD(StrangersFixture,
                 "A flood of packets stops neither the readiness nor SIGTERM") {
  daemon().Start();
  REQUIRE(WaitUntilReady(daemon()));
  const Flood flood({Address("1.1"), daemon().options().packet_port});
  RunFor(1s);
  CHECK(IsReady(daemon()));
  RunFor(1s);
  CHECK(IsReady(daemon()));
  daemon().Signal(SIGTERM);
  CHECK(RunAndDescribe(daemon(), 4s) == "exit 0");
}

}  // namespace
}  // namespace poplarsail::process
