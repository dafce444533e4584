#include <array>
#include <csignal>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "soak/scenario.h"

namespace poplarsail::soak {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// A registration lapses after three heartbeats of 770 ms.
constexpr milliseconds kLapseTime{2'300};
// The bound for using an address again.
constexpr milliseconds kAddressReuse{2'000};
constexpr milliseconds kLeaveTime{7'000};
// Ports of listeners that come and go.
constexpr size_t kFirstExtraPort = 9'000;

}  // namespace

void Scenario::KillHost() {
  // Now and then several at once.
  const int count =
      m_random() % 4 == 0 ? static_cast<int>(m_hosts.size()) / 2 : 1;
  for (int i = 0; i < count; ++i) {
    Host* host = RandomHost();
    Disturb(host, milliseconds(0));
    host->process->is_kill_expected = true;
    host->process->Signal(SIGKILL);
  }
}

void Scenario::PauseHost() {
  Host* host = RandomHost();
  const milliseconds time = Between(200, 2'500);
  Disturb(host, time);
  host->process->Signal(SIGSTOP);
  Later(time, [host]() { host->process->Signal(SIGCONT); });
}

void Scenario::RestartHost() {
  Host* host = RandomHost();
  if (host->process->stop_deadline) {
    return;
  }
  Disturb(host, milliseconds(0));
  host->process->stop_deadline = Clock::now() + kStopGrace;
  host->process->Signal(SIGTERM);
}

void Scenario::ReloadHost() {
  RandomHost()->process->Signal(SIGHUP);
}

void Scenario::HarmStorePath() {
  static constexpr std::array<ProxyMode, 4> kModes = {
      ProxyMode::kDelay, ProxyMode::kReset, ProxyMode::kDropResponses,
      ProxyMode::kBlackhole};
  Host* host = RandomHost();
  const milliseconds time = Between(500, 3'000);
  Disturb(host, time);
  host->store_proxy->set_mode(kModes[m_random() % kModes.size()]);
  Later(time, [host]() { host->store_proxy->set_mode(ProxyMode::kPass); });
}

void Scenario::HarmStore() {
  static constexpr std::array<standins::StoreMode, 5> kModes = {
      standins::StoreMode::kUnavailable, standins::StoreMode::kThrottled,
      standins::StoreMode::kUnresponsive, standins::StoreMode::kReset,
      standins::StoreMode::kDropResponses};
  const milliseconds time = Between(300, 3'000);
  m_store_disturbed = std::max(m_store_disturbed, Clock::now() + time);
  if (m_random() % 4 == 0) {
    m_store->Compact();
  }
  m_store->set_mode(kModes[m_random() % kModes.size()]);
  Later(time, [this]() { m_store->set_mode(standins::StoreMode::kServe); });
}

void Scenario::CutDomain() {
  Host* host = RandomHost();
  const std::string domain = RandomDomain();
  const milliseconds time = Between(500, 3'000);
  Disturb(host, time);
  m_cuts[domain] = host->process->options().address;
  for (const auto& upstream : m_upstreams) {
    if (upstream->options().failure_domain == domain) {
      m_upstream_disturbed[upstream->options().id] = Clock::now() + time;
    }
  }
  Later(time, [this, domain]() { m_cuts.erase(domain); });
}

void Scenario::CrashUpstream() {
  Upstream* upstream = RandomUpstream();
  const std::string name = upstream->name();
  const std::string service = upstream->options().service;
  const std::string domain = upstream->options().failure_domain;
  upstream->Crash();
  Later(kLapseTime, [this, name, service, domain]() {
    m_store->Remove("servers", name);
    AddUpstream(service, domain, {});
  });
}

void Scenario::DrainUpstream() {
  Upstream* upstream = RandomUpstream();
  if (upstream->draining_since) {
    return;
  }
  AddUpstream(upstream->options().service, upstream->options().failure_domain,
              {});
  if (!IsPlanted(Promise::kDrained)) {
    Register(*upstream, "draining");
  }
  upstream->draining_since = Clock::now();
  Later(kLeaveTime, [this, upstream]() {
    m_store->Remove("servers", upstream->name());
    upstream->Crash();
  });
}

void Scenario::ReuseAddress() {
  Upstream* upstream = RandomUpstream();
  const UpstreamOptions options = upstream->options();
  upstream->Crash();
  const std::string name = upstream->name();
  const std::string successor =
      options.service == "tally" ? "archive" : "tally";
  Later(kAddressReuse, [this, options, successor, name]() {
    AddUpstream(successor, options.failure_domain, options.endpoint);
    AddUpstream(options.service, options.failure_domain, {});
    m_store->Remove("servers", name);
  });
}

void Scenario::GrowService() {
  AddUpstream(m_random() % 3 == 0 ? "archive" : "tally", RandomDomain(), {});
}

void Scenario::TakeOutDomain() {
  if (!m_take_outs.empty()) {
    return;
  }
  const std::string domain = RandomDomain();
  if (!IsPlanted(Promise::kTakenOut)) {
    m_store->Put("evacuations", domain, json::object());
  }
  m_take_outs[domain] = Clock::now();
  Later(Between(4'000, 8'000), [this, domain]() {
    m_store->Remove("evacuations", domain);
    m_take_outs.erase(domain);
  });
}

void Scenario::ChangeListeners() {
  // The first two stay; others come and go.
  if (m_listeners.size() > 2 && !m_listeners.back().removed_since) {
    m_listeners.back().removed_since = Clock::now();
  } else {
    const size_t port = kFirstExtraPort + m_listeners.size();
    m_listeners.push_back(
        {*model::ParseIpv4Endpoint(fmt::format("198.18.0.3:{}", port)), "tally",
         std::nullopt});
  }
  WriteConfiguration();
}

}  // namespace poplarsail::soak
