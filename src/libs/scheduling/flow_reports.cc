#include "scheduling/flow_reports.h"

#include <algorithm>

namespace poplarsail::scheduling {

namespace {

// Completions of the same moment share a datagram. Longer delays keep places
// taken while flows wait for them.
constexpr milliseconds kCompletionDelay{0};
constexpr milliseconds kSnapshotInterval{500};
constexpr milliseconds kMaxSnapshotAge{60'000};
// Longer than a request is held, so that grants of a queue that was paused are
// still recognized as late.
constexpr milliseconds kDecidedLifetime{10'000};
constexpr size_t kMaxFlows = 65'536;
constexpr size_t kMaxDecided = 8'192;
// Snapshots correct the count for completions beyond this.
constexpr size_t kMaxBatch = 4'096;

}  // namespace

FlowReports::Service& FlowReports::AddService(const std::string& service,
                                              SteadyTime now) {
  const auto [found, is_new] = m_services.try_emplace(service);
  if (is_new) {
    found->second.snapshot_due = now + kSnapshotInterval;
  }
  return found->second;
}

FlowReports::Flow* FlowReports::AddFlow(const std::string& service,
                                        uint32_t token,
                                        SteadyTime now) {
  if (m_flows.size() >= kMaxFlows) {
    return nullptr;
  }
  AddService(service, now).tokens.insert(token);
  Flow& flow = m_flows[token];
  flow = {.service = service, .started = now};
  return &flow;
}

void FlowReports::EraseFlow(uint32_t token, SteadyTime now) {
  const auto found = m_flows.find(token);
  if (found == m_flows.end()) {
    return;
  }
  const Flow& flow = found->second;
  m_services[flow.service].tokens.erase(token);
  Remember(token, {flow.service, flow.scheduler, flow.upstream_id,
                   now + kDecidedLifetime});
  m_flows.erase(found);
}

void FlowReports::Remember(uint32_t token, Decided decided) {
  if (!m_decided.contains(token)) {
    m_decided_order.push_back(token);
  }
  m_decided[token] = std::move(decided);
  while (m_decided_order.size() > kMaxDecided) {
    m_decided.erase(m_decided_order.front());
    m_decided_order.pop_front();
  }
}

void FlowReports::OnAsked(const std::string& service,
                          const Ipv4Endpoint& scheduler,
                          SteadyTime now) {
  AddService(service, now).recipients.insert(scheduler);
}

void FlowReports::OnGranted(const std::string& service,
                            const Ipv4Endpoint& scheduler,
                            uint32_t token,
                            uint64_t upstream_id,
                            SteadyTime now) {
  if (Flow* flow = AddFlow(service, token, now)) {
    flow->scheduler = scheduler;
    flow->upstream_id = upstream_id;
    // A flow may end before the next snapshot, which then corrects the count if
    // the completion is lost.
    m_services[service].recipients.insert(scheduler);
  }
}

void FlowReports::OnPlaced(const std::string& service,
                           uint32_t token,
                           uint64_t upstream_id,
                           SteadyTime now) {
  const auto found = m_flows.find(token);
  const bool is_granted = found != m_flows.end() && found->second.scheduler &&
                          found->second.upstream_id == upstream_id;
  if (is_granted) {
    found->second.is_placed = true;
    return;
  }
  if (found != m_flows.end()) {
    // The owner has placed the flow elsewhere: frees the granted place.
    const Flow& flow = found->second;
    if (flow.scheduler) {
      AddCompletion(flow.service, *flow.scheduler,
                    {token, flow.upstream_id, Outcome::kAbandoned}, now);
    }
    EraseFlow(token, now);
  }
  if (Flow* flow = AddFlow(service, token, now)) {
    flow->upstream_id = upstream_id;
    flow->is_placed = true;
  }
}

void FlowReports::OnCompleted(const Completion& completion,
                              const SchedulerLookup& scheduler_of,
                              SteadyTime now) {
  const auto found = m_flows.find(completion.token);
  if (found == m_flows.end()) {
    return;
  }
  const Flow& flow = found->second;
  const auto scheduler =
      flow.scheduler ? flow.scheduler : scheduler_of(flow.service);
  if (scheduler) {
    AddCompletion(flow.service, *scheduler, completion, now);
  }
  EraseFlow(completion.token, now);
}

void FlowReports::OnDecided(const std::string& service,
                            uint32_t token,
                            SteadyTime now) {
  Remember(token, {service, std::nullopt, 0, now + kDecidedLifetime});
}

void FlowReports::OnLateGrant(const Ipv4Endpoint& scheduler,
                              uint32_t token,
                              uint64_t upstream_id,
                              SteadyTime now) {
  const auto flow = m_flows.find(token);
  const auto decided = m_decided.find(token);
  std::string service;
  bool is_duplicate = false;
  if (flow != m_flows.end()) {
    service = flow->second.service;
    is_duplicate = flow->second.scheduler == scheduler &&
                   flow->second.upstream_id == upstream_id;
  } else if (decided != m_decided.end() && decided->second.until >= now) {
    service = decided->second.service;
    is_duplicate = decided->second.scheduler == scheduler &&
                   decided->second.upstream_id == upstream_id;
  } else {
    return;
  }
  if (!is_duplicate) {
    AddCompletion(service, scheduler, {token, upstream_id, Outcome::kAbandoned},
                  now);
  }
}

bool FlowReports::IsKnown(uint32_t token) const {
  return m_flows.contains(token) || m_decided.contains(token);
}

void FlowReports::AddCompletion(const std::string& service,
                                const Ipv4Endpoint& scheduler,
                                const Completion& completion,
                                SteadyTime now) {
  Batch& batch = m_batches[{service, scheduler}];
  if (batch.completions.empty()) {
    batch.due = now + kCompletionDelay;
  }
  if (batch.completions.size() < kMaxBatch) {
    batch.completions.push_back(completion);
  }
}

void FlowReports::Tick(const SchedulerLookup& scheduler_of,
                       SteadyTime now,
                       ClientActions& actions) {
  for (auto batch = m_batches.begin(); batch != m_batches.end();) {
    if (batch->second.due > now) {
      ++batch;
      continue;
    }
    actions.push_back({.kind = ClientActionKind::kSendCompletions,
                       .service = batch->first.first,
                       .scheduler = batch->first.second,
                       .completions = std::move(batch->second.completions)});
    batch = m_batches.erase(batch);
  }
  for (auto item = m_services.begin(); item != m_services.end();) {
    auto& [name, service] = *item;
    if (service.snapshot_due > now) {
      ++item;
      continue;
    }
    DropOldFlows(service, now);
    AddSnapshots(name, service, scheduler_of(name), now, actions);
    service.snapshot_due = now + kSnapshotInterval;
    item = service.tokens.empty() ? m_services.erase(item) : std::next(item);
  }
}

void FlowReports::DropOldFlows(Service& service, SteadyTime now) {
  std::erase_if(service.tokens, [&](uint32_t token) {
    const auto found = m_flows.find(token);
    if (found->second.started + kMaxSnapshotAge > now) {
      return false;
    }
    m_flows.erase(found);
    return true;
  });
}

void FlowReports::AddSnapshots(const std::string& name,
                               Service& service,
                               const std::optional<Ipv4Endpoint>& current,
                               SteadyTime now,
                               ClientActions& actions) const {
  std::vector<OpenFlow> open_flows;
  std::set<Ipv4Endpoint> recipients;
  for (const uint32_t token : service.tokens) {
    const Flow& flow = m_flows.at(token);
    if (!flow.is_placed) {
      continue;
    }
    open_flows.push_back(
        {token, flow.upstream_id,
         std::chrono::duration_cast<milliseconds>(now - flow.started)});
    const auto& recipient = flow.scheduler ? flow.scheduler : current;
    if (recipient) {
      recipients.insert(*recipient);
    }
  }
  if (current && !open_flows.empty()) {
    recipients.insert(*current);
  }
  // Those that hold flows of the last snapshot, which may all have ended.
  std::set<Ipv4Endpoint> all = recipients;
  all.merge(service.recipients);
  service.recipients = std::move(recipients);
  for (const Ipv4Endpoint& recipient : all) {
    actions.push_back({.kind = ClientActionKind::kSendSnapshot,
                       .service = name,
                       .scheduler = recipient,
                       .open_flows = open_flows});
  }
}

std::optional<SteadyTime> FlowReports::NextDeadline() const {
  std::optional<SteadyTime> next;
  const auto consider = [&](SteadyTime deadline) {
    next = next ? std::min(*next, deadline) : deadline;
  };
  for (const auto& [destination, batch] : m_batches) {
    consider(batch.due);
  }
  for (const auto& [name, service] : m_services) {
    consider(service.snapshot_due);
  }
  return next;
}

}  // namespace poplarsail::scheduling
