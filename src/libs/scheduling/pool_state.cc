#include "scheduling/pool_state.h"

#include <algorithm>
#include <cmath>

namespace poplarsail::scheduling {
namespace {

using std::chrono::duration_cast;
using Milliseconds = std::chrono::duration<double, std::milli>;

// The rest of a cold upstream's rate is for hosts that place flows themselves.
constexpr double kColdRateShare = 0.6;
// A single SYN without a response may be a lost packet, or a host that is late
// itself.
constexpr uint32_t kFailureThreshold = 2;
// Bounds the flows at an upstream whose work is far shorter than a round trip:
// it queues some requests and rejects more.
constexpr uint32_t kMaxPipelineFactor = 3;
constexpr double kMaxHandshakeMs = 50;
// Weight of a sample in the mean handshake time.
constexpr double kHandshakeWeight = 0.02;
constexpr milliseconds kMinBackOff(250);
constexpr milliseconds kMaxBackOff(2'000);

double MsBetween(SteadyTime from, SteadyTime to) {
  return Milliseconds(to - from).count();
}

SteadyTime After(SteadyTime time, double ms) {
  return time + duration_cast<SteadyTime::duration>(Milliseconds(ms));
}

}  // namespace

std::vector<OutstandingFlow> PoolState::Update(const Pool& pool,
                                               SteadyTime now) {
  std::vector<Upstream> upstreams;
  upstreams.reserve(pool.upstreams.size());
  std::vector<RequestKey> ended;
  std::unordered_map<uint64_t, size_t> index;
  for (const PoolUpstream& record : pool.upstreams) {
    Upstream* known = FindUpstream(record.id);
    Upstream upstream;
    const uint32_t slots = std::max(record.slots, 1U);
    const bool is_restarted =
        known && known->record.started_unix_ms != record.started_unix_ms;
    if (known && !is_restarted) {
      upstream = std::move(*known);
      known->running.clear();
      // A limit that was at its end stays there if the slots change.
      const uint32_t pipeline = PipelineOf(slots, upstream.speed);
      if (upstream.limit > upstream.pipeline || upstream.limit > pipeline + 1) {
        upstream.limit = pipeline + 1;
      }
    } else {
      const bool is_cold = record.cold_until > now;
      upstream.limit =
          is_restarted || is_cold ? 1 : PipelineOf(slots, upstream.speed) + 1;
    }
    upstream.record = record;
    upstream.slots = slots;
    upstream.pipeline = PipelineOf(slots, upstream.speed);
    index.emplace(record.id, upstreams.size());
    upstreams.push_back(std::move(upstream));
  }
  for (const Upstream& left : m_upstreams) {
    for (const Running& running : left.running) {
      ended.push_back(running.key);
    }
  }
  m_upstreams = std::move(upstreams);
  m_index = std::move(index);
  m_scratch.resize(m_upstreams.size());
  m_cold_flows_per_second = pool.cold_flows_per_second;
  std::vector<OutstandingFlow> flows;
  for (const RequestKey& key : ended) {
    if (auto node = m_flows.extract(key)) {
      flows.push_back(std::move(node.mapped()));
    }
  }
  return flows;
}

void PoolState::Add(OutstandingFlow flow, bool is_granted, SteadyTime now) {
  Upstream* upstream = FindUpstream(flow.upstream_id);
  if (!upstream) {
    return;
  }
  const bool has_slot = upstream->running.size() < upstream->slots;
  flow.is_granted = is_granted;
  flow.had_free_slot = is_granted && has_slot;
  if (!is_granted && !has_slot) {
    // Flows that were granted a free slot may have waited behind this one.
    for (const Running& running : upstream->running) {
      m_flows[running.key].had_free_slot = false;
    }
  }
  if (is_granted && upstream->is_failed) {
    upstream->trial = flow.key;
  }
  if (is_granted && upstream->record.cold_until > now &&
      m_cold_flows_per_second > 0) {
    const double rate =
        m_cold_flows_per_second * kColdRateShare / m_domain_count;
    upstream->next_cold_grant =
        After(std::max(upstream->next_cold_grant, now), 1'000 / rate);
  }
  Running running{flow.key, flow.work_ms, has_slot, flow.granted, {}};
  running.end =
      After(running.started, flow.work_ms / EffectiveSpeed(*upstream, now));
  upstream->running.push_back(running);
  m_flows.insert_or_assign(flow.key, std::move(flow));
  UpdateForecast(*upstream);
}

std::optional<OutstandingFlow> PoolState::Remove(const RequestKey& key,
                                                 SteadyTime now) {
  auto node = m_flows.extract(key);
  if (!node) {
    return std::nullopt;
  }
  if (Upstream* upstream = FindUpstream(node.mapped().upstream_id)) {
    std::erase_if(upstream->running,
                  [&](const Running& running) { return running.key == key; });
    if (upstream->trial == key) {
      upstream->trial.reset();
    }
    StartNext(*upstream, now);
    UpdateForecast(*upstream);
  }
  return std::move(node.mapped());
}

void PoolState::StartNext(Upstream& upstream, SteadyTime now) {
  size_t started_count = 0;
  for (Running& running : upstream.running) {
    if (started_count == upstream.slots) {
      return;
    }
    ++started_count;
    if (running.is_started) {
      continue;
    }
    running.is_started = true;
    running.started = now;
    running.end = After(now, running.work_ms / EffectiveSpeed(upstream, now));
  }
}

void PoolState::UpdateForecast(Upstream& upstream) {
  upstream.earliest_end = SteadyTime::max();
  upstream.backlog_ms = 0;
  for (const Running& running : upstream.running) {
    if (running.is_started) {
      upstream.earliest_end = std::min(upstream.earliest_end, running.end);
    } else {
      upstream.backlog_ms += running.work_ms;
    }
  }
}

void PoolState::SetExpiry(const RequestKey& key, SteadyTime expires) {
  if (const auto flow = m_flows.find(key); flow != m_flows.end()) {
    flow->second.expires = expires;
  }
}

const OutstandingFlow* PoolState::Find(const RequestKey& key) const {
  const auto flow = m_flows.find(key);
  return flow == m_flows.end() ? nullptr : &flow->second;
}

std::vector<RequestKey> PoolState::KeysOf(const Ipv4Endpoint& host) const {
  std::vector<RequestKey> keys;
  for (const auto& [key, flow] : m_flows) {
    if (key.host == host) {
      keys.push_back(key);
    }
  }
  return keys;
}

std::vector<RequestKey> PoolState::Expired(SteadyTime now) const {
  std::vector<RequestKey> keys;
  for (const auto& [key, flow] : m_flows) {
    if (flow.expires <= now) {
      keys.push_back(key);
    }
  }
  return keys;
}

void PoolState::RecordFailure(const OutstandingFlow& flow, SteadyTime now) {
  Upstream* upstream = FindUpstream(flow.upstream_id);
  if (!upstream) {
    return;
  }
  ++upstream->failure_count;
  if (!upstream->is_failed && upstream->failure_count < kFailureThreshold) {
    return;
  }
  // Flows granted before the last failure tell nothing new.
  if (upstream->is_failed && flow.granted <= upstream->last_failure) {
    return;
  }
  upstream->back_off = upstream->is_failed
                           ? std::min(upstream->back_off * 2, kMaxBackOff)
                           : kMinBackOff;
  upstream->is_failed = true;
  upstream->last_failure = now;
  upstream->out_until = now + upstream->back_off;
}

void PoolState::RecordSign(uint64_t upstream_id) {
  Upstream* upstream = FindUpstream(upstream_id);
  if (!upstream) {
    return;
  }
  upstream->failure_count = 0;
  if (!upstream->is_failed) {
    return;
  }
  upstream->is_failed = false;
  upstream->trial.reset();
  upstream->limit = 1;
}

void PoolState::RecordResponse(const OutstandingFlow& flow,
                               double response_ms,
                               SteadyTime now) {
  Upstream* upstream = FindUpstream(flow.upstream_id);
  if (!upstream) {
    return;
  }
  const bool was_failed = upstream->is_failed;
  RecordSign(flow.upstream_id);
  if (!was_failed && upstream->limit <= upstream->pipeline) {
    ++upstream->limit;
  }
  // A client may also be slow to send its request.
  const double handshake_ms =
      std::min(MsBetween(flow.granted, now) - response_ms, kMaxHandshakeMs);
  if (response_ms > 0 && handshake_ms > 0 && flow.is_granted) {
    m_handshake_ms += kHandshakeWeight * (handshake_ms - m_handshake_ms);
  }
  if (!flow.had_free_slot || response_ms <= 0 ||
      upstream->record.cold_until > flow.granted) {
    return;
  }
  upstream->estimator.Add(flow.work_ms, WorkOf(response_ms), now);
  upstream->speed = upstream->estimator.Speed(now);
}

uint32_t PoolState::PipelineOf(uint32_t slots, double speed) const {
  if (m_mean_work_ms <= 0) {
    return slots;
  }
  // An upstream's slots idle while its next requests are in transit.
  const double in_transit = slots * transit_ms() * speed / m_mean_work_ms;
  return slots + std::min(static_cast<uint32_t>(std::ceil(in_transit)),
                          slots * (kMaxPipelineFactor - 1));
}

void PoolState::SetMeanWork(double work_ms) {
  m_mean_work_ms = work_ms;
  for (Upstream& upstream : m_upstreams) {
    const uint32_t pipeline = PipelineOf(upstream.slots, upstream.speed);
    if (pipeline == upstream.pipeline) {
      continue;
    }
    const bool is_warm = upstream.limit > upstream.pipeline;
    upstream.limit =
        is_warm ? pipeline + 1 : std::min(upstream.limit, pipeline + 1);
    upstream.pipeline = pipeline;
  }
}

Capacity PoolState::CapacityAt(SteadyTime now) const {
  Capacity capacity;
  double slots = 0;
  for (const Upstream& upstream : m_upstreams) {
    capacity.outstanding += upstream.running.size();
    if (!upstream.record.accepts_new_flows) {
      continue;
    }
    capacity.has_usable |= IsUsable(upstream, now);
    capacity.has_cold |= upstream.record.cold_until > now;
    if (upstream.is_failed) {
      continue;
    }
    const uint32_t usable = std::min(upstream.limit, upstream.slots);
    const uint32_t usable_pipeline =
        std::min(upstream.limit, upstream.pipeline);
    capacity.places += upstream.pipeline;
    slots += usable;
    capacity.work_rate += usable * EffectiveSpeed(upstream, now);
    if (HasFreeSlot(upstream, now)) {
      capacity.free_slots += usable_pipeline - upstream.running.size();
    }
    capacity.backlog_ms += upstream.backlog_ms;
  }
  if (slots > 0) {
    capacity.mean_speed = capacity.work_rate / slots;
  }
  return capacity;
}

bool PoolState::Contains(uint64_t upstream_id) const {
  return m_index.contains(upstream_id);
}

bool PoolState::IsCold(uint64_t upstream_id, SteadyTime now) const {
  const Upstream* upstream = FindUpstream(upstream_id);
  return upstream && upstream->record.cold_until > now;
}

double PoolState::SpeedOf(uint64_t upstream_id) const {
  const Upstream* upstream = FindUpstream(upstream_id);
  return upstream ? upstream->speed : 1;
}

std::vector<PoolState::SpeedRecord> PoolState::Speeds(SteadyTime now) const {
  std::vector<SpeedRecord> records;
  for (const Upstream& upstream : m_upstreams) {
    records.push_back({upstream.record.id, upstream.record.started_unix_ms,
                       upstream.estimator.Speed(now),
                       upstream.estimator.Samples(now)});
  }
  return records;
}

void PoolState::SeedSpeed(const SpeedRecord& record, SteadyTime now) {
  Upstream* upstream = FindUpstream(record.upstream_id);
  if (!upstream || upstream->record.started_unix_ms != record.started_unix_ms) {
    return;
  }
  upstream->estimator.Seed(record.speed, record.samples, now);
  upstream->speed = upstream->estimator.Speed(now);
}

PoolState::Upstream* PoolState::FindUpstream(uint64_t id) {
  const auto index = m_index.find(id);
  return index == m_index.end() ? nullptr : &m_upstreams[index->second];
}

const PoolState::Upstream* PoolState::FindUpstream(uint64_t id) const {
  const auto index = m_index.find(id);
  return index == m_index.end() ? nullptr : &m_upstreams[index->second];
}

}  // namespace poplarsail::scheduling
