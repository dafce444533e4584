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
// A host is judged once nothing has disturbed it for this long.
constexpr milliseconds kStableWindow{4'000};
constexpr milliseconds kRecoveryTime{12'000};
constexpr double kRecoveredShare = 0.9;
// The target of a whole daemon, control included, is 128 MB.
constexpr uint64_t kMaxResidentBytes = 128 << 20;
// The fabric asks twice a second and gives a host up after two misses.
constexpr milliseconds kReadinessInterval{500};
constexpr int kReadinessMisses = 2;
constexpr int kFlowsPerCaller = 12;

}  // namespace

Scenario::Scenario(ScenarioOptions options)
    : m_options(std::move(options)), m_random(m_options.seed) {}

Scenario::~Scenario() = default;

std::string Scenario::Address(int group, int number) const {
  return fmt::format("127.{}.{}.{}", m_options.network, group, number);
}

ScenarioResult Scenario::Run() {
  BuildStore();
  BuildHosts();
  PollHosts();
  WaitUntilServing();
  BuildCallers();
  RunFor(milliseconds(1'000));
  InjectFaults();
  RunFor(m_options.fault_time);
  CheckRecovery();
  EndAll();
  ScenarioResult result;
  for (const auto& caller : m_callers) {
    result.counts.asked += caller->counts().asked;
    result.counts.served += caller->counts().served;
    result.counts.failed += caller->counts().failed;
    result.counts.resets += caller->counts().resets;
  }
  result.faults = m_fault_count;
  result.violations = m_violations.details();
  return result;
}

void Scenario::BuildStore() {
  m_store = std::make_unique<standins::FakePlatformStore>(
      &m_context,
      model::Endpoint{boost::asio::ip::make_address(Address(4, 1)), 18'000});
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

void Scenario::BuildHosts() {
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
      Host host;
      host.store_proxy = std::make_unique<TcpProxy>(&m_context, options.store,
                                                    m_store->endpoint());
      host.process = std::make_unique<EntryProcess>(std::move(options));
      host.process->Start();
      m_hosts.push_back(std::move(host));
    }
  }
}

void Scenario::BuildCallers() {
  CallerHooks hooks;
  hooks.route = [this](const FlowId& flow) { return Route(flow); };
  hooks.choose = [this]() {
    // Now and then one that was added late or removed.
    const size_t choices = m_random() % 16 == 0 ? m_listeners.size() : 2;
    const Listener& listener = m_listeners[m_random() % choices];
    return std::make_pair(listener.endpoint, listener.service);
  };
  hooks.reset = [this](const FlowId& flow, const model::Endpoint& daemon) {
    CheckReset(flow, daemon);
  };
  for (int i = 1; i <= 4; ++i) {
    m_callers.push_back(std::make_unique<Caller>(&m_context, Address(2, i),
                                                 kPacketPort, m_random(), hooks,
                                                 &m_violations));
    m_callers.back()->Start(kFlowsPerCaller);
  }
}

void Scenario::WriteConfiguration() {
  std::vector<standins::ListenerObject> listeners;
  for (const Listener& listener : m_listeners) {
    if (!listener.removed_since || IsPlanted(Promise::kConfigured)) {
      listeners.push_back({listener.endpoint, listener.service});
    }
  }
  m_store->Put("config", "main",
               standins::ConfigurationSpec(m_configuration_version++, listeners,
                                           {"tally", "archive"}));
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
  UpstreamHooks hooks;
  hooks.is_reachable_from = [this, domain](const std::string& daemon) {
    const auto cut = m_cuts.find(domain);
    return cut == m_cuts.end() || cut->second != daemon;
  };
  hooks.on_new_flow = [this](const UpstreamOptions& upstream,
                        const std::string& daemon,
                        const model::Ipv4Endpoint& listener) {
    CheckOpened(upstream, daemon, listener);
  };
  m_upstreams.push_back(std::make_unique<Upstream>(
      &m_context, options, std::move(hooks), &m_ledger, &m_violations));
  m_upstreams.back()->plant_mixed = IsPlanted(Promise::kNoMixedAnswer);
  m_upstreams.back()->plant_second_run = IsPlanted(Promise::kRunOnce);
  m_upstreams.back()->plant_reset = IsPlanted(Promise::kFlowKept);
  if (IsPlanted(Promise::kNoCrossedService)) {
    // Registered for another service than the one that it runs.
    options.service = service == "tally" ? "archive" : "tally";
  }
  m_store->Put("servers", m_upstreams.back()->name(),
               standins::RegistrationSpec(options.service, options.endpoint,
                                          domain, "ready"));
  return m_upstreams.back().get();
}

void Scenario::Register(const Upstream& upstream, const char* state) {
  json spec = m_store->Spec("servers", upstream.name());
  spec["state"] = state;
  m_store->Put("servers", upstream.name(), spec);
}

void Scenario::RunFor(milliseconds time) {
  m_context.restart();
  m_context.run_for(time);
}

void Scenario::WaitUntilServing() {
  const auto give_up = Clock::now() + kRecoveryTime;
  const auto is_serving = [](const Host& host) { return host.is_in_rotation; };
  while (!std::all_of(m_hosts.begin(), m_hosts.end(), is_serving)) {
    if (Clock::now() > give_up) {
      m_violations.Report(Promise::kRecovered, "a host did not get ready");
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
  Later(kReadinessInterval, [this]() { PollHosts(); });
}

void Scenario::PollReadiness(Host* host) {
  struct Question {
    explicit Question(boost::asio::io_context* context)
        : socket(*context), timer(*context) {}
    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
    std::array<char, 64> answer{};
    std::string text = standins::kReadinessRequest;
    bool is_ready = false;
  };
  auto question = std::make_shared<Question>(&m_context);
  const model::Endpoint target = host->process->readiness();
  question->socket.async_connect(
      {target.address, target.port},
      [question](const boost::system::error_code& error) {
        if (error) {
          return;
        }
        boost::asio::async_write(
            question->socket, boost::asio::buffer(question->text),
            [question](const boost::system::error_code&, size_t) {
              question->socket.async_read_some(
                  boost::asio::buffer(question->answer),
                  [question](const boost::system::error_code&, size_t size) {
                    const std::string head(question->answer.data(), size);
                    question->is_ready = head.find(" 200 ") < 16;
                  });
            });
      });
  question->timer.expires_after(kReadinessInterval / 2);
  question->timer.async_wait(
      [host, question](const boost::system::error_code&) {
        boost::system::error_code ignored;
        question->socket.close(ignored);
        host->misses = question->is_ready ? 0 : host->misses + 1;
        host->is_in_rotation =
            question->is_ready ||
            (host->is_in_rotation && host->misses < kReadinessMisses);
      });
}

void Scenario::Supervise(Host* host) {
  EntryProcess& process = *host->process;
  const uint64_t most =
      IsPlanted(Promise::kMemoryBounded) ? 1 : kMaxResidentBytes;
  if (process.is_running() && process.ResidentBytes() > most) {
    m_violations.Report(Promise::kMemoryBounded, process.options().name);
  }
  if (process.stop_deadline && Clock::now() > *process.stop_deadline) {
    m_violations.Report(Promise::kProcessSound,
                        process.options().name + " outlived its grace");
    process.stop_deadline.reset();
    process.is_kill_expected = true;
    process.Signal(SIGKILL);
  }
  const auto status = process.Reap();
  if (!status) {
    return;
  }
  const bool is_told =
      process.stop_deadline && WIFEXITED(*status) && WEXITSTATUS(*status) == 0;
  if (!is_told && !process.is_kill_expected) {
    m_violations.Report(Promise::kProcessSound,
                        fmt::format("{} ended with status {}",
                                    process.options().name, *status));
  }
  if (m_is_supervising) {
    Disturb(host, milliseconds(0));
    process.Start();
  }
}

void Scenario::InjectFaults() {
  using Fault = void (Scenario::*)();
  static constexpr std::array<Fault, 13> kFaults = {
      &Scenario::KillHost,       &Scenario::PauseHost,
      &Scenario::RestartHost,    &Scenario::ReloadHost,
      &Scenario::HarmStorePath,  &Scenario::HarmStore,
      &Scenario::CutDomain,      &Scenario::CrashUpstream,
      &Scenario::DrainUpstream,  &Scenario::ReuseAddress,
      &Scenario::GrowService,    &Scenario::TakeOutDomain,
      &Scenario::ChangeListeners};
  if (InjectPlantedChange()) {
    return;
  }
  // The whole schedule is drawn before anything runs, so that a seed repeats
  // it; which host or upstream is hit is drawn with it.
  milliseconds at{0};
  while (at < m_options.fault_time) {
    const Fault fault = kFaults[m_random() % kFaults.size()];
    const uint64_t fault_seed = m_random();
    Later(at, [this, fault, fault_seed]() {
      std::mt19937_64 kept =
          std::exchange(m_random, std::mt19937_64(fault_seed));
      ++m_fault_count;
      (this->*fault)();
      m_random = kept;
    });
    at += Between(150, 900);
  }
}

bool Scenario::InjectPlantedChange() {
  // These turn red only on hosts that nothing else disturbs.
  if (IsPlanted(Promise::kDrained)) {
    DrainUpstream();
  } else if (IsPlanted(Promise::kTakenOut)) {
    TakeOutDomain();
  } else if (IsPlanted(Promise::kConfigured)) {
    ChangeListeners();
    ChangeListeners();
  } else {
    return false;
  }
  ++m_fault_count;
  return true;
}

model::Endpoint Scenario::Route(const FlowId& flow) const {
  // Rendezvous hash over the hosts in rotation; over all where none is.
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
    Disturb(&host, milliseconds(0));
    host.process->is_kill_expected = true;
    host.process->Signal(SIGKILL);
    host.store_proxy->set_mode(ProxyMode::kPass);
  }
  m_store->set_mode(standins::StoreMode::kServe);
  m_is_supervising = !IsPlanted(Promise::kRecovered);
  RunFor(kRecoveryTime);
  const auto total = [this]() {
    CallerCounts sum;
    for (const auto& caller : m_callers) {
      sum.served += caller->counts().served;
      sum.failed += caller->counts().failed;
    }
    return sum;
  };
  const CallerCounts before = total();
  RunFor(milliseconds(2'000));
  const CallerCounts after = total();
  const auto served = static_cast<double>(after.served - before.served);
  const auto failed = static_cast<double>(after.failed - before.failed);
  if (served == 0 || served / (served + failed) < kRecoveredShare) {
    m_violations.Report(Promise::kRecovered,
                        fmt::format("{} served, {} failed", served, failed));
  }
}

void Scenario::EndAll() {
  for (const auto& caller : m_callers) {
    caller->Stop();
  }
  m_is_supervising = false;
  for (Host& host : m_hosts) {
    host.process->is_kill_expected = false;
    host.process->stop_deadline = Clock::now() + kStopGrace;
    host.process->Signal(IsPlanted(Promise::kProcessSound) ? SIGABRT : SIGTERM);
  }
  const auto is_ended = [](const Host& host) {
    return !host.process->is_running();
  };
  const auto give_up = Clock::now() + kStopGrace + milliseconds(1'000);
  while (!std::all_of(m_hosts.begin(), m_hosts.end(), is_ended) &&
         Clock::now() < give_up) {
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

milliseconds Scenario::Between(int least_ms, int most_ms) {
  return milliseconds(least_ms +
                      static_cast<int>(m_random() % (most_ms - least_ms)));
}

void Scenario::Later(milliseconds delay, std::function<void()> action) {
  auto timer = std::make_shared<boost::asio::steady_timer>(m_context, delay);
  timer->async_wait([timer, action = std::move(action)](
                        const boost::system::error_code&) { action(); });
}

void Scenario::Disturb(Host* host, milliseconds time) {
  host->process->disturbed_until =
      std::max(host->process->disturbed_until, Clock::now() + time);
}

bool Scenario::IsCalm(Clock::time_point disturbed_until) const {
  return Clock::now() > disturbed_until + kStableWindow;
}

}  // namespace poplarsail::soak
