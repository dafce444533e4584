#include "soak/scenario.h"

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "standins/platform_objects.h"

namespace poplarsail::soak {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::array<const char*, 6> kDomainNames = {
    "regina", "saskatoon", "brandon", "estevan", "melfort", "weyburn"};
// A host is checked once no fault has affected it for this long.
constexpr milliseconds kSettleTime{4'000};

}  // namespace

Scenario::Scenario(ScenarioOptions options)
    : m_options(std::move(options)), m_random(m_options.seed) {
  const size_t domains = m_options.hosts_in_domains.size();
  if (domains == 0 || domains > kDomainNames.size()) {
    throw std::invalid_argument("there are 1 to 6 failure domains");
  }
  m_domains.assign(kDomainNames.begin(), kDomainNames.begin() + domains);
}

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
  result.start_times = m_start_times;
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
  const size_t domains = m_domains.size();
  const auto add = [&](const char* service, size_t total, size_t domain) {
    const size_t count = total / domains + (domain < total % domains ? 1 : 0);
    for (size_t i = 0; i < count; ++i) {
      AddUpstream(service, m_domains[domain], {});
    }
  };
  const size_t tally_upstreams =
      m_options.tally_upstreams > 0 ? m_options.tally_upstreams : 2 * domains;
  const size_t archive_upstreams =
      m_options.archive_upstreams > 0 ? m_options.archive_upstreams : domains;
  for (size_t domain = 0; domain < domains; ++domain) {
    add("tally", tally_upstreams, domain);
    add("archive", archive_upstreams, domain);
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
    m_clients.back()->Start(m_options.flows_per_client);
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
  for (const std::string& domain : m_domains) {
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
  return m_domains[m_random() % m_domains.size()];
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
