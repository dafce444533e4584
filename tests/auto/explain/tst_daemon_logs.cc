// Runs a real daemon on loopback and checks that its log identifies the cause
// of a single fault, and that a log pipe that is not read does not block
// packets.
#include <catch2/catch.hpp>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <unistd.h>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cerrno>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "explain/explain.h"
#include "soak/entry_process.h"
#include "soak/tcp_proxy.h"
#include "soak/upstream.h"
#include "soak/violations.h"
#include "soak/wire.h"
#include "standins/fake_platform_store.h"
#include "standins/platform_objects.h"

namespace poplarsail::explain {
namespace {

using namespace std::chrono_literals;
using boost::asio::ip::udp;
using soak::Packet;

constexpr uint16_t kPacketPort = 18'172;
// Clients retransmit after this time.
constexpr std::chrono::milliseconds kRetransmitInterval{200};

model::Endpoint Loopback(const std::string& host, uint16_t port) {
  return {boost::asio::ip::make_address("127.11." + host), port};
}

model::Ipv4Endpoint Ipv4(const std::string& text) {
  return *model::ParseIpv4Endpoint(text);
}

// One daemon in failure domain regina, a store behind a proxy, upstreams, and a
// client with one flow.
class DaemonFixture {
 public:
  DaemonFixture()
      : m_store(&m_context, Loopback("4.1", 18'000)),
        m_proxy(&m_context, Loopback("4.2", 18'001), m_store.endpoint()),
        m_socket(m_context,
                 udp::endpoint(Loopback("2.1", 0).address, kPacketPort)) {
    m_directory = std::filesystem::temp_directory_path() /
                  ("poplarsail-explain-" + std::to_string(::getpid()));
    std::filesystem::create_directories(m_directory);
    m_store.Put(
        "config", "main",
        standins::ConfigurationSpec(1, {{m_listener, "tally"}}, {"tally"}));
    soak::EntryProcessOptions options;
    options.program = POPLARSAIL_PROGRAM;
    options.directory = m_directory;
    options.name = "front-regina-1";
    options.failure_domain = "regina";
    options.address = "127.11.1.1";
    options.packet_port = kPacketPort;
    options.store = Loopback("4.2", 18'001);
    options.seeds = "127.11.1.9:18166";
    m_daemon = std::make_unique<soak::EntryProcess>(options);
    ReceiveNext();
  }

  ~DaemonFixture() {
    m_daemon.reset();
    for (const int descriptor : {m_log_reader, m_log_writer}) {
      if (descriptor >= 0) {
        ::close(descriptor);
      }
    }
    std::filesystem::remove_all(m_directory);
  }

  soak::Upstream* AddUpstream(uint64_t id, const std::string& domain) {
    soak::UpstreamOptions options;
    options.id = id;
    options.service = "tally";
    options.failure_domain = domain;
    options.endpoint = Ipv4("127.11.3.1:" + std::to_string(21'000 + id));
    options.client_port = kPacketPort;
    soak::UpstreamHooks hooks;
    hooks.is_reachable_from = [](const std::string&) { return true; };
    hooks.on_new_flow = [](const auto&, const auto&, const auto&) {};
    m_upstreams.push_back(std::make_unique<soak::Upstream>(
        &m_context, options, std::move(hooks), &m_ledger, &m_violations));
    soak::Upstream* upstream = m_upstreams.back().get();
    m_store.Put(
        "servers", upstream->name(),
        standins::RegistrationSpec("tally", options.endpoint, domain, "ready"));
    return upstream;
  }

  void WriteSettings(const std::string& text) const {
    std::ofstream(m_directory / "front-regina-1.ini") << text;
  }

  // Creates the daemon's log file as a pipe and fills it.
  void FillLogPipe() {
    const std::string path = m_directory / "front-regina-1.log";
    REQUIRE(::mkfifo(path.c_str(), 0600) == 0);
    m_log_reader = ::open(path.c_str(), O_RDONLY | O_NONBLOCK);
    REQUIRE(m_log_reader >= 0);
    m_log_writer = ::open(path.c_str(), O_WRONLY | O_NONBLOCK);
    REQUIRE(m_log_writer >= 0);
    while (!IsLogPipeFull()) {
    }
  }
  // Returns whether the pipe is full. Writes one byte to a pipe that is not.
  bool IsLogPipeFull() const {
    const ssize_t written = ::write(m_log_writer, "\n", 1);
    REQUIRE((written == 1 || errno == EAGAIN));
    return written != 1;
  }
  // Returns what was read from the pipe up to a line with the message.
  std::string ReadLogPipeUntil(const std::string& message) {
    std::string text;
    RunUntil([&]() {
      std::array<char, 4096> block;
      ssize_t size = 0;
      while ((size = ::read(m_log_reader, block.data(), block.size())) > 0) {
        text.append(block.data(), static_cast<size_t>(size));
      }
      return text.find("msg=\"" + message + "\"") != std::string::npos;
    });
    return text;
  }

  soak::EntryProcess& daemon() { return *m_daemon; }
  soak::TcpProxy& store_path() { return m_proxy; }

  // Waits until the daemon's log has a line with the message.
  void WaitForLine(const std::string& message) {
    RunUntil([&]() {
      const std::vector<LogFile> logs = ReadLogs();
      for (const LogLine& line : logs.front().lines) {
        if (line.message == message) {
          return true;
        }
      }
      return false;
    });
  }

  void RunFor(std::chrono::milliseconds time) {
    m_context.restart();
    m_context.run_for(time);
  }

  // Replaces the client's flow by a new one that is not open yet.
  void StartNewFlow() {
    ++m_client.port;
    m_sequence = 1'000;
    m_acknowledged = 0;
    m_echo = 0;
    m_is_open = false;
    m_is_reset = false;
  }

  // Opens the flow and returns the upstream that holds it.
  soak::Upstream* OpenFlow() {
    Packet opening;
    opening.syn = true;
    opening.sequence = m_sequence;
    SendUntil(opening, [this]() { return m_is_open; });
    ++m_sequence;
    Packet first;
    first.ack = true;
    soak::Upstream* holder = nullptr;
    SendUntil(WithFlowState(first), [&]() {
      for (const auto& upstream : m_upstreams) {
        holder = upstream->HasOpenFlow({m_client, m_listener}) ? upstream.get()
                                                               : holder;
      }
      return holder != nullptr;
    });
    return holder;
  }

  // Repeats a request on the flow until the system resets the flow.
  void SendRequestUntilReset() {
    Packet request;
    request.ack = true;
    request.data = "REQ 1 once tally";
    SendUntil(WithFlowState(request), [this]() { return m_is_reset; });
  }

  // Sends one opening packet without expecting a response.
  void SendOpening() {
    Packet opening;
    opening.syn = true;
    opening.sequence = m_sequence;
    Send(opening);
    RunFor(kRetransmitInterval);
  }

  std::vector<LogFile> ReadLogs() const {
    try {
      return {ReadLogFile(m_directory / "front-regina-1.log")};
    } catch (const LogFileError&) {
      return {LogFile()};
    }
  }

  std::string flow() const { return model::ToString(m_client); }

 private:
  void RunUntil(const std::function<bool()>& condition) {
    while (!condition()) {
      RunFor(20ms);
    }
  }

  void SendUntil(const Packet& packet, const std::function<bool()>& condition) {
    while (!condition()) {
      Send(packet);
      for (int i = 0; i < 100 && !condition(); ++i) {
        RunFor(kRetransmitInterval / 100);
      }
    }
  }

  Packet WithFlowState(Packet packet) const {
    packet.sequence = m_sequence;
    packet.ack_number = m_acknowledged;
    packet.echo = m_echo;
    return packet;
  }

  void Send(Packet packet) {
    packet.source = m_client;
    packet.destination = m_listener;
    const std::vector<uint8_t> bytes = soak::Encode(packet);
    m_socket.send_to(boost::asio::buffer(bytes),
                     udp::endpoint(Loopback("1.1", 0).address, kPacketPort));
  }

  void ReceiveNext() {
    m_socket.async_receive(
        boost::asio::buffer(m_buffer),
        [this](const boost::system::error_code& error, size_t size) {
          if (error) {
            return;
          }
          const auto packet = soak::Decode({m_buffer.data(), size});
          if (packet && packet->rst) {
            m_is_reset = true;
          } else if (packet && packet->syn) {
            m_is_open = true;
            m_acknowledged = packet->sequence + 1;
            m_echo = packet->echo;
          }
          ReceiveNext();
        });
  }

  boost::asio::io_context m_context;
  int m_log_reader = -1;
  int m_log_writer = -1;
  std::filesystem::path m_directory;
  standins::FakePlatformStore m_store;
  soak::TcpProxy m_proxy;
  udp::socket m_socket;
  std::array<uint8_t, 2048> m_buffer{};
  std::unique_ptr<soak::EntryProcess> m_daemon;
  soak::ExecutionCounter m_ledger;
  soak::Violations m_violations;
  std::vector<std::unique_ptr<soak::Upstream>> m_upstreams;
  model::Ipv4Endpoint m_listener = Ipv4("198.18.0.1:8443");
  model::Ipv4Endpoint m_client = Ipv4("127.11.2.1:1025");
  uint32_t m_sequence = 1'000;
  uint32_t m_acknowledged = 0;
  uint32_t m_echo = 0;
  bool m_is_open = false;
  bool m_is_reset = false;
};

TEST_CASE("A full log pipe does not block packets") {
  DaemonFixture fixture;
  fixture.AddUpstream(1, "regina");
  fixture.AddUpstream(2, "regina");
  fixture.FillLogPipe();
  fixture.daemon().Start();
  // The log lines of 500 flows exceed the daemon's log buffer of 64 KB.
  for (int i = 0; i < 500; ++i) {
    fixture.StartNewFlow();
    fixture.OpenFlow();
  }
  CHECK(fixture.IsLogPipeFull());
  CHECK_FALSE(fixture.daemon().Reap());
  const std::string log = fixture.ReadLogPipeUntil("lines dropped");
  CHECK(log.find("msg=\"flow placed\"") != std::string::npos);
}

TEST_CASE("SIGHUP applies valid settings, rejects others and keeps serving") {
  DaemonFixture fixture;
  fixture.AddUpstream(1, "regina");
  fixture.daemon().Start();
  fixture.WaitForLine("ready");
  fixture.OpenFlow();
  fixture.daemon().Signal(SIGHUP);
  fixture.WaitForLine("settings reloaded");
  fixture.WriteSettings("[host]\nname = \n");
  fixture.daemon().Signal(SIGHUP);
  fixture.WaitForLine("settings refused, the old ones stay");
  fixture.StartNewFlow();
  fixture.OpenFlow();
  CHECK_FALSE(fixture.daemon().Reap());
}

TEST_CASE("Logs identify a crashed upstream") {
  DaemonFixture fixture;
  fixture.AddUpstream(1, "regina");
  fixture.AddUpstream(2, "regina");
  fixture.daemon().Start();
  fixture.WaitForLine("ready");
  fixture.OpenFlow()->Crash();
  fixture.SendRequestUntilReset();
  fixture.WaitForLine("upstream refuses connections");
  const Diagnosis diagnosis =
      Diagnose(fixture.ReadLogs(), {fixture.flow(), "", std::nullopt});
  CAPTURE(diagnosis.summary);
  CHECK(diagnosis.cause == Cause::kUpstreamRefusing);
  CHECK(diagnosis.summary.find("front-regina-1 found that upstream") !=
        std::string::npos);
}

TEST_CASE("Logs identify a partitioned failure domain") {
  DaemonFixture fixture;
  soak::Upstream* first = fixture.AddUpstream(1, "brandon");
  soak::Upstream* second = fixture.AddUpstream(2, "brandon");
  fixture.AddUpstream(3, "regina");
  fixture.daemon().Start();
  fixture.WaitForLine("ready");
  // New flows prefer the daemon's own failure domain until its upstream is
  // loaded.
  while (fixture.OpenFlow()->options().failure_domain != "brandon") {
    fixture.StartNewFlow();
  }
  const std::string flow = fixture.flow();
  first->Isolate();
  second->Isolate();
  fixture.SendRequestUntilReset();
  // The second upstream is detected only once flows are placed on it.
  const auto diagnose = [&]() {
    return Diagnose(fixture.ReadLogs(), {flow, "", std::nullopt});
  };
  while (diagnose().cause != Cause::kDomainPartitioned) {
    fixture.StartNewFlow();
    fixture.OpenFlow();
    fixture.RunFor(20ms);
  }
  const Diagnosis diagnosis = diagnose();
  CAPTURE(diagnosis.summary);
  CHECK(diagnosis.cause == Cause::kDomainPartitioned);
  CHECK(diagnosis.summary.find("brandon was cut off") != std::string::npos);
}

TEST_CASE("Logs identify a store that was unavailable at startup") {
  DaemonFixture fixture;
  fixture.AddUpstream(1, "regina");
  fixture.store_path().set_mode(soak::ProxyMode::kReset);
  fixture.daemon().Start();
  fixture.WaitForLine("store lost");
  fixture.SendOpening();
  const std::vector<LogFile> logs = fixture.ReadLogs();
  const Diagnosis diagnosis =
      Diagnose(logs, {fixture.flow(), "", logs.front().lines.back().time});
  CAPTURE(diagnosis.summary);
  CHECK(diagnosis.cause == Cause::kDaemonNotReady);
  CHECK(diagnosis.summary.find("front-regina-1 started at") !=
        std::string::npos);
  CHECK(diagnosis.summary.find("store lost: ") != std::string::npos);
}

}  // namespace
}  // namespace poplarsail::explain
