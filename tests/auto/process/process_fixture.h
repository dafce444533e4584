#ifndef TESTS_AUTO_PROCESS_PROCESS_FIXTURE_H_
#define TESTS_AUTO_PROCESS_PROCESS_FIXTURE_H_

#include <catch2/catch.hpp>

#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <optional>
#include <sstream>
#include <string>

#include <fmt/format.h>

#include "soak/entry_process.h"
#include "standins/fake_platform_store.h"
#include "standins/platform_objects.h"

namespace poplarsail::process {

using namespace std::chrono_literals;

// A real daemon on loopback with a store that serves a configuration. Tests run
// side by side, so each test program uses another `network`, the second octet
// of all addresses.
class ProcessFixture {
 public:
  explicit ProcessFixture(int network)
      : m_network(network), m_store(&m_context, {Address("4.1"), 18'000}) {
    m_directory = std::filesystem::temp_directory_path() /
                  fmt::format("poplarsail-process-{}-{}", network, ::getpid());
    std::filesystem::create_directories(m_directory);
    m_store.Put("config", "main",
                standins::ConfigurationSpec(
                    1, {{*model::ParseIpv4Endpoint("198.18.0.1:443"), "tally"}},
                    {"tally"}));
    m_daemon.emplace(Options("front-regina-1", "1.1"));
  }

  ~ProcessFixture() {
    m_daemon.reset();
    std::filesystem::remove_all(m_directory);
  }

  ProcessFixture(const ProcessFixture&) = delete;
  ProcessFixture& operator=(const ProcessFixture&) = delete;

  // Options of a daemon at the address 127.NETWORK.`host`.
  soak::EntryProcessOptions Options(const std::string& name,
                                    const std::string& host) const {
    soak::EntryProcessOptions options;
    options.program = POPLARSAIL_PROGRAM;
    options.directory = m_directory;
    options.name = name;
    options.failure_domain = "regina";
    options.address = Address(host).to_string();
    options.packet_port = 18'172;
    options.store = m_store.endpoint();
    options.seeds = options.address + ":18166";
    return options;
  }

  boost::asio::ip::address Address(const std::string& host) const {
    return boost::asio::ip::make_address(
        fmt::format("127.{}.{}", m_network, host));
  }

  soak::EntryProcess& daemon() { return *m_daemon; }
  standins::FakePlatformStore& store() { return m_store; }
  boost::asio::io_context& context() { return m_context; }
  const std::filesystem::path& directory() const { return m_directory; }

  void RunFor(std::chrono::milliseconds time) {
    RunUntil([]() { return false; }, time);
  }

  // Serves the store until the condition holds or the time is over. Returns
  // whether it holds.
  bool RunUntil(const std::function<bool()>& condition,
                std::chrono::milliseconds time) {
    const auto deadline = std::chrono::steady_clock::now() + time;
    while (!condition()) {
      if (std::chrono::steady_clock::now() >= deadline) {
        return false;
      }
      m_context.restart();
      m_context.run_for(10ms);
    }
    return true;
  }

  // Whether the daemon answers a readiness check with status 200.
  static bool IsReady(const soak::EntryProcess& daemon) {
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    boost::system::error_code error;
    const model::Endpoint readiness = daemon.readiness();
    socket.connect({readiness.address, readiness.port}, error);
    if (error) {
      return false;
    }
    boost::asio::write(
        socket,
        boost::asio::buffer(std::string_view(standins::kReadinessRequest)),
        error);
    // A daemon that hangs must not block the test.
    const timeval timeout{1, 0};
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout,
                 sizeof(timeout));
    std::array<char, 64> response{};
    const ssize_t size =
        ::recv(socket.native_handle(), response.data(), response.size(), 0);
    return size > 0 &&
           std::string_view(response.data(), static_cast<size_t>(size))
               .starts_with("HTTP/1.1 200");
  }

  bool WaitUntilReady(const soak::EntryProcess& daemon,
                      std::chrono::milliseconds time = 10s) {
    return RunUntil([&]() { return IsReady(daemon); }, time);
  }

  // Runs for `time` and returns how the daemon ended, or "running".
  std::string RunAndDescribe(soak::EntryProcess& daemon,
                             std::chrono::milliseconds time) {
    std::optional<int> status;
    RunUntil([&]() { return (status = daemon.Reap()).has_value(); }, time);
    return Describe(status);
  }

  static std::string Describe(const std::optional<int>& status) {
    if (!status) {
      return "running";
    }
    return WIFSIGNALED(*status) ? fmt::format("signal {}", WTERMSIG(*status))
                                : fmt::format("exit {}", WEXITSTATUS(*status));
  }

  // What the daemon wrote to its log file.
  std::string Log(const soak::EntryProcess& daemon) const {
    std::ostringstream text;
    text << std::ifstream(m_directory / (daemon.options().name + ".log"))
                .rdbuf();
    return text.str();
  }

 private:
  int m_network;
  boost::asio::io_context m_context;
  standins::FakePlatformStore m_store;
  std::filesystem::path m_directory;
  std::optional<soak::EntryProcess> m_daemon;
};

}  // namespace poplarsail::process

#endif  // TESTS_AUTO_PROCESS_PROCESS_FIXTURE_H_
