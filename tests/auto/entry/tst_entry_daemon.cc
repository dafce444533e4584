// What a handler of the event loop throws ends neither the daemon nor the loop
// that called the handler.
#include <catch2/catch.hpp>

#include "entry/entry_daemon.h"

#include <unistd.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <stdexcept>
#include <string>

#include <fmt/format.h>

namespace poplarsail::entry {
namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;

constexpr uint16_t kPacketPort = 18'172;
constexpr uint16_t kMetricsPort = 18'169;
constexpr auto kTimeout = 5s;

struct DecodeCounts {
  int all = 0;
  int failed = 0;
};

// A codec that fails for some datagrams.
class FailingCodec : public FlowCodec {
 public:
  explicit FailingCodec(DecodeCounts* counts) : m_counts(counts) {}

  std::optional<flows::FlowPacket> Decode(
      std::span<const uint8_t> datagram) const override {
    ++m_counts->all;
    if (!datagram.empty() && datagram[0] == 'f') {
      ++m_counts->failed;
      throw std::out_of_range("decoder failed");
    }
    return std::nullopt;
  }
  std::span<const uint8_t> Payload(std::span<const uint8_t>) const override {
    return {};
  }
  PacketHeader EncodeForUpstream(std::span<const uint8_t>,
                                 uint64_t,
                                 uint32_t) const override {
    return {};
  }
  PacketHeader EncodeReset(const flows::FlowPacket&) const override {
    return {};
  }

 private:
  DecodeCounts* m_counts;
};

// A store that never responds.
class SilentStore : public StateStore {
 public:
  explicit SilentStore(asio::io_context* context) : m_context(context) {}

  asio::awaitable<StateBatch> List(cluster_state::ObjectKind,
                                   ReadFreshness) override {
    return Wait();
  }
  asio::awaitable<StateBatch> Watch(cluster_state::ObjectKind,
                                    uint64_t,
                                    cluster_state::SteadyTime) override {
    return Wait();
  }
  const StoreCallCounts& counts() const override { return m_counts; }

 private:
  asio::awaitable<StateBatch> Wait() {
    asio::steady_timer timer(*m_context, cluster_state::SteadyTime::max());
    co_await timer.async_wait(asio::use_awaitable);
    co_return StateBatch();
  }

  asio::io_context* m_context;
  StoreCallCounts m_counts;
};

struct DaemonFixture {
  DaemonFixture() {
    settings.host_name = "front-regina-1";
    settings.failure_domain = "regina";
    settings.packets = {address, kPacketPort};
    settings.readiness = {address, 18'167};
    settings.peers = {address, 18'166};
    settings.failure_report_port = 18'168;
    settings.store = {address, 18'000};
    settings.metrics_port = kMetricsPort;
    settings.linger = 0ms;
    std::ofstream(path) << "[host]\n";
    EntryPlatform platform;
    platform.codec = std::make_unique<FailingCodec>(&decoded);
    platform.store = std::make_unique<SilentStore>(&context);
    platform.readiness_path = "/ready";
    daemon = std::make_unique<EntryDaemon>(&context, path, "[host]\n", settings,
                                           std::move(platform));
    client.open(asio::ip::udp::v4());
  }
  ~DaemonFixture() { std::filesystem::remove(path); }

  DaemonFixture(const DaemonFixture&) = delete;
  DaemonFixture& operator=(const DaemonFixture&) = delete;

  void SendPacket(std::string_view datagram) {
    client.send_to(asio::buffer(datagram),
                   asio::ip::udp::endpoint(address, kPacketPort));
  }

  // Calls `step` every 10 ms until it returns true, then stops the daemon.
  void StopWhen(const std::function<bool()>& step) {
    timer.expires_after(10ms);
    timer.async_wait([this, step](const boost::system::error_code&) {
      const bool is_late = std::chrono::steady_clock::now() > deadline;
      if (step() || is_late) {
        ::kill(::getpid(), SIGTERM);
        return;
      }
      StopWhen(step);
    });
  }

  asio::ip::address address = asio::ip::make_address("127.24.9.1");
  std::string path = (std::filesystem::temp_directory_path() /
                      fmt::format("poplarsail-daemon-{}.ini", ::getpid()))
                         .string();
  asio::io_context context;
  EntrySettings settings;
  DecodeCounts decoded;
  std::unique_ptr<EntryDaemon> daemon;
  asio::ip::udp::socket client{context};
  asio::steady_timer timer{context};
  std::chrono::steady_clock::time_point deadline =
      std::chrono::steady_clock::now() + kTimeout;
};

TEST_CASE_METHOD(DaemonFixture,
                 "A handler that throws ends neither the daemon nor its loop") {
  SendPacket("fails");
  SendPacket("next in the batch");
  StopWhen([this]() {
    if (decoded.all == 2) {
      SendPacket("next turn");
    }
    return decoded.all >= 3;
  });
  CHECK(daemon->Run() == 0);
  CHECK(decoded.failed == 1);
  CHECK(decoded.all >= 3);
}

}  // namespace
}  // namespace poplarsail::entry
