// Control plane of FleetSimulation: plans, members and messages between hosts,
// and their delivery times.

#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "measure/fleet_simulation_internal.h"

namespace poplarsail::measure {

namespace {

constexpr int64_t kAnnounceMs = 2'500;
constexpr int64_t kLeaveMs = 1'000;
// Delay from a change to the arrival of the new plan at a host.
constexpr int64_t kMinUpdateDelayMs = 20;
constexpr int64_t kMaxUpdateDelayMs = 400;
constexpr int64_t kExtraUpdateDelayMs = 2'000;
constexpr int64_t kControlRetryMs = 500;
// Delay until the platform's list of hosts reaches a host and the fabric.
constexpr int64_t kMinListDelayMs = 500;
constexpr int64_t kMaxListDelayMs = 3'000;
// One-way delay between two hosts.
constexpr int64_t kMinLinkDelayMs = 1;
constexpr int64_t kMaxLinkDelayMs = 8;
constexpr double kLossProbability = 0.05;
constexpr size_t kUdpOverheadBytes = 28;

}  // namespace

void FleetSimulation::PublishMembers() {
  m_members_pending = m_is_platform_unavailable;
  if (m_is_platform_unavailable) {
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
  std::uniform_int_distribution<int64_t> lag(kMinListDelayMs, kMaxListDelayMs);
  for (size_t i = 0; i < m_hosts.size(); ++i) {
    Host& host = *m_hosts[i];
    host.last_members_delivery_ms =
        std::max(host.last_members_delivery_ms, m_now_ms + lag(m_random));
    ScheduleDelivery(static_cast<int>(i), host.last_members_delivery_ms,
                     {.members = members});
  }
}

void FleetSimulation::ApplyMembers(
    Host* host,
    const std::vector<steering::Member>& members) {
  host->members = members;
  std::vector<std::string> names;
  for (const steering::Member& member : members) {
    names.push_back(member.name);
  }
  host->detector->SetPeers(names, Now());
  UpdateReplicaHosts(host);
}

void FleetSimulation::UpdateReplicaHosts(Host* host) {
  auto replica_hosts = steering::ReplicaHostsAt(host->members, Now());
  const auto dead = host->detector->DeadPeers();
  std::erase_if(replica_hosts, [&dead](const steering::Member& member) {
    return std::binary_search(dead.begin(), dead.end(), member.name);
  });
  std::vector<std::string> names;
  for (const steering::Member& replica_host : replica_hosts) {
    names.push_back(replica_host.name);
  }
  auto& map = m_replica_maps[names];
  if (map == nullptr) {
    std::vector<std::string> domains;
    for (int i = 0; i < m_options.domains; ++i) {
      domains.push_back(fmt::format("d{}", i));
    }
    map = std::make_shared<const steering::ReplicaMap>(replica_hosts, domains);
  }
  host->next_replica_change = steering::NextReplicaChange(host->members, Now());
  host->steering->SetMembers(map, Now());
}

void FleetSimulation::UpdatePlan() {
  m_plan_pending = m_is_platform_unavailable;
  if (m_is_platform_unavailable) {
    return;
  }
  steering::DesiredService desired_service;
  desired_service.service = "tally";
  desired_service.address = *model::ParseEndpoint("203.0.113.10:443");
  desired_service.hash_seed = m_options.seed * 7919 + 1;
  for (size_t i = 0; i < m_upstreams.size(); ++i) {
    const Upstream& upstream = m_upstreams[i];
    if (!upstream.is_present) {
      continue;
    }
    desired_service.upstreams.push_back(
        {upstream.name,
         *model::ParseEndpoint(fmt::format("192.0.2.{}:443", i + 1)),
         fmt::format("d{}", upstream.domain), upstream.weight});
  }
  const auto next =
      steering::NextPlan(m_plan.get(), desired_service,
                         {Now(), Now() + std::chrono::milliseconds(kAnnounceMs),
                          Now() + std::chrono::milliseconds(kLeaveMs)});
  if (!next) {
    return;
  }
  m_plan = std::make_shared<const steering::ServicePlan>(*next);
  for (size_t i = 0; i < m_hosts.size(); ++i) {
    ScheduleDelivery(static_cast<int>(i), PickDeliveryTime(static_cast<int>(i)),
                     {.plan = m_plan});
  }
  const size_t bytes =
      nlohmann::json::to_msgpack(steering::ToJson(*m_plan)).size();
  m_control_bytes_this_second += static_cast<double>(bytes);
}

int64_t FleetSimulation::PickDeliveryTime(int host) {
  std::uniform_int_distribution<int64_t> delay(kMinUpdateDelayMs,
                                               kMaxUpdateDelayMs);
  int64_t at_ms = m_now_ms + delay(m_random);
  if (m_delays_updates_to_half && host % 2 == 1) {
    at_ms += kExtraUpdateDelayMs;
  }
  std::bernoulli_distribution is_lost(kLossProbability);
  while (m_has_control_packet_loss && is_lost(m_random)) {
    at_ms += kControlRetryMs;
  }
  return at_ms;
}

void FleetSimulation::ScheduleDelivery(int host,
                                       int64_t at_ms,
                                       Delivery delivery) {
  m_deliveries.emplace(at_ms, std::make_pair(host, std::move(delivery)));
}

void FleetSimulation::ProcessDeliveries() {
  for (const auto& host : m_hosts) {
    if (host->ends_at_ms <= m_now_ms) {
      host->is_up = false;
    }
    if (host->is_up && host->next_replica_change <= Now()) {
      UpdateReplicaHosts(host.get());
    }
  }
  while (!m_deliveries.empty() && m_deliveries.begin()->first <= m_now_ms) {
    const auto [host_index, delivery] = m_deliveries.begin()->second;
    m_deliveries.erase(m_deliveries.begin());
    Host& host = *m_hosts[host_index];
    if (!host.is_up) {
      // A paused host reads pending updates when it resumes.
      if (host.ends_at_ms == INT64_MAX && delivery.peer_message == nullptr) {
        ScheduleDelivery(host_index, m_now_ms + kControlRetryMs, delivery);
      }
      continue;
    }
    if (delivery.plan != nullptr) {
      host.steering->SetPlan(delivery.plan);
    }
    if (delivery.members != nullptr) {
      ApplyMembers(&host, *delivery.members);
    }
    if (delivery.peer_message != nullptr) {
      SendMessages(host_index,
                   host.detector->Receive(*delivery.peer_message, Now()));
      HandleDetectorChanges(&host);
    }
    if (delivery.digest != nullptr) {
      host.steering->ReceiveDigest(*delivery.digest, Now());
    }
  }
}

bool FleetSimulation::IsPartitioned(int domain, int other_domain) const {
  return domain != other_domain &&
         (m_partitioned_domains[domain] || m_partitioned_domains[other_domain]);
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
      SendMessages(static_cast<int>(i), m_hosts[i]->detector->Tick(Now()));
      HandleDetectorChanges(m_hosts[i].get());
    }
  }
}

void FleetSimulation::SendMessages(
    int from,
    const std::vector<membership::OutgoingMessage>& messages) {
  std::uniform_int_distribution<int64_t> delay(kMinLinkDelayMs,
                                               kMaxLinkDelayMs);
  std::bernoulli_distribution is_lost(kLossProbability);
  for (const membership::OutgoingMessage& item : messages) {
    m_control_bytes_this_second +=
        static_cast<double>(membership::Encode(item.message).size() +
                            kUdpOverheadBytes) /
        static_cast<double>(m_hosts.size());
    const int to = FindHost(item.to);
    const bool is_delivered =
        to >= 0 && !IsPartitioned(m_hosts[from]->domain, m_hosts[to]->domain) &&
        !(m_has_control_packet_loss && is_lost(m_random));
    if (!is_delivered) {
      continue;
    }
    ScheduleDelivery(
        to, m_now_ms + delay(m_random),
        {.peer_message =
             std::make_shared<const membership::Message>(item.message)});
  }
}

void FleetSimulation::HandleDetectorChanges(Host* host) {
  if (host->detector->refutation_count() != host->handled_refutations) {
    host->handled_refutations = host->detector->refutation_count();
    host->steering->MarkRecordsIncomplete(Now());
  }
  if (host->detector->change_count() != host->handled_changes) {
    host->handled_changes = host->detector->change_count();
    UpdateReplicaHosts(host);
  }
}

void FleetSimulation::BroadcastDigests() {
  for (size_t from = 0; from < m_hosts.size(); ++from) {
    if (!m_hosts[from]->is_up) {
      continue;
    }
    const auto digest =
        std::make_shared<const Digest>(m_hosts[from]->steering->TakeDigest());
    if (digest->records.empty()) {
      continue;
    }
    // Each host receives the digests of all other hosts.
    m_control_bytes_this_second += static_cast<double>(digest->wire_bytes);
    for (size_t to = 0; to < m_hosts.size(); ++to) {
      if (to != from) {
        ScheduleDelivery(static_cast<int>(to),
                         PickDeliveryTime(static_cast<int>(to)),
                         {.digest = digest});
      }
    }
  }
}

}  // namespace poplarsail::measure
