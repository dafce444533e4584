// Starts, probes and supervises the daemons of a run.
#include <sys/wait.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <utility>

#include <fmt/format.h>

#include "soak/scenario.h"
#include "standins/platform_objects.h"

namespace poplarsail::soak {

namespace {

using std::chrono::milliseconds;

constexpr double kMinRecoverySuccessRatio = 0.9;
// The memory target of a daemon, control plane included, is 128 MB.
constexpr uint64_t kMaxResidentBytes = 128 << 20;
// The fabric probes readiness twice a second and takes a host out of rotation
// after two failed probes.
constexpr milliseconds kReadinessInterval{500};
constexpr int kMaxReadinessMisses = 2;
// Probes of a host that starts.
constexpr milliseconds kStartProbeInterval{50};

}  // namespace

void Scenario::SetUpHosts() {
  if (m_options.processor_share > 0) {
    m_processor_share.emplace(&m_context, m_options.processor_share);
  }
  int number = 1;
  for (size_t domain = 0; domain < m_domains.size(); ++domain) {
    for (int i = 0; i < m_options.hosts_in_domains[domain]; ++i, ++number) {
      EntryProcessOptions options;
      options.program = m_options.program;
      options.directory = m_options.directory;
      options.name = fmt::format("front-{}-{}", m_domains[domain], i + 1);
      options.failure_domain = m_domains[domain];
      options.address = Address(1, number);
      options.packet_port = kPacketPort;
      options.store = {boost::asio::ip::make_address(Address(4, 2)),
                       static_cast<uint16_t>(18'000 + number)};
      options.seeds = fmt::format("{}:18166,{}:18166,{}:18166", Address(1, 1),
                                  Address(1, 2), Address(1, 4));
      options.environment = DrawEnvironment(options);
      Host host;
      host.store_proxy = std::make_unique<TcpProxy>(&m_context, options.store,
                                                    m_store->endpoint());
      host.process = std::make_unique<EntryProcess>(std::move(options));
      host.process->Start();
      if (m_processor_share) {
        m_processor_share->Add(host.process.get());
      }
      m_hosts.push_back(std::move(host));
    }
  }
  for (Host& host : m_hosts) {
    MeasureStart(&host);
  }
}

void Scenario::WaitUntilServing() {
  const auto deadline = Clock::now() + kRecoveryTime;
  const auto is_ready_host = [](const Host& host) {
    return host.is_in_rotation;
  };
  while (!std::all_of(m_hosts.begin(), m_hosts.end(), is_ready_host)) {
    if (Clock::now() > deadline) {
      m_violations.Report(Invariant::kRecovery,
                          "a host did not become ready in time");
      return;
    }
    RunFor(milliseconds(50));
  }
}

void Scenario::PollHosts() {
  for (Host& host : m_hosts) {
    Supervise(&host);
    PollReadiness(&host);
  }
  RunAfter(kReadinessInterval, [this]() { PollHosts(); });
}

void Scenario::PollReadiness(Host* host) {
  constexpr milliseconds kTimeout = kReadinessInterval / 2;
  auto is_ready = std::make_shared<bool>(false);
  ProbeReadiness(*host, kTimeout,
                 [is_ready](bool value) { *is_ready = value; });
  RunAfter(kTimeout, [host, is_ready]() {
    host->failed_probes = *is_ready ? 0 : host->failed_probes + 1;
    host->is_in_rotation =
        *is_ready ||
        (host->is_in_rotation && host->failed_probes < kMaxReadinessMisses);
  });
}

void Scenario::MeasureStart(Host* host) {
  const Clock::time_point started_at = host->process->started_at();
  ProbeReadiness(*host, kReadinessInterval / 2, [=, this](bool is_ready) {
    if (host->process->started_at() != started_at) {
      return;
    }
    if (is_ready) {
      m_start_times.push_back(
          std::chrono::duration_cast<milliseconds>(Clock::now() - started_at));
      return;
    }
    RunAfter(kStartProbeInterval, [=, this]() {
      if (host->process->started_at() == started_at) {
        MeasureStart(host);
      }
    });
  });
}

void Scenario::ProbeReadiness(const Host& host,
                              milliseconds timeout,
                              std::function<void(bool)> done) {
  struct ReadinessProbe {
    explicit ReadinessProbe(boost::asio::io_context* context)
        : socket(*context), timer(*context) {}
    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
    std::array<char, 64> response{};
    std::string request = standins::kReadinessRequest;
    bool is_ready = false;
  };
  auto probe = std::make_shared<ReadinessProbe>(&m_context);
  const model::Endpoint target = host.process->readiness();
  probe->socket.async_connect(
      {target.address, target.port},
      [probe](const boost::system::error_code& error) {
        if (error) {
          probe->timer.cancel();
          return;
        }
        boost::asio::async_write(
            probe->socket, boost::asio::buffer(probe->request),
            [probe](const boost::system::error_code&, size_t) {
              probe->socket.async_read_some(
                  boost::asio::buffer(probe->response),
                  [probe](const boost::system::error_code&, size_t size) {
                    const std::string status_line(probe->response.data(), size);
                    probe->is_ready = status_line.find(" 200 ") < 16;
                    probe->timer.cancel();
                  });
            });
      });
  probe->timer.expires_after(timeout);
  probe->timer.async_wait(
      [probe, done = std::move(done)](const boost::system::error_code&) {
        boost::system::error_code ignored;
        probe->socket.close(ignored);
        done(probe->is_ready);
      });
}

void Scenario::Supervise(Host* host) {
  EntryProcess& process = *host->process;
  const uint64_t max_bytes =
      IsDefectInjected(Invariant::kMemoryBounded) ? 1 : kMaxResidentBytes;
  if (process.is_running() && process.ResidentBytes() > max_bytes) {
    m_violations.Report(Invariant::kMemoryBounded, process.options().name);
  }
  if (process.stop_deadline && Clock::now() > *process.stop_deadline) {
    m_violations.Report(
        Invariant::kProcessLifecycle,
        process.options().name + " did not exit in time after SIGTERM");
    process.stop_deadline.reset();
    process.is_kill_expected = true;
    process.Signal(SIGKILL);
  }
  const auto status = process.Reap();
  if (!status) {
    return;
  }
  const bool exited_as_requested =
      process.stop_deadline && WIFEXITED(*status) && WEXITSTATUS(*status) == 0;
  if (!exited_as_requested && !process.is_kill_expected) {
    m_violations.Report(Invariant::kProcessLifecycle,
                        fmt::format("{} exited with wait status {}",
                                    process.options().name, *status));
  }
  if (m_is_supervising) {
    MarkDisturbed(host, milliseconds(0));
    process.Start();
    MeasureStart(host);
  }
}

void Scenario::StopDaemons() {
  for (const auto& client : m_clients) {
    client->Stop();
  }
  m_is_supervising = false;
  for (Host& host : m_hosts) {
    host.process->is_kill_expected = false;
    host.process->stop_deadline = Clock::now() + kStopGrace;
    host.process->Signal(
        IsDefectInjected(Invariant::kProcessLifecycle) ? SIGABRT : SIGTERM);
  }
  const auto has_exited = [](const Host& host) {
    return !host.process->is_running();
  };
  const auto deadline = Clock::now() + kStopGrace + milliseconds(1'000);
  while (!std::all_of(m_hosts.begin(), m_hosts.end(), has_exited) &&
         Clock::now() < deadline) {
    RunFor(milliseconds(100));
  }
}

void Scenario::CheckRecovery() {
  for (Host& host : m_hosts) {
    MarkDisturbed(&host, milliseconds(0));
    host.process->is_kill_expected = true;
    host.process->Signal(SIGKILL);
    host.store_proxy->set_mode(ProxyMode::kPass);
  }
  m_store->set_mode(standins::StoreMode::kServe);
  m_is_supervising = !IsDefectInjected(Invariant::kRecovery);
  RunFor(kRecoveryTime);
  const auto total = [this]() {
    ClientCounts sum;
    for (const auto& client : m_clients) {
      sum.served += client->counts().served;
      sum.failed += client->counts().failed;
    }
    return sum;
  };
  const ClientCounts before = total();
  RunFor(milliseconds(2'000));
  const ClientCounts after = total();
  const auto served = static_cast<double>(after.served - before.served);
  const auto failed = static_cast<double>(after.failed - before.failed);
  if (served == 0 || served / (served + failed) < kMinRecoverySuccessRatio) {
    m_violations.Report(
        Invariant::kRecovery,
        fmt::format("after the restart: {} requests served, {} failed", served,
                    failed));
  }
}

}  // namespace poplarsail::soak
