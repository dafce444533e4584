// Data plane of FleetSimulation: flows, packets and fleet events.

#include "measure/fleet_simulation.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "measure/fleet_simulation_internal.h"

namespace poplarsail::measure {

namespace {

using steering::Action;
using steering::Decision;
using steering::RelayHeader;

constexpr int64_t kEpochMs = 1'700'000'000'000;
constexpr int64_t kPlanUpdateIntervalMs = 1'000;
constexpr int64_t kFabricDelayMs = 1'000;
// Time between announcing that a host starts or stops storing flow records and
// doing so.
constexpr int64_t kReplicaAnnounceLeadMs = 4'000;
constexpr int64_t kStopLingerMs = 6'000;
constexpr int64_t kDetectorTickMs = 10;
constexpr int64_t kDigestIntervalMs = 100;
constexpr int64_t kFirstPacketRetryMs = 1'000;
constexpr int64_t kLostPacketRetryMs = 300;
constexpr int64_t kFlowTimeoutMs = 30'000;
constexpr double kMeanPacketIntervalMs = 1'500;
constexpr double kMeanLowRatePacketIntervalMs = 15'000;
constexpr double kMeanShortFlowLifetimeMs = 10'000;
constexpr size_t kFlowCapacity = 250'000;
constexpr uint32_t kFullWeight = 100;
constexpr int64_t kStateSampleIntervalMs = 10'000;
constexpr int kMaxRelaySteps = 10;
constexpr double kRecordBytes = 16 / 0.7;
constexpr double kImbalancePercentile = 0.99;

}  // namespace

FleetSimulation::FleetSimulation(SteeringStrategy strategy,
                                 const FleetOptions& options,
                                 std::vector<FleetEvent> events)
    : m_strategy(strategy),
      m_options(options),
      m_events(std::move(events)),
      m_random(options.seed),
      m_schedule(options.length_ms + 1),
      m_evacuated_domains(options.domains),
      m_partitioned_domains(options.domains) {
  std::stable_sort(m_events.begin(), m_events.end(),
                   [](const FleetEvent& a, const FleetEvent& b) {
                     return a.at_ms < b.at_ms;
                   });
}

FleetSimulation::~FleetSimulation() = default;

TimePoint FleetSimulation::Now() const {
  return model::FromUnixMillis(kEpochMs + m_now_ms);
}

int64_t FleetSimulation::SampleExponential(double mean_ms) {
  std::exponential_distribution<double> distribution(1 / mean_ms);
  return 1 + static_cast<int64_t>(distribution(m_random));
}

FleetResult FleetSimulation::Run() {
  for (int i = 0; i < m_options.upstreams; ++i) {
    ChangeUpstream(i, kFullWeight, true);
  }
  UpdatePlan();
  for (int i = 0; i < m_options.hosts; ++i) {
    AddHost(i);
  }
  // The fleet has been running long before the load starts, so all hosts have
  // the complete state.
  m_now_ms = -3'600'000;
  PublishMembers();
  for (auto& [at_ms, delivery] : m_deliveries) {
    ApplyMembers(m_hosts[delivery.first].get(), *delivery.second.members);
  }
  m_deliveries.clear();
  m_now_ms = 0;
  for (uint32_t i = 0; i < m_options.open_flows; ++i) {
    std::bernoulli_distribution is_long(m_options.long_flow_share);
    OpenFlow(is_long(m_random));
  }
  size_t next_event = 0;
  int64_t next_open_us = 0;
  for (m_now_ms = 0; m_now_ms < m_options.length_ms; ++m_now_ms) {
    while (next_event < m_events.size() &&
           m_events[next_event].at_ms <= m_now_ms) {
      ApplyEvent(m_events[next_event++]);
    }
    if (m_now_ms % kPlanUpdateIntervalMs == 0) {
      UpdatePlan();
    }
    ProcessDeliveries();
    if (m_now_ms % kDetectorTickMs == 0) {
      RunFailureDetectors();
    }
    if (m_now_ms % kDigestIntervalMs == 0) {
      BroadcastDigests();
    }
    while (next_open_us <= m_now_ms * 1'000) {
      OpenFlow(false);
      next_open_us += 1'000'000 / m_options.new_flows_per_second;
    }
    for (size_t i = 0; i < m_schedule[m_now_ms].size(); ++i) {
      SendPacket(m_schedule[m_now_ms][i]);
    }
    std::vector<uint32_t>().swap(m_schedule[m_now_ms]);
    if (m_now_ms % 1'000 == 999) {
      SampleMetrics();
    }
  }
  double sum = 0;
  for (const double bytes : m_control_bytes) {
    sum += bytes;
    m_result.control_bytes_worst =
        std::max(m_result.control_bytes_worst, bytes);
  }
  m_result.control_bytes_mean = sum / m_control_bytes.size();
  sum = 0;
  for (const double imbalance : m_imbalances) {
    sum += imbalance;
  }
  m_result.imbalance_mean = sum / m_imbalances.size();
  std::sort(m_imbalances.begin(), m_imbalances.end());
  m_result.imbalance_p99 = m_imbalances[static_cast<size_t>(
      m_imbalances.size() * kImbalancePercentile)];
  return m_result;
}

void FleetSimulation::ApplyEvent(const FleetEvent& event) {
  switch (event.kind) {
    case EventKind::kDrain:
      ChangeUpstream(event.subject, 0, true);
      UpdatePlan();
      return;
    case EventKind::kAdd:
      ChangeUpstream(event.subject, kFullWeight, true);
      UpdatePlan();
      return;
    case EventKind::kRemove:
      ChangeUpstream(event.subject, 0, false);
      AbandonFlows([&](int owner) { return owner == event.subject; });
      UpdatePlan();
      return;
    case EventKind::kSetWeight:
      ChangeUpstream(event.subject, event.weight, true);
      UpdatePlan();
      return;
    case EventKind::kHostLeaves: {
      Host& host = *m_hosts[event.subject];
      host.replica_until =
          Now() + std::chrono::milliseconds(kReplicaAnnounceLeadMs);
      host.fabric_until_ms = m_now_ms + kFabricDelayMs;
      host.ends_at_ms = m_now_ms + kStopLingerMs;
      PublishMembers();
      return;
    }
    case EventKind::kHostDies:
    case EventKind::kHostPauses: {
      Host& host = *m_hosts[event.subject];
      host.is_up = false;
      host.is_listed = false;
      host.fabric_until_ms = m_now_ms + kFabricDelayMs;
      PublishMembers();
      return;
    }
    case EventKind::kHostResumes: {
      Host& host = *m_hosts[event.subject];
      host.is_up = true;
      host.is_listed = true;
      host.fabric_until_ms = INT64_MAX;
      host.fabric_from_ms = m_now_ms + kFabricDelayMs;
      host.steering->MarkRecordsIncomplete(Now());
      PublishMembers();
      return;
    }
    case EventKind::kHostJoins:
      AddHost(event.subject);
      PublishMembers();
      return;
    case EventKind::kDomainEvacuated:
      SetDomainInService(event.subject, false);
      return;
    case EventKind::kDomainReturned:
      SetDomainInService(event.subject, true);
      return;
    case EventKind::kDomainPartitioned:
      m_partitioned_domains[event.subject] = true;
      return;
    case EventKind::kDomainReconnected:
      m_partitioned_domains[event.subject] = false;
      return;
    case EventKind::kUpdatesDelayedOnHalf:
      m_delays_updates_to_half = event.subject != 0;
      return;
    case EventKind::kControlPacketLoss:
      m_has_control_packet_loss = event.subject != 0;
      return;
    case EventKind::kPlatformUnavailable:
      m_is_platform_unavailable = event.subject != 0;
      if (m_members_pending) {
        PublishMembers();
      }
      if (m_plan_pending) {
        UpdatePlan();
      }
      return;
    case EventKind::kFlowHashing:
      m_hashes_flows = event.subject != 0;
      return;
    case EventKind::kFlowRehash:
      ++m_flow_hash_seed;
      return;
  }
}

void FleetSimulation::ChangeUpstream(int number,
                                     uint32_t weight,
                                     bool is_present) {
  while (static_cast<int>(m_upstreams.size()) <= number) {
    const auto index = static_cast<int>(m_upstreams.size());
    m_upstreams.push_back({.name = fmt::format("u{:02}", index),
                           .domain = index % m_options.domains});
  }
  Upstream& upstream = m_upstreams[number];
  const bool starts_drain = weight == 0 && upstream.weight > 0;
  upstream.drained_at_ms = starts_drain ? m_now_ms : upstream.drained_at_ms;
  if (weight > 0) {
    upstream.drained_at_ms = -1;
  }
  upstream.weight = weight;
  upstream.is_present = is_present;
}

void FleetSimulation::AbandonFlows(
    const std::function<bool(int)>& is_affected) {
  for (uint32_t i = 0; i < m_flows.size(); ++i) {
    const Flow& flow = m_flows[i];
    if (flow.has_ended || !flow.is_established || !is_affected(flow.owner)) {
      continue;
    }
    ++m_result.abandoned_flows;
    EndFlow(i);
  }
}

// Flows of an evacuated domain are abandoned.
void FleetSimulation::SetDomainInService(int domain, bool is_in_service) {
  m_evacuated_domains[domain] = !is_in_service;
  for (size_t i = 0; i < m_upstreams.size(); ++i) {
    if (m_upstreams[i].domain == domain) {
      ChangeUpstream(static_cast<int>(i), is_in_service ? kFullWeight : 0,
                     is_in_service);
    }
  }
  if (!is_in_service) {
    AbandonFlows(
        [&](int owner) { return m_upstreams[owner].domain == domain; });
  }
  for (const auto& host : m_hosts) {
    if (host->domain != domain) {
      continue;
    }
    const TimePoint announced =
        Now() + std::chrono::milliseconds(kReplicaAnnounceLeadMs);
    host->replica_from = is_in_service ? announced : host->replica_from;
    host->replica_until = is_in_service ? TimePoint::max() : announced;
    host->fabric_until_ms =
        is_in_service ? INT64_MAX : m_now_ms + kFabricDelayMs;
    host->fabric_from_ms = is_in_service ? m_now_ms + kFabricDelayMs : 0;
  }
  UpdatePlan();
  PublishMembers();
}

void FleetSimulation::AddHost(int number) {
  auto host = std::make_unique<Host>();
  host->name = fmt::format("e{:02}", number);
  host->domain = number % m_options.domains;
  host->steering = CreateHostSteering(m_strategy, host->name, kFlowCapacity);
  host->detector = std::make_unique<membership::FailureDetector>(
      host->name, m_random(), Now());
  host->fabric_from_ms = m_now_ms + kFabricDelayMs;
  // A host receives the plan and the members, from peers if necessary, before
  // it receives packets.
  host->steering->SetPlan(m_plan);
  if (m_now_ms == 0) {
    host->fabric_from_ms = 0;
  } else {
    host->replica_from =
        Now() + std::chrono::milliseconds(kReplicaAnnounceLeadMs);
    ApplyMembers(host.get(), m_members);
  }
  m_hosts.push_back(std::move(host));
}

void FleetSimulation::OpenFlow(bool is_long) {
  const auto index = static_cast<uint32_t>(m_flows.size());
  Flow flow;
  flow.key.source[15] = static_cast<uint8_t>(index >> 24);
  flow.key.source[14] = static_cast<uint8_t>(index >> 16);
  flow.key.source_port = static_cast<uint16_t>(index);
  flow.key.source[13] = 10;
  flow.key.destination = steering::ToAddressBytes(m_plan->address().address);
  flow.key.destination_port = m_plan->address().port;
  flow.key.protocol = steering::kProtocolTcp;
  flow.opened_at_ms = m_now_ms;
  flow.ends_at_ms =
      is_long ? INT64_MAX
              : m_now_ms + SampleExponential(kMeanShortFlowLifetimeMs);
  std::bernoulli_distribution is_low_rate(0.5);
  flow.is_low_rate = is_long && is_low_rate(m_random);
  m_flows.push_back(flow);
  ++m_result.flows;
  SchedulePacket(index, m_now_ms);
}

void FleetSimulation::SchedulePacket(uint32_t flow, int64_t at_ms) {
  if (at_ms < m_options.length_ms) {
    m_schedule[at_ms].push_back(flow);
  }
}

void FleetSimulation::SendPacket(uint32_t index) {
  Flow& flow = m_flows[index];
  if (flow.has_ended) {
    return;
  }
  const bool ends_flow = flow.is_established && flow.ends_at_ms <= m_now_ms;
  const steering::PacketSummary packet{.key = flow.key,
                                       .opens_flow = !flow.is_established,
                                       .ends_flow = ends_flow,
                                       .is_connection_oriented = true};
  ++m_result.packets;
  const std::optional<int> upstream = RoutePacket(index, packet);
  if (!upstream) {
    HandlePacketLoss(index);
    return;
  }
  HandleArrival(index, *upstream, packet.opens_flow);
}

int FleetSimulation::PickHost(uint32_t flow) {
  std::vector<int> live;
  for (size_t i = 0; i < m_hosts.size(); ++i) {
    const Host& host = *m_hosts[i];
    if (host.fabric_from_ms <= m_now_ms && m_now_ms < host.fabric_until_ms) {
      live.push_back(static_cast<int>(i));
    }
  }
  if (m_hashes_flows) {
    std::mt19937_64 by_flow(flow * 0x9e3779b97f4a7c15ULL + m_flow_hash_seed);
    return live[by_flow() % live.size()];
  }
  return live[m_random() % live.size()];
}

std::optional<int> FleetSimulation::RoutePacket(
    uint32_t flow,
    const steering::PacketSummary& packet) {
  int host_index = PickHost(flow);
  std::optional<RelayHeader> header;
  m_last_path.clear();
  for (int step = 0; step < kMaxRelaySteps; ++step) {
    Host& host = *m_hosts[host_index];
    if (!host.is_up) {
      return std::nullopt;
    }
    const Decision decision =
        host.steering->Decide(packet, header ? &*header : nullptr, Now());
    m_last_path.emplace_back(host_index, decision.cause);
    if (decision.action == Action::kDrop) {
      return std::nullopt;
    }
    if (decision.action == Action::kForward) {
      const int number = std::stoi(decision.upstream->name.substr(1));
      if (IsPartitioned(host.domain, m_upstreams[number].domain)) {
        return std::nullopt;
      }
      return number;
    }
    ++m_result.relays;
    const auto& members = host.steering->members()->members();
    const std::string& name = members[decision.next_host].name;
    host_index = FindHost(name);
    if (IsPartitioned(host.domain, m_hosts[host_index]->domain)) {
      return std::nullopt;
    }
    header = decision.header;
  }
  return std::nullopt;
}

void FleetSimulation::HandleArrival(uint32_t index,
                                    int number,
                                    bool opens_flow) {
  Flow& flow = m_flows[index];
  flow.undelivered_since_ms = -1;
  if (!opens_flow) {
    if (number != flow.owner) {
      MarkBroken(index, number);
      return;
    }
    if (flow.ends_at_ms <= m_now_ms) {
      EndFlow(index);
      return;
    }
    SchedulePacket(
        index, m_now_ms + SampleExponential(flow.is_low_rate
                                                ? kMeanLowRatePacketIntervalMs
                                                : kMeanPacketIntervalMs));
    return;
  }
  Upstream& upstream = m_upstreams[number];
  // A retransmitted first packet that reaches the same upstream again does not
  // open a new flow.
  const bool is_retransmission = flow.owner == number;
  if (upstream.drained_at_ms >= 0 && !is_retransmission) {
    m_result.last_new_flow_ms =
        std::max(m_result.last_new_flow_ms, m_now_ms - upstream.drained_at_ms);
  }
  if (flow.owner != kNoOwner) {
    --m_upstreams[flow.owner].open_flows;
    --m_open_flows;
  }
  flow.owner = number;
  ++upstream.open_flows;
  ++m_open_flows;
  std::bernoulli_distribution is_response_lost(
      m_options.lost_first_response_share);
  if (is_response_lost(m_random)) {
    SchedulePacket(index, m_now_ms + kFirstPacketRetryMs);
    return;
  }
  flow.is_established = true;
  SchedulePacket(index,
                 m_now_ms + SampleExponential(flow.is_low_rate
                                                  ? kMeanLowRatePacketIntervalMs
                                                  : kMeanPacketIntervalMs));
}

void FleetSimulation::HandlePacketLoss(uint32_t index) {
  Flow& flow = m_flows[index];
  ++m_result.lost_packets;
  if (flow.undelivered_since_ms < 0) {
    flow.undelivered_since_ms = m_now_ms;
  }
  if (m_now_ms - flow.undelivered_since_ms > kFlowTimeoutMs) {
    MarkBroken(index, kNoOwner);
    return;
  }
  SchedulePacket(index, m_now_ms + (flow.is_established ? kLostPacketRetryMs
                                                        : kFirstPacketRetryMs));
}

void FleetSimulation::EndFlow(uint32_t index) {
  Flow& flow = m_flows[index];
  flow.has_ended = true;
  if (flow.owner != kNoOwner) {
    --m_upstreams[flow.owner].open_flows;
    --m_open_flows;
  }
}

// A flow of a removed upstream or an evacuated domain counts as abandoned, not
// as broken.
void FleetSimulation::MarkBroken(uint32_t index, int reached) {
  const Flow& flow = m_flows[index];
  const bool is_abandoned =
      flow.owner != kNoOwner && !m_upstreams[flow.owner].is_present;
  ++(is_abandoned ? m_result.abandoned_flows : m_result.broken_flows);
  if (!is_abandoned) {
    const auto name = [this](int number) {
      return number == kNoOwner ? "none" : m_upstreams[number].name;
    };
    std::string path;
    for (const auto& [host, cause] : m_last_path) {
      path += fmt::format("{}:{} ", m_hosts[host]->name, ToString(cause));
    }
    const uint64_t hash = steering::HashFlow(flow.key, m_plan->hash_seed());
    m_result.broken.push_back({m_now_ms, flow.opened_at_ms, index,
                               m_plan->BucketOf(hash), name(flow.owner),
                               name(reached), path});
  }
  EndFlow(index);
}

void FleetSimulation::SampleMetrics() {
  m_control_bytes.push_back(std::exchange(m_control_bytes_this_second, 0));
  uint64_t most = 0;
  uint64_t total = 0;
  uint64_t count = 0;
  for (const Upstream& upstream : m_upstreams) {
    if (upstream.weight == 0) {
      continue;
    }
    most = std::max(most, upstream.open_flows);
    total += upstream.open_flows;
    ++count;
  }
  if (total > 0) {
    m_imbalances.push_back(static_cast<double>(most * count) /
                           static_cast<double>(total));
  }
  if (m_now_ms % kStateSampleIntervalMs != kStateSampleIntervalMs - 1 ||
      m_open_flows == 0) {
    return;
  }
  size_t records = 0;
  for (const auto& host : m_hosts) {
    records += host->steering->CountRecords(Now());
  }
  m_result.state_bytes_per_flow =
      std::max(m_result.state_bytes_per_flow,
               static_cast<double>(records) * kRecordBytes /
                   static_cast<double>(m_open_flows));
}

}  // namespace poplarsail::measure
