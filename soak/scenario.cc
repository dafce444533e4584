#include "soak/scenario.h"

#include <sys/wait.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "standins/platform_objects.h"

namespace poplarsail::soak {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr uint16_t kPacketPort = 18'172;
constexpr std::array<const char*, 3> kDomains = {"regina", "saskatoon",
                                                 "brandon"};
// A host is checked once no fault has affected it for this long.
constexpr milliseconds kSettleTime{4'000};
constexpr milliseconds kRecoveryTime{12'000};
constexpr double kMinRecoverySuccessRatio = 0.9;
// The memory target of a daemon, control plane included, is 128 MB.
constexpr uint64_t kMaxResidentBytes = 128 << 20;
// The fabric probes readiness twice a second and takes a host out of rotation
// after two failed probes.
constexpr milliseconds kReadinessInterval{500};
constexpr int kMaxReadinessMisses = 2;
constexpr int kFlowsPerClient = 12;

}  // namespace

Scenario::Scenario(ScenarioOptions options)
    : m_options(std::move(options)), m_random(m_options.seed) {}

Scenario::~Scenario() = default;

std::string Scenario::Address(int group, int number) const {
  return fmt::format("127.{}.{}.{}", m_options.network, group, number);
}

ScenarioResult Scenario::Run() {
  DrawConditions();
  SetUpStore();
  SetUpHosts();
  PollHosts();
  WaitUntilServing();
  SetUpClients();
  RunFor(milliseconds(1'000));
  InjectFaults();
  RunFor(m_options.fault_time);
  CheckRecovery();
  StopDaemons();
  ScenarioResult result;
  for (const auto& client : m_clients) {
    result.counts.requests += client->counts().requests;
    result.counts.served += client->counts().served;
    result.counts.failed += client->counts().failed;
    result.counts.resets += client->counts().resets;
  }
  result.faults = m_fault_count;
  result.violations = m_violations.details();
  return result;
}

void Scenario::SetUpStore() {
  m_store = std::make_unique<standins::FakePlatformStore>(
      &m_context,
      model::Endpoint{boost::asio::ip::make_address(Address(4, 1)), 18'000});
  m_store->set_era(1);
  m_store->set_list_age(m_list_age);
  m_listeners = {
      {*model::ParseIpv4Endpoint("198.18.0.1:8443"), "tally", std::nullopt},
      {*model::ParseIpv4Endpoint("198.18.0.2:8443"), "archive", std::nullopt}};
  WriteConfiguration();
  for (const char* domain : kDomains) {
    for (const char* service : {"tally", "tally", "archive"}) {
      AddUpstream(service, domain, {});
    }
  }
}

void Scenario::SetUpHosts() {
  int number = 1;
  for (const char* domain : kDomains) {
    for (int i = 0; i < m_options.hosts_per_domain; ++i, ++number) {
      EntryProcessOptions options;
      options.program = m_options.program;
      options.directory = m_options.directory;
      options.name = fmt::format("front-{}-{}", domain, i + 1);
      options.failure_domain = domain;
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
      m_hosts.push_back(std::move(host));
    }
  }
}

void Scenario::SetUpClients() {
  ClientHooks hooks;
  hooks.pick_daemon = [this](const FlowId& flow) { return Route(flow); };
  hooks.pick_listener = [this]() {
    // For one flow in 16, also the listeners that are added and removed.
    // In planned runs half of them use the listener that was added last.
    const Listener& last = m_listeners.back();
    if (m_options.is_planned_only && !last.removed_since &&
        m_random() % 2 == 0) {
      return std::make_pair(last.endpoint, last.service);
    }
    const size_t choices = m_random() % 16 == 0 ? m_listeners.size() : 2;
    const Listener& listener = m_listeners[m_random() % choices];
    return std::make_pair(listener.endpoint, listener.service);
  };
  hooks.on_flow_reset = [this](const FlowId& flow,
                               const model::Endpoint& daemon,
                               const model::Endpoint& upstream) {
    CheckReset(flow, daemon, upstream);
  };
  for (int i = 1; i <= 4; ++i) {
    m_clients.push_back(std::make_unique<Client>(&m_context, Address(2, i),
                                                 kPacketPort, m_random(), hooks,
                                                 &m_violations));
    m_clients.back()->Start(kFlowsPerClient);
  }
}

void Scenario::WriteConfiguration() {
  std::vector<standins::ListenerObject> listeners;
  for (const Listener& listener : m_listeners) {
    if (!listener.removed_since ||
        IsDefectInjected(Invariant::kListenerRemovalHonored)) {
      listeners.push_back({listener.endpoint, listener.service});
    }
  }
  m_configuration = standins::ConfigurationSpec(
      m_configuration_version++, listeners, {"tally", "archive"});
  m_store->Put("config", "main", m_configuration);
}

Upstream* Scenario::AddUpstream(const std::string& service,
                                const std::string& domain,
                                const model::Ipv4Endpoint& endpoint) {
  UpstreamOptions options;
  options.id = (m_random() & 0xffffff) << 16 | m_next_upstream++;
  options.service = service;
  options.failure_domain = domain;
  options.endpoint = endpoint.port != 0
                         ? endpoint
                         : *model::ParseIpv4Endpoint(fmt::format(
                               "{}:{}", Address(3, 1), m_next_upstream_port++));
  options.client_port = kPacketPort;
  options.handshake_loss = m_handshake_loss;
  UpstreamHooks hooks;
  hooks.is_reachable_from = [this, domain](const std::string& daemon) {
    const auto partition = m_partitions.find(domain);
    return partition == m_partitions.end() || partition->second != daemon;
  };
  hooks.on_new_flow = [this](const UpstreamOptions& upstream,
                             const std::string& daemon,
                             const model::Ipv4Endpoint& listener) {
    CheckNewFlow(upstream, daemon, listener);
  };
  m_upstreams.push_back(std::make_unique<Upstream>(
      &m_context, options, std::move(hooks), &m_executions, &m_violations));
  m_upstreams.back()->injects_wrong_response =
      IsDefectInjected(Invariant::kResponseIntact);
  m_upstreams.back()->injects_second_execution =
      IsDefectInjected(Invariant::kAtMostOnce);
  m_upstreams.back()->injects_reset =
      IsDefectInjected(Invariant::kFlowContinuity);
  if (IsDefectInjected(Invariant::kServiceIsolation)) {
    // Registers the upstream for a service that it does not run.
    options.service = service == "tally" ? "archive" : "tally";
  }
  m_store->Put("servers", m_upstreams.back()->name(),
               standins::RegistrationSpec(options.service, options.endpoint,
                                          domain, "ready"));
  return m_upstreams.back().get();
}

void Scenario::WriteEvacuations() {
  for (const char* domain : kDomains) {
    if (m_evacuations.contains(domain)) {
      m_store->Put("evacuations", domain, json::object());
    } else {
      m_store->Remove("evacuations", domain);
    }
  }
}

void Scenario::WriteRegistration(const Upstream& upstream) {
  const UpstreamOptions& options = upstream.options();
  const bool is_draining =
      upstream.draining_since && !IsDefectInjected(Invariant::kDrainHonored);
  m_store->Put("servers", upstream.name(),
               standins::RegistrationSpec(options.service, options.endpoint,
                                          options.failure_domain,
                                          is_draining ? "draining" : "ready"));
}

void Scenario::RunFor(milliseconds time) {
  m_context.restart();
  m_context.run_for(time);
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
  const model::Endpoint target = host->process->readiness();
  probe->socket.async_connect(
      {target.address, target.port},
      [probe](const boost::system::error_code& error) {
        if (error) {
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
                  });
            });
      });
  probe->timer.expires_after(kReadinessInterval / 2);
  probe->timer.async_wait([host, probe](const boost::system::error_code&) {
    boost::system::error_code ignored;
    probe->socket.close(ignored);
    host->failed_probes = probe->is_ready ? 0 : host->failed_probes + 1;
    host->is_in_rotation =
        probe->is_ready ||
        (host->is_in_rotation && host->failed_probes < kMaxReadinessMisses);
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
  }
}

bool Scenario::InjectDefectiveChange() {
  // These defects are detected only on hosts that no other fault affects.
  if (IsDefectInjected(Invariant::kDrainHonored)) {
    DrainUpstream();
  } else if (IsDefectInjected(Invariant::kEvacuationHonored)) {
    EvacuateDomain();
  } else if (IsDefectInjected(Invariant::kListenerRemovalHonored)) {
    AddOrRemoveListener();
    AddOrRemoveListener();
  } else {
    return false;
  }
  ++m_fault_count;
  return true;
}

model::Endpoint Scenario::Route(const FlowId& flow) const {
  // Rendezvous hashing over the hosts in rotation, or over all hosts if none is
  // in rotation.
  const bool any_ready =
      std::any_of(m_hosts.begin(), m_hosts.end(),
                  [](const Host& host) { return host.is_in_rotation; });
  uint64_t best_score = 0;
  model::Endpoint best;
  for (const Host& host : m_hosts) {
    if (any_ready && !host.is_in_rotation) {
      continue;
    }
    const uint64_t score =
        std::hash<std::string>()(fmt::format(
            "{}{}{}", model::ToString(flow.first), model::ToString(flow.second),
            host.process->options().name)) |
        1;
    if (score > best_score) {
      best_score = score;
      best = {boost::asio::ip::make_address(host.process->options().address),
              kPacketPort};
    }
  }
  return best;
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

Scenario::Host* Scenario::RandomHost() {
  return &m_hosts[m_random() % m_hosts.size()];
}

Upstream* Scenario::RandomUpstream() {
  while (true) {
    Upstream* upstream = m_upstreams[m_random() % m_upstreams.size()].get();
    if (upstream->is_running()) {
      return upstream;
    }
  }
}

std::string Scenario::RandomDomain() {
  return kDomains[m_random() % kDomains.size()];
}

milliseconds Scenario::RandomDuration(int min_ms, int max_ms) {
  return milliseconds(min_ms +
                      static_cast<int>(m_random() % (max_ms - min_ms)));
}

void Scenario::RunAfter(milliseconds delay, std::function<void()> action) {
  auto timer = std::make_shared<boost::asio::steady_timer>(m_context, delay);
  timer->async_wait([timer, action = std::move(action)](
                        const boost::system::error_code&) { action(); });
}

void Scenario::MarkDisturbed(Host* host, milliseconds time) {
  host->process->disturbed_until =
      std::max(host->process->disturbed_until, Clock::now() + time);
}

bool Scenario::IsSettled(Clock::time_point disturbed_until) const {
  return Clock::now() > disturbed_until + kSettleTime;
}

}  // namespace poplarsail::soak
