// Daemons that are restarted beside load and odd entries end only when told and
// get ready again.
#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <deque>
#include <random>

#include "process/process_fixture.h"
#include "soak/client.h"
#include "soak/upstream.h"

namespace poplarsail::process {
namespace {

using soak::Clock;
using std::chrono::milliseconds;

constexpr int kNetwork = 25;
constexpr int kHosts = 6;
constexpr int kUpstreams = 18;
constexpr int kRounds = 20;
constexpr uint16_t kPacketPort = 18'172;
// All machines start within this time of each other, in any order.
constexpr milliseconds kStartSpread{300};
constexpr milliseconds kStopGrace{6'000};
// Service is back this long after the loss of all hosts.
constexpr milliseconds kRecoveryTime{12'000};

class RestartFixture : public ProcessFixture {
 public:
  RestartFixture() : ProcessFixture(kNetwork) {
    for (int i = 0; i < kUpstreams; ++i) {
      AddUpstream(i);
    }
    const std::vector<std::string> odd = standins::OddRegistrationTexts();
    for (size_t i = 0; i < odd.size(); ++i) {
      store().PutText("servers", fmt::format("odd-{}", i), odd[i]);
    }
    for (int i = 1; i <= kHosts; ++i) {
      m_hosts.emplace_back(
          Options(fmt::format("front-{}", i), fmt::format("1.{}", i)));
      m_hosts.back().Start();
    }
    REQUIRE(WaitUntilAllReady() < kRecoveryTime);
    AddClient();
  }

  std::deque<soak::EntryProcess>& hosts() { return m_hosts; }
  uint64_t served() const { return m_client->counts().served; }

  // Ends the daemon by `signal` and returns how it ended.
  std::string End(soak::EntryProcess& host, int signal) {
    host.Signal(signal);
    return RunAndDescribe(host, kStopGrace);
  }

  // Returns the time from the call until every daemon is ready.
  milliseconds WaitUntilAllReady() {
    const Clock::time_point start = Clock::now();
    RunUntil(
        [this]() {
          return std::all_of(m_hosts.begin(), m_hosts.end(), IsReady);
        },
        kRecoveryTime);
    return std::chrono::duration_cast<milliseconds>(Clock::now() - start);
  }

  // Names daemons that ended although no signal was sent.
  std::vector<std::string> UnexpectedEnds() {
    std::vector<std::string> ends;
    for (soak::EntryProcess& host : m_hosts) {
      if (const auto status = host.Reap()) {
        ends.push_back(host.options().name + ": " + Describe(status));
      }
    }
    return ends;
  }

 private:
  void AddUpstream(int number) {
    soak::UpstreamOptions options;
    options.id = static_cast<uint64_t>(number + 1) << 16 | 0x10;
    options.service = "tally";
    options.failure_domain = "regina";
    options.endpoint = *model::ParseIpv4Endpoint(
        fmt::format("{}:{}", Address("3.1").to_string(), 21'000 + number));
    options.client_port = kPacketPort;
    soak::UpstreamHooks hooks;
    hooks.is_reachable_from = [](const std::string&) { return true; };
    hooks.on_new_flow = [](const auto&, const auto&, const auto&) {};
    m_upstreams.push_back(std::make_unique<soak::Upstream>(
        &context(), options, std::move(hooks), &m_executions, &m_violations));
    store().Put("servers", m_upstreams.back()->name(),
                standins::RegistrationSpec(options.service, options.endpoint,
                                           options.failure_domain, "ready"));
  }

  void AddClient() {
    soak::ClientHooks hooks;
    hooks.pick_daemon = [this](const soak::FlowId& flow) {
      const auto& host = m_hosts[flow.first.port % m_hosts.size()];
      return model::Endpoint{
          boost::asio::ip::make_address(host.options().address), kPacketPort};
    };
    hooks.pick_listener = []() {
      return std::make_pair(*model::ParseIpv4Endpoint("198.18.0.1:443"),
                            std::string("tally"));
    };
    hooks.on_flow_reset = [](const auto&, const auto&, const auto&) {};
    constexpr int kFlows = 48;
    m_client.emplace(&context(), Address("2.1").to_string(), kPacketPort, 1,
                     std::move(hooks), &m_violations);
    m_client->Start(kFlows);
  }

  soak::Violations m_violations;
  soak::ExecutionCounter m_executions;
  std::vector<std::unique_ptr<soak::Upstream>> m_upstreams;
  std::deque<soak::EntryProcess> m_hosts;
  std::optional<soak::Client> m_client;
};

TEST_CASE_METHOD(RestartFixture,
                 "Daemons that are killed together get ready every time") {
  std::mt19937 random(1);
  milliseconds slowest{0};
  for (int round = 0; round < kRounds; ++round) {
    CAPTURE(round);
    for (soak::EntryProcess& host : hosts()) {
      host.Signal(SIGKILL);
    }
    std::vector<std::pair<milliseconds, soak::EntryProcess*>> starts;
    for (soak::EntryProcess& host : hosts()) {
      CHECK(RunAndDescribe(host, kStopGrace) == "signal 9");
      starts.emplace_back(random() % kStartSpread.count(), &host);
    }
    std::sort(starts.begin(), starts.end());
    milliseconds now{0};
    for (const auto& [at, host] : starts) {
      RunFor(at - now);
      now = at;
      host->Start();
    }
    slowest = std::max(slowest, WaitUntilAllReady());
    CHECK(UnexpectedEnds().empty());
  }
  CHECK(slowest < kRecoveryTime);
  const uint64_t before = served();
  RunFor(2s);
  CHECK(served() > before);
}

TEST_CASE_METHOD(RestartFixture,
                 "A daemon that starts at once after a kill gets ready") {
  milliseconds slowest{0};
  for (int round = 0; round < kRounds; ++round) {
    CAPTURE(round);
    soak::EntryProcess& host = hosts()[round % kHosts];
    CHECK(End(host, SIGKILL) == "signal 9");
    host.Start();
    slowest = std::max(slowest, WaitUntilAllReady());
    CHECK(UnexpectedEnds().empty());
  }
  CHECK(slowest < kRecoveryTime);
}

TEST_CASE_METHOD(RestartFixture,
                 "A daemon that starts after SIGTERM and a pause gets ready") {
  constexpr auto kPause = 300ms;
  milliseconds slowest{0};
  for (soak::EntryProcess& host : hosts()) {
    CAPTURE(host.options().name);
    CHECK(End(host, SIGTERM) == "exit 0");
    RunFor(kPause);
    host.Start();
    slowest = std::max(slowest, WaitUntilAllReady());
    CHECK(UnexpectedEnds().empty());
  }
  CHECK(slowest < kRecoveryTime);
}

}  // namespace
}  // namespace poplarsail::process
