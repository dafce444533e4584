#include "emulator/clients.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <utility>

namespace poplarsail::emulator {

namespace {

using namespace std::chrono_literals;

// Times after the first opening packet at which it is retransmitted and at
// which the attempt ends.
constexpr milliseconds kFirstSynRetransmit{200};
constexpr milliseconds kSecondSynRetransmit{600};
constexpr milliseconds kConnectTimeout{1'400};
// An unanswered request is retransmitted after this delay, which then doubles
// with each retransmission.
constexpr milliseconds kInitialRetransmitDelay{200};
constexpr uint32_t kMaxAttempts = 3;
// Maximum time for which flows are kept open for further requests.
constexpr milliseconds kMaxFlowLifetime{20'000};
// Mean time between two requests of one client. The number of clients of a kind
// is the request rate times this; each keeps one flow open.
constexpr double kThinkTimeSeconds = 2.0;
constexpr size_t kRequestBytes = 100;
constexpr uint32_t kResponseBytes = 2'000;
constexpr uint32_t kRejectionBytes = 150;
// Number of client addresses of scheduled services.
constexpr uint32_t kClientAddresses = 512;

double UniformRandom(std::mt19937_64* random) {
  return std::generate_canonical<double, 53>(*random);
}

bool IsActive(const Disturbance& disturbance, SteadyTime now) {
  return now >= disturbance.begin &&
         now < disturbance.begin + disturbance.length;
}

}  // namespace

Clients::Clients(EventQueue* events,
                 const Scenario& scenario,
                 Fleet* fleet,
                 Recorder* recorder,
                 uint64_t seed)
    : m_events(events),
      m_scenario(scenario),
      m_fleet(fleet),
      m_recorder(recorder),
      m_random(seed),
      m_work_random(seed + 1) {
  Fleet::ClientCallbacks callbacks;
  callbacks.flow_opened = [this](const flows::FlowKey& key, uint32_t tag) {
    OnFlowOpened(key, tag);
  };
  callbacks.response_received = [this](const flows::FlowKey& key,
                                       ResponseKind kind, bool closes_flow) {
    OnResponse(key, kind, closes_flow);
  };
  callbacks.flow_reset = [this](const flows::FlowKey& key) {
    OnFlowLost(key, Ending::kRefused);
  };
  fleet->set_client_callbacks(std::move(callbacks));
}

void Clients::Start() {
  for (size_t kind = 0; kind < m_scenario.kinds.size(); ++kind) {
    ScheduleArrival(kind);
  }
}

double Clients::LoadFactor() const {
  double factor = 1;
  for (const Disturbance& disturbance : m_scenario.disturbances) {
    if (disturbance.kind == DisturbanceKind::kBurst &&
        IsActive(disturbance, m_events->now())) {
      factor *= disturbance.strength;
    }
    if (disturbance.kind == DisturbanceKind::kWaves) {
      const std::chrono::duration<double> since =
          m_events->now() - disturbance.begin;
      const std::chrono::duration<double> length = disturbance.length;
      factor *= 1 + disturbance.strength *
                        std::sin(2 * std::numbers::pi * (since / length));
    }
  }
  return factor;
}

size_t Clients::ChooseDomain() {
  const size_t domain = m_random() % m_scenario.failure_domains;
  for (const Disturbance& disturbance : m_scenario.disturbances) {
    const bool is_moved = disturbance.kind == DisturbanceKind::kShift &&
                          domain == 0 &&
                          IsActive(disturbance, m_events->now()) &&
                          UniformRandom(&m_random) < disturbance.strength;
    if (is_moved) {
      return 1;
    }
    // A caller stays in its domain with the probability of the domain's demand.
    const bool has_waves = disturbance.kind == DisturbanceKind::kDomainWaves &&
                           m_events->now() >= disturbance.begin;
    if (has_waves &&
        UniformRandom(&m_random) * (1 + disturbance.strength) >
            1 + disturbance.strength * WaveAt(disturbance, domain)) {
      return ChooseDomain();
    }
  }
  return domain;
}

double Clients::WaveAt(const Disturbance& disturbance, size_t domain) const {
  const std::chrono::duration<double> since =
      m_events->now() - disturbance.begin;
  const std::chrono::duration<double> length = disturbance.length;
  const double phase = static_cast<double>(domain) /
                       static_cast<double>(m_scenario.failure_domains);
  return std::sin(2 * std::numbers::pi * (since / length + phase));
}

SteadyTime::duration Clients::DrawRequestWork(size_t kind) {
  const RequestKind& drawn = m_scenario.kinds[kind];
  double factor = 1;
  for (const Disturbance& disturbance : m_scenario.disturbances) {
    if (disturbance.kind == DisturbanceKind::kDrift) {
      const std::chrono::duration<double> since =
          m_events->now() - disturbance.begin;
      const std::chrono::duration<double> length = disturbance.length;
      factor *=
          1 + (disturbance.strength - 1) * std::clamp(since / length, 0.0, 1.0);
    }
  }
  const auto work = DrawWork(drawn.distribution, drawn.work, &m_work_random);
  return factor == 1
             ? work
             : std::chrono::duration_cast<SteadyTime::duration>(work * factor);
}

void Clients::ScheduleArrival(size_t kind) {
  const double requests_per_second =
      m_scenario.kinds[kind].requests_per_second * LoadFactor();
  const double seconds =
      -std::log(1 - UniformRandom(&m_random)) / requests_per_second;
  const std::chrono::microseconds interarrival_time(
      static_cast<int64_t>(seconds * 1e6));
  m_events->ScheduleAfter(interarrival_time, [this, kind]() {
    auto request = std::make_shared<Request>();
    request->outcome.begin = m_events->now();
    request->outcome.kind = kind;
    request->outcome.failure_domain = ChooseDomain();
    request->outcome.work = DrawRequestWork(kind);
    request->deadline = m_events->now() + m_scenario.kinds[kind].timeout;
    m_events->ScheduleAt(request->deadline, [this, request]() {
      Finish(request, Ending::kFailed);
    });
    StartAttempt(request);
    ScheduleArrival(kind);
  });
}

void Clients::StartAttempt(const std::shared_ptr<Request>& request) {
  RequestOutcome& outcome = request->outcome;
  ++outcome.attempts;
  const bool reuses_flows = m_scenario.kinds[outcome.kind].reuses_flows;
  const FlowPtr flow =
      reuses_flows && outcome.attempts == 1
          ? AcquireIdleFlow(outcome.kind, outcome.failure_domain)
          : nullptr;
  if (flow == nullptr) {
    OpenFlow(request);
    return;
  }
  flow->request = request;
  SendRequest(flow, kInitialRetransmitDelay);
}

void Clients::Retry(const std::shared_ptr<Request>& request, Ending ending) {
  if (request->is_finished) {
    return;
  }
  if (request->outcome.attempts >= kMaxAttempts) {
    Finish(request, ending);
    return;
  }
  // Without a delay at once, not as an event of its own.
  if (m_scenario.retry_delay.count() == 0) {
    StartAttempt(request);
    return;
  }
  const double jitter = 0.5 + UniformRandom(&m_random);
  m_events->ScheduleAfter(std::chrono::duration_cast<SteadyTime::duration>(
                              m_scenario.retry_delay * jitter),
                          [this, request]() {
                            if (!request->is_finished) {
                              StartAttempt(request);
                            }
                          });
}

void Clients::Finish(const std::shared_ptr<Request>& request, Ending ending) {
  if (std::exchange(request->is_finished, true)) {
    return;
  }
  RequestOutcome& outcome = request->outcome;
  const RequestKind& kind = m_scenario.kinds[outcome.kind];
  outcome.duration =
      std::chrono::duration_cast<milliseconds>(m_events->now() - outcome.begin);
  outcome.ending = ending;
  if (ending == Ending::kAnswered) {
    outcome.utility =
        outcome.duration <= kind.latency_target ? 1 : kind.late_utility;
  }
  m_recorder->Add(outcome);
}

Clients::FlowPtr Clients::AcquireIdleFlow(size_t kind, size_t failure_domain) {
  std::vector<FlowPtr>& idle_flows = m_idle_flows[{kind, failure_domain}];
  const double client_count = m_scenario.kinds[kind].requests_per_second *
                              kThinkTimeSeconds /
                              static_cast<double>(m_scenario.failure_domains);
  // A client without an open flow opens one, so the chance to reuse a flow is
  // the share of clients that have an idle one.
  const double chance =
      std::min(1.0, static_cast<double>(idle_flows.size()) / client_count);
  while (!idle_flows.empty() && UniformRandom(&m_random) < chance) {
    std::swap(idle_flows[m_random() % idle_flows.size()], idle_flows.back());
    const FlowPtr flow = idle_flows.back();
    idle_flows.pop_back();
    if (flow->state != FlowState::kOpen) {
      continue;
    }
    if (m_events->now() < flow->expiry) {
      return flow;
    }
    SendFin(flow);
    Close(flow);
  }
  return nullptr;
}

void Clients::OpenFlow(const std::shared_ptr<Request>& request) {
  auto flow = std::make_shared<Flow>();
  const uint32_t client = m_next_client++;
  flow->key = {
      {0x64400000 + (client >> 14),
       static_cast<uint16_t>(1'024 + (client & 0x3fff))},
      Fleet::ListenerEndpoint(m_scenario.ListenerOf(request->outcome.kind))};
  if (m_scenario.is_schedulable) {
    flow->key.client = {
        0x64400000 + client % kClientAddresses,
        static_cast<uint16_t>(1'024 + client / kClientAddresses)};
  }
  flow->kind = request->outcome.kind;
  flow->failure_domain = request->outcome.failure_domain;
  flow->request = request;
  // Arrivals in scheduled services don't depend on the number of retries.
  if (!m_scenario.is_schedulable) {
    const auto lifetime = std::chrono::milliseconds(
        1 + m_random() % static_cast<uint64_t>(kMaxFlowLifetime.count()));
    flow->expiry = m_events->now() + lifetime;
  }
  m_flows[flow->key] = flow;
  SendSyn(flow, 0);
  m_events->ScheduleAfter(kFirstSynRetransmit,
                          [this, flow]() { SendSyn(flow, 1); });
  m_events->ScheduleAfter(kSecondSynRetransmit,
                          [this, flow]() { SendSyn(flow, 2); });
  m_events->ScheduleAfter(kConnectTimeout, [this, flow]() {
    if (flow->state == FlowState::kOpening) {
      OnFlowLost(flow->key, Ending::kFailed);
    }
  });
}

flows::FlowPacket Clients::MakePacket(const Flow& flow) const {
  flows::FlowPacket packet;
  packet.key = flow.key;
  packet.sequence = flow.sequence;
  packet.ack_number = flow.ack_number;
  packet.tag = flow.tag;
  return packet;
}

void Clients::SendSyn(const FlowPtr& flow, uint32_t retransmit_count) {
  if (flow->state != FlowState::kOpening || flow->request->is_finished) {
    return;
  }
  flows::FlowPacket packet = MakePacket(*flow);
  packet.is_syn = true;
  packet.retransmit_count = retransmit_count;
  m_fleet->Send(packet, flow->failure_domain, flow->request->outcome.work);
}

void Clients::SendRequest(const FlowPtr& flow, milliseconds retransmit_delay) {
  const auto request = flow->request;
  if (flow->state != FlowState::kOpen || request == nullptr ||
      request->is_finished) {
    return;
  }
  flows::FlowPacket packet = MakePacket(*flow);
  packet.data_bytes = kRequestBytes;
  m_fleet->Send(packet, flow->failure_domain, request->outcome.work);
  m_events->ScheduleAfter(retransmit_delay,
                          [this, flow, request, retransmit_delay]() {
                            if (flow->request == request) {
                              SendRequest(flow, 2 * retransmit_delay);
                            }
                          });
}

void Clients::SendFin(const FlowPtr& flow) {
  flows::FlowPacket packet = MakePacket(*flow);
  packet.is_fin = true;
  m_fleet->Send(packet, flow->failure_domain, 0ms);
}

void Clients::Close(const FlowPtr& flow) {
  flow->state = FlowState::kClosed;
  flow->request = nullptr;
  m_flows.erase(flow->key);
}

Clients::FlowPtr Clients::FindFlow(const flows::FlowKey& key) const {
  const auto found = m_flows.find(key);
  return found == m_flows.end() ? nullptr : found->second;
}

void Clients::OnFlowOpened(const flows::FlowKey& key, uint32_t tag) {
  const FlowPtr flow = FindFlow(key);
  if (flow == nullptr) {
    return;
  }
  flow->tag = tag;
  if (flow->state != FlowState::kOpening) {
    return;
  }
  flow->state = FlowState::kOpen;
  if (flow->request->is_finished) {
    SendFin(flow);
    Close(flow);
    return;
  }
  SendRequest(flow, kInitialRetransmitDelay);
}

void Clients::OnResponse(const flows::FlowKey& key,
                         ResponseKind kind,
                         bool closes_flow) {
  const FlowPtr flow = FindFlow(key);
  if (flow == nullptr || flow->request == nullptr) {
    return;
  }
  const auto request = std::exchange(flow->request, nullptr);
  const bool is_late = request->is_finished;
  flow->sequence += kRequestBytes;
  const bool was_processed = kind == ResponseKind::kProcessed;
  flow->ack_number += was_processed ? kResponseBytes : kRejectionBytes;
  const bool reuses_flow = m_scenario.kinds[flow->kind].reuses_flows;
  if (!reuses_flow || closes_flow || is_late || !was_processed) {
    SendFin(flow);
    Close(flow);
  } else {
    m_fleet->Send(MakePacket(*flow), flow->failure_domain, 0ms);
    m_idle_flows[{flow->kind, flow->failure_domain}].push_back(flow);
  }
  if (was_processed) {
    Finish(request, Ending::kAnswered);
    return;
  }
  const bool may_retry = kind == ResponseKind::kRejected ||
                         m_scenario.kinds[flow->kind].is_idempotent;
  const Ending ending =
      kind == ResponseKind::kRejected ? Ending::kRefused : Ending::kFailed;
  if (may_retry) {
    Retry(request, ending);
  } else {
    Finish(request, ending);
  }
}

void Clients::OnFlowLost(const flows::FlowKey& key, Ending ending) {
  const FlowPtr flow = FindFlow(key);
  if (flow == nullptr) {
    return;
  }
  const bool was_open = flow->state == FlowState::kOpen;
  const auto request = flow->request;
  Close(flow);
  if (request == nullptr) {
    return;
  }
  if (was_open && !m_scenario.kinds[flow->kind].is_idempotent) {
    Finish(request, Ending::kFailed);
    return;
  }
  const bool was_refused = !was_open && ending == Ending::kRefused;
  if (m_scenario.is_schedulable && was_refused) {
    Finish(request, Ending::kRefused);
    return;
  }
  Retry(request, was_refused ? Ending::kRefused : Ending::kFailed);
}

}  // namespace poplarsail::emulator
