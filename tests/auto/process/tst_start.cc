// A daemon starts although an address, or a part of its settings, is not what
// it needs.
#include <catch2/catch.hpp>

#include <fcntl.h>

#include <algorithm>
#include <boost/asio/ip/udp.hpp>
#include <csignal>
#include <optional>
#include <sstream>
#include <string_view>

#include "process/process_fixture.h"

namespace poplarsail::process {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr int kNetwork = 22;
constexpr uint16_t kPacketPort = 18'172;
constexpr uint16_t kPeersPort = 18'166;
constexpr uint16_t kReadinessPort = 18'167;
constexpr uint16_t kFindingsPort = 18'168;
// Not used by other test programs, since a test holds it at all addresses.
constexpr uint16_t kMetricsPort = 21'922;
// Longer than several attempts to listen.
constexpr auto kSeveralAttempts = 3'500ms;
// A daemon that can't start ends within some milliseconds.
constexpr auto kSettleTime = 1'500ms;

struct StartFixture : ProcessFixture {
  StartFixture() : ProcessFixture(kNetwork) {
    daemon().next_options().settings_text = Settings("1.1", "1.1");
  }

  // Settings of a daemon at the address `host` whose packets, and so its
  // metrics, are at `packet_host`.
  std::string Settings(const std::string& packet_host,
                       const std::string& host,
                       uint16_t packet_port = kPacketPort) {
    const std::string address = Address(host).to_string();
    return fmt::format(
        "[host]\nname = front\nfailure_domain = regina\n"
        "[packets]\nendpoint = {}:{}\n[readiness]\nendpoint = {}:{}\n"
        "[peers]\nendpoint = {}:{}\nfindings_port = {}\n"
        "[store]\nendpoint = {}\n[metrics]\nport = {}\n"
        "[stop]\nlinger_ms = 1500\n",
        Address(packet_host).to_string(), packet_port, address, kReadinessPort,
        address, kPeersPort, kFindingsPort, model::ToString(store().endpoint()),
        kMetricsPort);
  }

  model::Endpoint Endpoint(const std::string& host, uint16_t port) const {
    return {Address(host), port};
  }

  // Options of another daemon, whose log has the name `name`.
  soak::EntryProcessOptions OtherOptions(const std::string& name,
                                         const std::string& host,
                                         const std::string& settings) const {
    soak::EntryProcessOptions options = Options(name, host);
    options.settings_text = settings;
    return options;
  }

  // Whether a GET of the path is answered with status 200.
  static bool Responds(const model::Endpoint& endpoint,
                       const std::string& path) {
    asio::io_context context;
    tcp::socket socket(context);
    boost::system::error_code error;
    socket.connect({endpoint.address, endpoint.port}, error);
    if (error) {
      return false;
    }
    const timeval timeout{1, 0};
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout,
                 sizeof(timeout));
    asio::write(socket,
                asio::buffer("GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n"),
                error);
    std::array<char, 64> response{};
    const ssize_t size =
        ::recv(socket.native_handle(), response.data(), response.size(), 0);
    return size > 0 &&
           std::string_view(response.data(), static_cast<size_t>(size))
               .starts_with("HTTP/1.1 200");
  }

  // The lines of the daemon's log that contain all parts.
  size_t CountLines(const soak::EntryProcess& daemon,
                    const std::vector<std::string>& parts) const {
    std::istringstream log(Log(daemon));
    size_t count = 0;
    for (std::string line; std::getline(log, line);) {
      count += std::all_of(parts.begin(), parts.end(),
                           [&line](const std::string& part) {
                             return line.find(part) != std::string::npos;
                           });
    }
    return count;
  }

  bool WaitForLine(const soak::EntryProcess& daemon,
                   const std::vector<std::string>& parts,
                   std::chrono::milliseconds time = 5s) {
    return RunUntil([&]() { return CountLines(daemon, parts) > 0; }, time);
  }
};

// Holds a TCP address as another program does.
struct Holder {
  explicit Holder(const tcp::endpoint& endpoint)
      : acceptor(context, endpoint) {}

  asio::io_context context;
  tcp::acceptor acceptor;
};

TEST_CASE_METHOD(StartFixture,
                 "A daemon serves while another program holds the port of its "
                 "metrics") {
  std::optional<Holder> holder;
  holder.emplace(tcp::endpoint(asio::ip::address_v4::any(), kMetricsPort));
  daemon().Start();
  REQUIRE(WaitUntilReady(daemon(), 5s));
  CHECK(RunAndDescribe(daemon(), kSeveralAttempts) == "running");
  CHECK(CountLines(daemon(), {"metrics", "127.22.1.1:21922",
                              "Address already in use"}) == 1);
  holder.reset();
  const model::Endpoint metrics = Endpoint("1.1", kMetricsPort);
  CHECK(RunUntil([&]() { return Responds(metrics, "/metrics"); }, 5s));
  CHECK(WaitForLine(daemon(), {"metrics", "127.22.1.1:21922", "listening"}));
}

TEST_CASE_METHOD(StartFixture,
                 "A daemon serves while another daemon holds the port of its "
                 "metrics") {
  daemon().Start();
  REQUIRE(WaitUntilReady(daemon()));
  soak::EntryProcess second(
      OtherOptions("second", "1.2", Settings("1.1", "1.2", kPacketPort + 100)));
  second.Start();
  REQUIRE(WaitUntilReady(second, 5s));
  daemon().Signal(SIGKILL);
  REQUIRE(RunAndDescribe(daemon(), 5s) == "signal 9");
  const model::Endpoint metrics = Endpoint("1.1", kMetricsPort);
  CHECK(RunUntil([&]() { return Responds(metrics, "/metrics"); }, 5s));
}

TEST_CASE_METHOD(StartFixture,
                 "A daemon becomes ready once its readiness port is free") {
  std::optional<Holder> holder;
  holder.emplace(tcp::endpoint(Address("1.1"), kReadinessPort));
  daemon().Start();
  CHECK(RunAndDescribe(daemon(), kSettleTime) == "running");
  CHECK(CountLines(daemon(), {"readiness", "127.22.1.1:18167"}) == 1);
  CHECK(Responds(Endpoint("1.1", kMetricsPort), "/metrics"));
  holder.reset();
  CHECK(WaitUntilReady(daemon(), 5s));
}

TEST_CASE_METHOD(StartFixture,
                 "A daemon serves while its TCP port for peers is held") {
  std::optional<Holder> holder;
  holder.emplace(tcp::endpoint(Address("1.1"), kPeersPort));
  daemon().Start();
  CHECK(WaitUntilReady(daemon(), 5s));
  CHECK(WaitForLine(daemon(), {"peers", "127.22.1.1:18166"}));
  holder.reset();
  const model::Endpoint peers = Endpoint("1.1", kPeersPort);
  CHECK(RunUntil([&]() { return Responds(peers, "/belief"); }, 5s));
}

TEST_CASE_METHOD(StartFixture,
                 "A daemon that is started while the earlier one lingers takes "
                 "over") {
  daemon().Start();
  REQUIRE(WaitUntilReady(daemon()));
  soak::EntryProcess second(
      OtherOptions("second", "1.1", Settings("1.1", "1.1")));
  daemon().Signal(SIGTERM);
  RunFor(300ms);
  second.Start();
  CHECK(WaitForLine(second, {"waiting for an address", "127.22.1.1:18172",
                             "Address already in use"}));
  CHECK(RunAndDescribe(daemon(), 8s) == "exit 0");
  CHECK(WaitUntilReady(second, 5s));
  CHECK(CountLines(second, {"waiting for an address"}) <= 2);
}

TEST_CASE_METHOD(StartFixture,
                 "A daemon never serves an address that another one serves") {
  const int signal = GENERATE(SIGTERM, SIGINT);
  const bool starts_with_blocked_signals = GENERATE(false, true);
  daemon().Start();
  REQUIRE(WaitUntilReady(daemon()));
  soak::EntryProcess second(
      OtherOptions("second", "1.2", Settings("1.1", "1.2")));
  sigset_t blocked;
  sigset_t previous;
  sigemptyset(&blocked);
  sigaddset(&blocked, signal);
  if (starts_with_blocked_signals) {
    ::pthread_sigmask(SIG_BLOCK, &blocked, &previous);
  }
  second.Start();
  if (starts_with_blocked_signals) {
    ::pthread_sigmask(SIG_SETMASK, &previous, nullptr);
  }
  CHECK(RunAndDescribe(second, kSettleTime) == "running");
  CHECK_FALSE(IsReady(second));
  CHECK(CountLines(second, {"waiting for an address"}) == 1);
  CHECK(CountLines(second, {"msg=started"}) == 0);
  second.Signal(SIGHUP);
  CHECK(RunAndDescribe(second, 300ms) == "running");
  second.Signal(signal);
  CHECK(RunAndDescribe(second, 2s) == "exit 0");
  CHECK(IsReady(daemon()));
}

TEST_CASE_METHOD(StartFixture,
                 "A daemon waits for the UDP port of the peers' messages") {
  asio::io_context context;
  std::optional<asio::ip::udp::socket> holder;
  holder.emplace(context,
                 asio::ip::udp::endpoint(Address("1.1"), kFindingsPort));
  daemon().Start();
  CHECK(RunAndDescribe(daemon(), kSettleTime) == "running");
  CHECK(CountLines(daemon(), {"waiting for an address", "127.22.1.1:18168"}) ==
        1);
  holder.reset();
  CHECK(WaitUntilReady(daemon(), 5s));
}

TEST_CASE_METHOD(StartFixture,
                 "A daemon waits for an address although its log is full") {
  asio::io_context context;
  std::optional<asio::ip::udp::socket> holder;
  holder.emplace(context,
                 asio::ip::udp::endpoint(Address("1.1"), kFindingsPort));
  const int full = ::open("/dev/full", O_WRONLY | O_CLOEXEC);
  REQUIRE(full >= 0);
  daemon().next_options().environment.output = full;
  daemon().Start();
  ::close(full);
  CHECK(RunAndDescribe(daemon(), kSettleTime) == "running");
  holder.reset();
  CHECK(WaitUntilReady(daemon(), 5s));
}

TEST_CASE_METHOD(StartFixture,
                 "A log pipe that nobody reads stops neither the start nor "
                 "SIGTERM") {
  const bool is_stopped = GENERATE(false, true);
  std::array<int, 2> pipe_ends{};
  REQUIRE(::pipe2(pipe_ends.data(), O_CLOEXEC) == 0);
  // A line of the log doesn't fit any more.
  const int free_bytes = GENERATE(0, 250);
  const std::string text(
      static_cast<size_t>(::fcntl(pipe_ends[1], F_GETPIPE_SZ) - free_bytes),
      'x');
  REQUIRE(::write(pipe_ends[1], text.data(), text.size()) ==
          static_cast<ssize_t>(text.size()));
  asio::io_context context;
  std::optional<asio::ip::udp::socket> holder;
  holder.emplace(context, asio::ip::udp::endpoint(Address("1.1"), kPacketPort));
  daemon().next_options().environment.output = pipe_ends[1];
  daemon().Start();
  // Longer than the interval of the lines.
  REQUIRE(RunAndDescribe(daemon(), 5'500ms) == "running");
  if (is_stopped) {
    daemon().Signal(SIGTERM);
    CHECK(RunAndDescribe(daemon(), 1s) == "exit 0");
  } else {
    holder.reset();
    CHECK(WaitUntilReady(daemon(), 5s));
  }
  ::close(pipe_ends[0]);
  ::close(pipe_ends[1]);
}

TEST_CASE_METHOD(StartFixture,
                 "A daemon waits for an address that doesn't exist, and takes "
                 "over another one from its settings") {
  // An address for documentation, which no machine has.
  std::string settings = Settings("1.1", "1.1");
  const std::string packets = "127.22.1.1:18172";
  settings.replace(settings.find(packets), packets.size(), "192.0.2.1:18172");
  daemon().next_options().settings_text = settings;
  daemon().Start();
  CHECK(RunAndDescribe(daemon(), kSettleTime) == "running");
  CHECK(WaitForLine(daemon(), {"waiting for an address", "192.0.2.1:18172",
                               "Cannot assign requested address"}));
  std::ofstream(directory() / (daemon().options().name + ".ini"))
      << Settings("1.1", "1.1");
  CHECK(WaitUntilReady(daemon(), 5s));
}

TEST_CASE_METHOD(StartFixture,
                 "An address that can't be used at all ends the start with its "
                 "name") {
  std::string settings = Settings("1.1", "1.1");
  const std::string packets = "127.22.1.1:18172";
  // The address of a group of another family of addresses.
  settings.replace(settings.find(packets), packets.size(), "[ff02::1]:18172");
  daemon().next_options().settings_text = settings;
  daemon().Start();
  CHECK(RunAndDescribe(daemon(), 5s) == "exit 1");
  CHECK(CountLines(daemon(), {"[ff02::1]:18172"}) == 1);
}

TEST_CASE_METHOD(StartFixture, "A daemon starts with any figure as a bound") {
  struct Bound {
    const char* value;
    const char* used;
  };
  const Bound bound =
      GENERATE(Bound{"3000.0", nullptr}, Bound{"2500.5", nullptr},
               Bound{"3e3", nullptr}, Bound{"", nullptr}, Bound{"500", "1000"},
               Bound{"0", "3000"}, Bound{"true", "3000"});
  CAPTURE(bound.value);
  std::string settings = Settings("1.1", "1.1");
  settings.replace(settings.find("[store]\n"), 8,
                   std::string("[store]\ndrain_ms = ") + bound.value + "\n");
  daemon().next_options().settings_text = settings;
  daemon().Start();
  CHECK(WaitUntilReady(daemon(), 5s));
  CHECK(RunAndDescribe(daemon(), 500ms) == "running");
  const size_t warning_count = bound.used == nullptr ? 0 : 1;
  CHECK(CountLines(daemon(), {"not used as written"}) == warning_count);
  if (bound.used != nullptr) {
    CHECK(CountLines(daemon(),
                     {"key=store.drain_ms", std::string("value=") + bound.value,
                      std::string("used=") + bound.used}) == 1);
  }
}

TEST_CASE_METHOD(StartFixture, "A seed that is no address costs no other one") {
  std::string settings = Settings("1.1", "1.1");
  settings.replace(settings.find("[store]\n"), 8,
                   "seeds = 127.22.1.2:18166, nowhere:1,\n[store]\n");
  daemon().next_options().settings_text = settings;
  daemon().Start();
  CHECK(WaitUntilReady(daemon(), 5s));
  CHECK(WaitForLine(daemon(), {"key=peers.seeds", "value=nowhere:1"}));
}

TEST_CASE_METHOD(StartFixture,
                 "A daemon starts with settings that are completed after its "
                 "start") {
  const std::string complete = Settings("1.1", "1.1");
  const std::string early =
      GENERATE_COPY(std::string(), complete.substr(0, 30),
                    complete.substr(0, complete.find("[store]")));
  daemon().next_options().settings_text = early;
  daemon().Start();
  RunFor(300ms);
  std::ofstream(directory() / "front-regina-1.ini") << complete;
  CHECK(WaitUntilReady(daemon(), 5s));
  CHECK(CountLines(daemon(), {"waiting for valid settings"}) == 1);
}

TEST_CASE_METHOD(StartFixture,
                 "A daemon starts with settings that appear after its start") {
  std::array<int, 2> pipe_ends{};
  REQUIRE(::pipe2(pipe_ends.data(), O_CLOEXEC) == 0);
  soak::EntryProcessOptions& options = daemon().next_options();
  options.directory = directory() / "later";
  options.environment.output = pipe_ends[1];
  daemon().Start();
  RunFor(300ms);
  std::filesystem::create_directories(options.directory);
  std::ofstream(options.directory + "/front-regina-1.ini")
      << Settings("1.1", "1.1");
  CHECK(WaitUntilReady(daemon(), 5s));
  ::close(pipe_ends[0]);
  ::close(pipe_ends[1]);
}

TEST_CASE_METHOD(StartFixture,
                 "Settings that stay invalid end the start with file, key and "
                 "reason") {
  daemon().next_options().settings_text = "[host]\nname = front\n";
  daemon().Start();
  CHECK(RunAndDescribe(daemon(), 1s) == "running");
  CHECK(RunAndDescribe(daemon(), 5s) == "exit 1");
  CHECK(CountLines(daemon(), {"front-regina-1.ini", "host.failure_domain",
                              "is required"}) == 2);
}

TEST_CASE_METHOD(StartFixture, "A signal ends the wait for valid settings") {
  daemon().next_options().settings_text = "";
  daemon().Start();
  REQUIRE(WaitForLine(daemon(), {"waiting for valid settings"}, 1s));
  daemon().Signal(SIGTERM);
  CHECK(RunAndDescribe(daemon(), 1s) == "exit 0");
}

TEST_CASE_METHOD(
    StartFixture,
    "Settings that are half written while the daemon runs are taken "
    "over once they are complete") {
  daemon().Start();
  REQUIRE(WaitUntilReady(daemon()));
  const auto file = directory() / "front-regina-1.ini";
  std::string settings = Settings("1.1", "1.1");
  std::ofstream(file) << settings.substr(0, 30);
  daemon().Signal(SIGHUP);
  CHECK(WaitForLine(daemon(), {"settings refused, the old ones stay"}));
  settings.replace(settings.find("[store]\n"), 8,
                   "seeds = 127.22.1.2:18166,127.22.1.3:18166\n[store]\n");
  std::ofstream(file) << settings;
  // The file is compared every 5 s.
  CHECK(WaitForLine(daemon(), {"settings reloaded", "seeds=2"}, 8s));
  CHECK(IsReady(daemon()));
}

}  // namespace
}  // namespace poplarsail::process
