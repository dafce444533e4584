#include <array>
#include <csignal>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "soak/scenario.h"
#include "standins/platform_objects.h"

namespace poplarsail::soak {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// A registration expires after three heartbeat intervals of 770 ms.
constexpr milliseconds kRegistrationExpiry{2'300};
// The address of an upstream may be reused after this time.
constexpr milliseconds kAddressReuseDelay{2'000};
constexpr milliseconds kDrainTime{7'000};
// Age of the copy that the store is restored from, at the most.
constexpr milliseconds kSnapshotInterval{3'000};
// Owners write their objects again within this time after a restore.
constexpr milliseconds kRewriteTime{1'800};
// First port of the listeners that are added and removed.
constexpr size_t kFirstExtraPort = 9'000;

}  // namespace

void Scenario::KillHost() {
  // Kills several hosts at once in one case out of four.
  const int count =
      m_random() % 4 == 0 ? static_cast<int>(m_hosts.size()) / 2 : 1;
  for (int i = 0; i < count; ++i) {
    Host* host = RandomHost();
    MarkDisturbed(host, milliseconds(0));
    host->process->is_kill_expected = true;
    host->process->Signal(SIGKILL);
  }
}

void Scenario::PauseHost() {
  Host* host = RandomHost();
  const milliseconds time = RandomDuration(200, 2'500);
  MarkDisturbed(host, time);
  host->process->Hold(HoldReason::kFault);
  RunAfter(time, [host]() { host->process->Release(HoldReason::kFault); });
}

void Scenario::RestartHost() {
  Host* host = RandomHost();
  if (host->process->stop_deadline) {
    return;
  }
  MarkDisturbed(host, milliseconds(0));
  host->process->stop_deadline = Clock::now() + kStopGrace;
  host->process->Signal(SIGTERM);
}

void Scenario::ReloadHost() {
  RandomHost()->process->Signal(SIGHUP);
}

void Scenario::InjectStoreConnectionFault() {
  static constexpr std::array<ProxyMode, 4> kModes = {
      ProxyMode::kDelay, ProxyMode::kReset, ProxyMode::kDropResponses,
      ProxyMode::kBlackhole};
  Host* host = RandomHost();
  const milliseconds time = RandomDuration(500, 3'000);
  MarkDisturbed(host, time);
  host->store_proxy->set_mode(kModes[m_random() % kModes.size()]);
  RunAfter(time, [host]() { host->store_proxy->set_mode(ProxyMode::kPass); });
}

void Scenario::InjectStoreFault() {
  static constexpr std::array<standins::StoreMode, 5> kModes = {
      standins::StoreMode::kUnavailable, standins::StoreMode::kThrottled,
      standins::StoreMode::kUnresponsive, standins::StoreMode::kReset,
      standins::StoreMode::kDropResponses};
  const milliseconds time = RandomDuration(300, 3'000);
  m_store_disturbed_until =
      std::max(m_store_disturbed_until, Clock::now() + time);
  if (m_random() % 4 == 0) {
    m_store->Compact();
  }
  m_store->set_mode(kModes[m_random() % kModes.size()]);
  RunAfter(time, [this]() { m_store->set_mode(standins::StoreMode::kServe); });
}

void Scenario::SnapshotStore() {
  m_store->TakeSnapshot();
  RunAfter(kSnapshotInterval, [this]() { SnapshotStore(); });
}

void Scenario::RestoreStore() {
  const milliseconds time = RandomDuration(50, 800);
  m_store_disturbed_until =
      std::max(m_store_disturbed_until, Clock::now() + time + 2 * kRewriteTime);
  m_store->set_mode(standins::StoreMode::kReset);
  RunAfter(time, [this]() {
    m_store->Restore();
    m_store->set_mode(standins::StoreMode::kServe);
    RewriteObjects();
  });
}

void Scenario::RewriteObjects() {
  for (const auto& owner : m_upstreams) {
    const Upstream* upstream = owner.get();
    RunAfter(RandomDuration(50, kRewriteTime.count()), [this, upstream]() {
      if (upstream->is_running()) {
        WriteRegistration(*upstream);
      }
    });
    // The store removes the registrations of owners that are gone.
    RunAfter(kRegistrationExpiry, [this, upstream]() {
      if (!upstream->is_running()) {
        m_store->Remove("servers", upstream->name());
      }
    });
  }
  RunAfter(RandomDuration(50, kRewriteTime.count()), [this]() {
    m_store->Put("config", "main", m_configuration);
    WriteEvacuations();
  });
}

void Scenario::SilenceStoreBetweenChanges() {
  // Hosts send their next watches 300 to 500 ms after a change.
  const milliseconds pause = RandomDuration(50, 280);
  const milliseconds time = RandomDuration(200, 1'000);
  AddOrRemoveListener();
  ScaleUpService();
  RunAfter(pause, [this, time]() {
    m_store_disturbed_until =
        std::max(m_store_disturbed_until, Clock::now() + time);
    m_store->set_mode(standins::StoreMode::kUnresponsive);
    RunAfter(time,
             [this]() { m_store->set_mode(standins::StoreMode::kServe); });
  });
  for (const Fault change :
       {&Scenario::DrainUpstream, &Scenario::AddOrRemoveListener,
        &Scenario::EvacuateDomain}) {
    ScheduleFault(pause + RandomDuration(0, time.count() + 500), change,
                  m_random());
  }
}

void Scenario::PartitionHostFromDomain() {
  Host* host = RandomHost();
  const std::string domain = RandomDomain();
  const milliseconds time = RandomDuration(500, 3'000);
  MarkDisturbed(host, time);
  m_partitions[domain] = host->process->options().address;
  for (const auto& upstream : m_upstreams) {
    if (upstream->options().failure_domain == domain) {
      m_upstream_disturbed_until[upstream->options().id] = Clock::now() + time;
    }
  }
  RunAfter(time, [this, domain]() { m_partitions.erase(domain); });
}

void Scenario::CrashUpstream() {
  Upstream* upstream = RandomUpstream();
  const std::string name = upstream->name();
  const std::string service = upstream->options().service;
  const std::string domain = upstream->options().failure_domain;
  upstream->Crash();
  RunAfter(kRegistrationExpiry, [this, name, service, domain]() {
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
  upstream->draining_since = Clock::now();
  WriteRegistration(*upstream);
  RunAfter(kDrainTime, [this, upstream]() {
    m_store->Remove("servers", upstream->name());
    upstream->Crash();
  });
}

void Scenario::ReuseAddress() {
  Upstream* upstream = RandomUpstream();
  const UpstreamOptions options = upstream->options();
  upstream->Crash();
  const std::string name = upstream->name();
  const std::string new_service =
      options.service == "tally" ? "archive" : "tally";
  RunAfter(kAddressReuseDelay, [this, upstream, options, new_service, name]() {
    upstream->ReleaseAddress();
    AddUpstream(new_service, options.failure_domain, options.endpoint);
    AddUpstream(options.service, options.failure_domain, {});
    m_store->Remove("servers", name);
  });
}

void Scenario::ScaleUpService() {
  AddUpstream(m_random() % 3 == 0 ? "archive" : "tally", RandomDomain(), {});
}

void Scenario::WriteOddEntry() {
  const std::vector<std::string> specs = standins::OddRegistrationTexts();
  const std::string name =
      fmt::format("i-{:010x}", 0xffff000000 + m_random() % 4);
  m_store->PutText("servers", name, specs[m_random() % specs.size()]);
}

void Scenario::EvacuateDomain() {
  if (!m_evacuations.empty()) {
    return;
  }
  const std::string domain = RandomDomain();
  if (!IsDefectInjected(Invariant::kEvacuationHonored)) {
    m_store->Put("evacuations", domain, json::object());
  }
  m_evacuations[domain] = Clock::now();
  RunAfter(RandomDuration(4'000, 8'000), [this, domain]() {
    m_store->Remove("evacuations", domain);
    m_evacuations.erase(domain);
  });
}

void Scenario::AddOrRemoveListener() {
  // The first two listeners are permanent; others are added and removed.
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
