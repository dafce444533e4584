// Control of a FleetSimulation: plans, members and messages between hosts, and
// when they reach each host.

#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "measure/fleet_simulation_internal.h"

namespace poplarsail::measure {

namespace {

constexpr int64_t kAnnounceMs = 2'500;
constexpr int64_t kLeaveMs = 1'000;
// Time from a change to a new plan's arrival at a host.
constexpr int64_t kUpdateLeastMs = 20;
constexpr int64_t kUpdateMostMs = 400;
constexpr int64_t kLateMs = 2'000;
constexpr int64_t kRetryMs = 500;
// How late the platform's list of hosts reaches a host, and the fabric.
constexpr int64_t kListLeastMs = 500;
constexpr int64_t kListMostMs = 3'000;
// One way between two hosts.
constexpr int64_t kLinkLeastMs = 1;
constexpr int64_t kLinkMostMs = 8;
constexpr double kLossShare = 0.05;
constexpr size_t kUdpOverheadBytes = 28;

}  // namespace

void FleetSimulation::MembersChanged() {
  m_members_pending = m_platform_away;
  if (m_platform_away) {
    return;
  }
  m_members.clear();
  for (const auto& host : m_hosts) {
    if (host->is_listed) {
      m_members.push_back({host->name,
                           fmt::format("d{}", host->domain),
                           {},
                           host->replica_from,
                           host->replica_until});
    }
  }
  const auto members =
      std::make_shared<const std::vector<steering::Member>>(m_members);
  std::uniform_int_distribution<int64_t> lag(kListLeastMs, kListMostMs);
  for (size_t i = 0; i < m_hosts.size(); ++i) {
    Host& host = *m_hosts[i];
    host.members_until_ms =
        std::max(host.members_until_ms, m_now_ms + lag(m_random));
    Deliver(static_cast<int>(i), host.members_until_ms, {.members = members});
  }
}

void FleetSimulation::TakeMembers(
    Host* host,
    const std::vector<steering::Member>& members) {
  host->members = members;
  std::vector<std::string> names;
  for (const steering::Member& member : members) {
    names.push_back(member.name);
  }
  host->detector->SetPeers(names, Now());
  RefreshKeepers(host);
}

void FleetSimulation::RefreshKeepers(Host* host) {
  auto keepers = steering::ReplicaHostsAt(host->members, Now());
  const auto dead = host->detector->DeadPeers();
  std::erase_if(keepers, [&dead](const steering::Member& member) {
    return std::binary_search(dead.begin(), dead.end(), member.name);
  });
  std::vector<std::string> names;
  for (const steering::Member& keeper : keepers) {
    names.push_back(keeper.name);
  }
  auto& map = m_keeper_maps[names];
  if (map == nullptr) {
    std::vector<std::string> domains;
    for (int i = 0; i < m_options.domains; ++i) {
      domains.push_back(fmt::format("d{}", i));
    }
    map = std::make_shared<const steering::ReplicaMap>(keepers, domains);
  }
  host->next_keeper_change = steering::NextReplicaChange(host->members, Now());
  host->steering->SetMembers(map, Now());
}

void FleetSimulation::Replan() {
  m_plan_pending = m_platform_away;
  if (m_platform_away) {
    return;
  }
  steering::DesiredService goal;
  goal.service = "tally";
  goal.address = *model::ParseEndpoint("203.0.113.10:443");
  goal.hash_seed = m_options.seed * 7919 + 1;
  for (size_t i = 0; i < m_upstreams.size(); ++i) {
    const Upstream& upstream = m_upstreams[i];
    if (!upstream.is_present) {
      continue;
    }
    goal.upstreams.push_back(
        {upstream.name,
         *model::ParseEndpoint(fmt::format("192.0.2.{}:443", i + 1)),
         fmt::format("d{}", upstream.domain), upstream.weight});
  }
  const auto next =
      steering::NextPlan(m_plan.get(), goal,
                         {Now(), Now() + std::chrono::milliseconds(kAnnounceMs),
                          Now() + std::chrono::milliseconds(kLeaveMs)});
  if (!next) {
    return;
  }
  m_plan = std::make_shared<const steering::ServicePlan>(*next);
  for (size_t i = 0; i < m_hosts.size(); ++i) {
    Deliver(static_cast<int>(i), DeliveryTime(static_cast<int>(i)),
            {.plan = m_plan});
  }
  const size_t bytes =
      nlohmann::json::to_msgpack(steering::ToJson(*m_plan)).size();
  m_control_bytes_this_second += static_cast<double>(bytes);
}

int64_t FleetSimulation::DeliveryTime(int host) {
  std::uniform_int_distribution<int64_t> delay(kUpdateLeastMs, kUpdateMostMs);
  int64_t at_ms = m_now_ms + delay(m_random);
  if (m_half_late && host % 2 == 1) {
    at_ms += kLateMs;
  }
  std::bernoulli_distribution is_lost(kLossShare);
  while (m_is_lossy && is_lost(m_random)) {
    at_ms += kRetryMs;
  }
  return at_ms;
}

void FleetSimulation::Deliver(int host, int64_t at_ms, Delivery delivery) {
  m_deliveries.emplace(at_ms, std::make_pair(host, std::move(delivery)));
}

void FleetSimulation::RunDeliveries() {
  for (const auto& host : m_hosts) {
    if (host->ends_at_ms <= m_now_ms) {
      host->is_up = false;
    }
    if (host->is_up && host->next_keeper_change <= Now()) {
      RefreshKeepers(host.get());
    }
  }
  while (!m_deliveries.empty() && m_deliveries.begin()->first <= m_now_ms) {
    const auto [host_index, delivery] = m_deliveries.begin()->second;
    m_deliveries.erase(m_deliveries.begin());
    Host& host = *m_hosts[host_index];
    if (!host.is_up) {
      // A paused host reads what waited when it goes on.
      if (host.ends_at_ms == INT64_MAX && delivery.peer_message == nullptr) {
        Deliver(host_index, m_now_ms + kRetryMs, delivery);
      }
      continue;
    }
    if (delivery.plan != nullptr) {
      host.steering->SetPlan(delivery.plan);
    }
    if (delivery.members != nullptr) {
      TakeMembers(&host, *delivery.members);
    }
    if (delivery.peer_message != nullptr) {
      SendAll(host_index,
              host.detector->Receive(*delivery.peer_message, Now()));
      NoteDetector(&host);
    }
    if (delivery.digest != nullptr) {
      host.steering->ReceiveDigest(*delivery.digest, Now());
    }
  }
}

bool FleetSimulation::IsCut(int domain, int other_domain) const {
  return domain != other_domain &&
         (m_domain_cut[domain] || m_domain_cut[other_domain]);
}

int FleetSimulation::FindHost(const std::string& name) const {
  for (size_t i = 0; i < m_hosts.size(); ++i) {
    if (m_hosts[i]->name == name) {
      return static_cast<int>(i);
    }
  }
  return -1;
}

void FleetSimulation::RunFailureDetectors() {
  for (size_t i = 0; i < m_hosts.size(); ++i) {
    if (m_hosts[i]->is_up) {
      SendAll(static_cast<int>(i), m_hosts[i]->detector->Tick(Now()));
      NoteDetector(m_hosts[i].get());
    }
  }
}

void FleetSimulation::SendAll(
    int from,
    const std::vector<membership::OutgoingMessage>& messages) {
  std::uniform_int_distribution<int64_t> delay(kLinkLeastMs, kLinkMostMs);
  std::bernoulli_distribution is_lost(kLossShare);
  for (const membership::OutgoingMessage& item : messages) {
    m_control_bytes_this_second +=
        static_cast<double>(membership::Encode(item.message).size() +
                            kUdpOverheadBytes) /
        static_cast<double>(m_hosts.size());
    const int to = FindHost(item.to);
    const bool is_delivered =
        to >= 0 && !IsCut(m_hosts[from]->domain, m_hosts[to]->domain) &&
        !(m_is_lossy && is_lost(m_random));
    if (!is_delivered) {
      continue;
    }
    Deliver(to, m_now_ms + delay(m_random),
            {.peer_message =
                 std::make_shared<const membership::Message>(item.message)});
  }
}

void FleetSimulation::NoteDetector(Host* host) {
  if (host->detector->refutation_count() != host->seen_refutations) {
    host->seen_refutations = host->detector->refutation_count();
    host->steering->HandleProcessPause(Now());
  }
  if (host->detector->change_count() != host->seen_changes) {
    host->seen_changes = host->detector->change_count();
    RefreshKeepers(host);
  }
}

void FleetSimulation::SpreadDigests() {
  for (size_t from = 0; from < m_hosts.size(); ++from) {
    if (!m_hosts[from]->is_up) {
      continue;
    }
    const auto digest =
        std::make_shared<const Digest>(m_hosts[from]->steering->TakeDigest());
    if (digest->records.empty()) {
      continue;
    }
    // Each host receives what each other host sends.
    m_control_bytes_this_second += static_cast<double>(digest->wire_bytes);
    for (size_t to = 0; to < m_hosts.size(); ++to) {
      if (to != from) {
        Deliver(static_cast<int>(to), DeliveryTime(static_cast<int>(to)),
                {.digest = digest});
      }
    }
  }
}

}  // namespace poplarsail::measure
