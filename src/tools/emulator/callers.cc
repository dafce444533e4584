#include "emulator/callers.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <utility>

namespace poplarsail::emulator {

namespace {

using namespace std::chrono_literals;

// Copies of an opening packet, after the first; then the attempt ends.
constexpr milliseconds kFirstOpeningCopy{200};
constexpr milliseconds kSecondOpeningCopy{600};
constexpr milliseconds kOpeningTimeout{1'400};
// A request without an answer is sent again after this time, then after twice
// that, and so on.
constexpr milliseconds kFirstRequestCopy{200};
constexpr uint32_t kMaxTries = 3;
// Flows are kept open for further requests for up to this time.
constexpr milliseconds kFlowLife{20'000};
// Callers of a kind are as many as requests come in this time; each keeps one
// flow open.
constexpr double kPauseSeconds = 2.0;
constexpr size_t kRequestBytes = 100;

double Fraction(std::mt19937_64* random) {
  return std::generate_canonical<double, 53>(*random);
}

bool IsActive(const Trouble& trouble, SteadyTime now) {
  return now >= trouble.begin && now < trouble.begin + trouble.length;
}

}  // namespace

Callers::Callers(EventQueue* events,
                 const Scenario& scenario,
                 Fleet* fleet,
                 Recorder* recorder,
                 uint64_t seed)
    : m_events(events),
      m_scenario(scenario),
      m_fleet(fleet),
      m_recorder(recorder),
      m_random(seed) {
  Fleet::CallerLinks links;
  links.opened = [this](const flows::FlowKey& key, uint32_t tag) {
    TakeOpened(key, tag);
  };
  links.answered = [this](const flows::FlowKey& key, bool has_run,
                          bool is_last) { TakeAnswer(key, has_run, is_last); };
  links.reset = [this](const flows::FlowKey& key) { TakeReset(key); };
  fleet->set_caller_links(std::move(links));
}

void Callers::Start() {
  for (size_t kind = 0; kind < m_scenario.kinds.size(); ++kind) {
    ScheduleArrival(kind);
  }
}

double Callers::LoadFactor() const {
  double factor = 1;
  for (const Trouble& trouble : m_scenario.troubles) {
    if (trouble.kind == TroubleKind::kBurst &&
        IsActive(trouble, m_events->now())) {
      factor *= trouble.strength;
    }
    if (trouble.kind == TroubleKind::kWaves) {
      const std::chrono::duration<double> since =
          m_events->now() - trouble.begin;
      const std::chrono::duration<double> length = trouble.length;
      factor *= 1 + trouble.strength *
                        std::sin(2 * std::numbers::pi * (since / length));
    }
  }
  return factor;
}

size_t Callers::ChooseDomain() {
  const size_t domain = m_random() % m_scenario.failure_domains;
  for (const Trouble& trouble : m_scenario.troubles) {
    const bool is_moved = trouble.kind == TroubleKind::kShift && domain == 0 &&
                          IsActive(trouble, m_events->now()) &&
                          Fraction(&m_random) < trouble.strength;
    if (is_moved) {
      return 1;
    }
  }
  return domain;
}

void Callers::ScheduleArrival(size_t kind) {
  const double per_second = m_scenario.kinds[kind].per_second * LoadFactor();
  const double seconds = -std::log(1 - Fraction(&m_random)) / per_second;
  const std::chrono::microseconds pause(static_cast<int64_t>(seconds * 1e6));
  m_events->After(pause, [this, kind]() {
    auto request = std::make_shared<Request>();
    request->outcome.begin = m_events->now();
    request->outcome.kind = kind;
    request->outcome.failure_domain = ChooseDomain();
    request->deadline = m_events->now() + m_scenario.kinds[kind].budget;
    m_events->At(request->deadline,
                 [this, request]() { Finish(request, false); });
    Try(request);
    ScheduleArrival(kind);
  });
}

void Callers::Try(const std::shared_ptr<Request>& request) {
  RequestOutcome& outcome = request->outcome;
  ++outcome.tries;
  const bool keeps_flows = m_scenario.kinds[outcome.kind].keeps_flows;
  const FlowPtr flow = keeps_flows && outcome.tries == 1
                           ? TakeIdleFlow(outcome.kind, outcome.failure_domain)
                           : nullptr;
  if (flow == nullptr) {
    OpenFlow(request);
    return;
  }
  flow->request = request;
  SendRequest(flow, kFirstRequestCopy);
}

void Callers::TryAgain(const std::shared_ptr<Request>& request) {
  if (request->is_finished) {
    return;
  }
  if (request->outcome.tries >= kMaxTries) {
    Finish(request, false);
    return;
  }
  Try(request);
}

void Callers::Finish(const std::shared_ptr<Request>& request,
                     bool is_answered) {
  if (std::exchange(request->is_finished, true)) {
    return;
  }
  RequestOutcome& outcome = request->outcome;
  const RequestKind& kind = m_scenario.kinds[outcome.kind];
  outcome.duration =
      std::chrono::duration_cast<milliseconds>(m_events->now() - outcome.begin);
  if (is_answered) {
    outcome.worth = outcome.duration <= kind.aim ? 1 : kind.late_worth;
  }
  m_recorder->Add(outcome);
}

Callers::FlowPtr Callers::TakeIdleFlow(size_t kind, size_t failure_domain) {
  std::vector<FlowPtr>& idle = m_idle[{kind, failure_domain}];
  const double callers = m_scenario.kinds[kind].per_second * kPauseSeconds /
                         static_cast<double>(m_scenario.failure_domains);
  // A caller that has no flow yet opens one.
  const double chance =
      std::min(1.0, static_cast<double>(idle.size()) / callers);
  while (!idle.empty() && Fraction(&m_random) < chance) {
    std::swap(idle[m_random() % idle.size()], idle.back());
    const FlowPtr flow = idle.back();
    idle.pop_back();
    if (flow->state != FlowState::kOpen) {
      continue;
    }
    if (m_events->now() < flow->expiry) {
      return flow;
    }
    SendEnd(flow);
    Close(flow);
  }
  return nullptr;
}

void Callers::OpenFlow(const std::shared_ptr<Request>& request) {
  auto flow = std::make_shared<Flow>();
  const size_t service = m_scenario.kinds[request->outcome.kind].service;
  const uint32_t caller = m_next_caller++;
  flow->key = {{0x64400000 + (caller >> 14),
                static_cast<uint16_t>(1'024 + (caller & 0x3fff))},
               Fleet::ListenerOf(service)};
  flow->kind = request->outcome.kind;
  flow->failure_domain = request->outcome.failure_domain;
  flow->request = request;
  const auto life = std::chrono::milliseconds(
      1 + m_random() % static_cast<uint64_t>(kFlowLife.count()));
  flow->expiry = m_events->now() + life;
  m_flows[flow->key] = flow;
  SendOpening(flow, 0);
  m_events->After(kFirstOpeningCopy, [this, flow]() { SendOpening(flow, 1); });
  m_events->After(kSecondOpeningCopy, [this, flow]() { SendOpening(flow, 2); });
  m_events->After(kOpeningTimeout, [this, flow]() {
    if (flow->state == FlowState::kOpening) {
      TakeReset(flow->key);
    }
  });
}

flows::FlowPacket Callers::PacketOf(const Flow& flow) const {
  flows::FlowPacket packet;
  packet.key = flow.key;
  packet.sequence = flow.sequence;
  packet.ack_number = flow.ack_number;
  packet.tag = flow.tag;
  return packet;
}

void Callers::SendOpening(const FlowPtr& flow, uint32_t retransmit_count) {
  if (flow->state != FlowState::kOpening || flow->request->is_finished) {
    return;
  }
  flows::FlowPacket packet = PacketOf(*flow);
  packet.is_syn = true;
  packet.retransmit_count = retransmit_count;
  m_fleet->Send(packet, flow->failure_domain, 0ms);
}

void Callers::SendRequest(const FlowPtr& flow, milliseconds next_copy) {
  const auto request = flow->request;
  if (flow->state != FlowState::kOpen || request == nullptr ||
      request->is_finished) {
    return;
  }
  flows::FlowPacket packet = PacketOf(*flow);
  packet.data_bytes = kRequestBytes;
  m_fleet->Send(packet, flow->failure_domain,
                m_scenario.kinds[flow->kind].work);
  m_events->After(next_copy, [this, flow, request, next_copy]() {
    if (flow->request == request) {
      SendRequest(flow, 2 * next_copy);
    }
  });
}

void Callers::SendEnd(const FlowPtr& flow) {
  flows::FlowPacket packet = PacketOf(*flow);
  packet.is_fin = true;
  m_fleet->Send(packet, flow->failure_domain, 0ms);
}

void Callers::Close(const FlowPtr& flow) {
  flow->state = FlowState::kClosed;
  flow->request = nullptr;
  m_flows.erase(flow->key);
}

Callers::FlowPtr Callers::Find(const flows::FlowKey& key) const {
  const auto found = m_flows.find(key);
  return found == m_flows.end() ? nullptr : found->second;
}

void Callers::TakeOpened(const flows::FlowKey& key, uint32_t tag) {
  const FlowPtr flow = Find(key);
  if (flow == nullptr) {
    return;
  }
  flow->tag = tag;
  if (flow->state != FlowState::kOpening) {
    return;
  }
  flow->state = FlowState::kOpen;
  if (flow->request->is_finished) {
    SendEnd(flow);
    Close(flow);
    return;
  }
  SendRequest(flow, kFirstRequestCopy);
}

void Callers::TakeAnswer(const flows::FlowKey& key,
                         bool has_run,
                         bool is_last) {
  const FlowPtr flow = Find(key);
  if (flow == nullptr || flow->request == nullptr) {
    return;
  }
  const auto request = std::exchange(flow->request, nullptr);
  const bool is_late = request->is_finished;
  flow->sequence += kRequestBytes;
  flow->ack_number += kRequestBytes;
  const bool keeps = m_scenario.kinds[flow->kind].keeps_flows;
  if (!keeps || is_last || is_late || !has_run) {
    SendEnd(flow);
    Close(flow);
  } else {
    m_fleet->Send(PacketOf(*flow), flow->failure_domain, 0ms);
    m_idle[{flow->kind, flow->failure_domain}].push_back(flow);
  }
  if (has_run) {
    Finish(request, true);
  } else {
    TryAgain(request);
  }
}

void Callers::TakeReset(const flows::FlowKey& key) {
  const FlowPtr flow = Find(key);
  if (flow == nullptr) {
    return;
  }
  const bool was_open = flow->state == FlowState::kOpen;
  const auto request = flow->request;
  Close(flow);
  if (request == nullptr) {
    return;
  }
  if (was_open && !m_scenario.kinds[flow->kind].is_safe) {
    Finish(request, false);
    return;
  }
  TryAgain(request);
}

}  // namespace poplarsail::emulator
