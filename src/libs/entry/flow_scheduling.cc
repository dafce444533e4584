#include "entry/flow_scheduling.h"

#include <bit>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <unordered_map>
#include <utility>
#include <variant>

#include "entry/local_schedulers.h"
#include "entry/service_pools.h"
#include "telemetry/telemetry.h"

namespace poplarsail::entry {

namespace {

using model::Ipv4Endpoint;
using scheduling::ClientAction;
using scheduling::ClientActionKind;
using scheduling::RefusalReason;
using scheduling::SchedulingMessage;
using scheduling::SteadyTime;

// Causes of placements without a scheduler.
constexpr const char* kNoScheduler = "no-scheduler";
constexpr const char* kNoAnswer = "no-answer";
constexpr const char* kRedirected = "redirected";
constexpr const char* kUnusableUpstream = "unusable-upstream";

const char* ToText(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kNoRoom:
      return "no-room";
    case RefusalReason::kNoUpstream:
      return "no-upstream";
    case RefusalReason::kUseOther:
      break;
  }
  return "use-other";
}

SteadyTime Now() {
  return std::chrono::steady_clock::now();
}

// A timer that remembers its expiry.
struct Alarm {
  explicit Alarm(boost::asio::io_context* context) : timer(*context) {}

  boost::asio::steady_timer timer;
  std::optional<SteadyTime> expiry;
};

}  // namespace

struct FlowScheduling::State : std::enable_shared_from_this<State> {
  // What the delegate has to do for a flow.
  struct Decision {
    ClientActionKind kind = ClientActionKind::kPlaceLocally;
    std::string service;
    uint32_t token = 0;
    uint64_t upstream_id = 0;
    RefusalReason reason = RefusalReason::kNoRoom;
  };

  State(boost::asio::io_context* io_context,
        PeerSocket* peer_socket,
        Delegate* flow_delegate,
        Options scheduling_options)
      : context(io_context),
        socket(peer_socket),
        delegate(flow_delegate),
        options(std::move(scheduling_options)),
        client(options.own),
        pools(options.failure_domain),
        schedulers(options.own,
                   options.failure_domain,
                   &pools,
                   [this](const Ipv4Endpoint& receiver,
                          const SchedulingMessage& message) {
                     Deliver(receiver, message);
                   }),
        client_alarm(io_context),
        scheduler_alarm(io_context) {}

  void Deliver(const Ipv4Endpoint& receiver, const SchedulingMessage& message);
  void HandleDatagram(const Ipv4Endpoint& sender,
                      std::span<const uint8_t> datagram);
  // Returns whether the message could be used.
  bool Handle(const Ipv4Endpoint& sender,
              const SchedulingMessage& message,
              SteadyTime now);
  bool HandleGrant(const Ipv4Endpoint& sender,
                   const std::string& service,
                   const scheduling::GrantMessage& grant,
                   SteadyTime now);
  bool HandleRefusal(const Ipv4Endpoint& sender,
                     const std::string& service,
                     const scheduling::RefuseMessage& refusal,
                     SteadyTime now);
  bool HandleAnnouncement(const Ipv4Endpoint& sender,
                          const std::string& service,
                          scheduling::Announcement announcement,
                          SteadyTime now);
  void Execute(const scheduling::ClientActions& actions,
               const char* local_cause,
               SteadyTime now);
  void SendRequest(const ClientAction& action, SteadyTime now);
  void LogSchedulerInUse(const std::string& service, SteadyTime now);
  // The delegate is called later, since its own calls are still running.
  void Decide(Decision decision);
  void ExecuteDecisions();
  void ExecuteDecision(const Decision& decision);
  void ScheduleTimers();
  void Schedule(Alarm& alarm,
                std::optional<SteadyTime> expiry,
                void (State::*handler)());
  void OnClientTimer();
  void OnSchedulerTimer();

  boost::asio::io_context* context;
  PeerSocket* socket;
  Delegate* delegate;
  Options options;
  scheduling::PlacementClient client;
  scheduling::SingleRequestDetector detector;
  ServicePools pools;
  LocalSchedulers schedulers;
  Alarm client_alarm;
  Alarm scheduler_alarm;
  std::deque<Decision> decisions;
  std::unordered_map<std::string, scheduling::Candidate> schedulers_in_use;
  std::unordered_map<Ipv4Endpoint, uint32_t> capacity_classes;
  SchedulingFigures counts;
  bool is_stopping = false;
};

void FlowScheduling::State::Deliver(const Ipv4Endpoint& receiver,
                                    const SchedulingMessage& message) {
  if (receiver == options.own.endpoint) {
    if (!is_stopping) {
      Handle(receiver, message, Now());
    }
    return;
  }
  for (const auto& datagram : scheduling::EncodeMessage(message)) {
    socket->Send(receiver, datagram);
  }
}

void FlowScheduling::State::HandleDatagram(const Ipv4Endpoint& sender,
                                           std::span<const uint8_t> datagram) {
  const auto message = scheduling::DecodeMessage(datagram);
  const bool is_usable = message && Handle(sender, *message, Now());
  counts.dropped_messages += is_usable ? 0 : 1;
  ScheduleTimers();
}

bool FlowScheduling::State::Handle(const Ipv4Endpoint& sender,
                                   const SchedulingMessage& message,
                                   SteadyTime now) {
  const std::string& service = message.service;
  if (const auto* place =
          std::get_if<scheduling::PlaceMessage>(&message.body)) {
    return schedulers.OnPlace(service, *place, sender, now);
  }
  if (const auto* grant =
          std::get_if<scheduling::GrantMessage>(&message.body)) {
    return HandleGrant(sender, service, *grant, now);
  }
  if (const auto* queued =
          std::get_if<scheduling::QueuedMessage>(&message.body)) {
    ++counts.queued;
    Execute(client.OnQueued(sender, queued->token, now), kNoAnswer, now);
    return true;
  }
  if (const auto* refusal =
          std::get_if<scheduling::RefuseMessage>(&message.body)) {
    return HandleRefusal(sender, service, *refusal, now);
  }
  if (const auto* complete =
          std::get_if<scheduling::CompleteMessage>(&message.body)) {
    return schedulers.OnComplete(service, *complete, sender, now);
  }
  if (const auto* snapshot =
          std::get_if<scheduling::SnapshotMessage>(&message.body)) {
    return schedulers.OnSnapshot(service, *snapshot, sender, now);
  }
  if (const auto* learned =
          std::get_if<scheduling::LearnedMessage>(&message.body)) {
    return schedulers.OnLearned(service, *learned, now);
  }
  return HandleAnnouncement(
      sender, service, std::get<scheduling::Announcement>(message.body), now);
}

bool FlowScheduling::State::HandleGrant(const Ipv4Endpoint& sender,
                                        const std::string& service,
                                        const scheduling::GrantMessage& grant,
                                        SteadyTime now) {
  const auto forwarded =
      schedulers.OnForwardGranted(service, grant.token, sender, now);
  if (!forwarded || forwarded->host == options.own.endpoint) {
    Execute(client.OnGrant(sender, grant.token, grant.upstream_id, now),
            kNoAnswer, now);
  }
  return true;
}

bool FlowScheduling::State::HandleRefusal(
    const Ipv4Endpoint& sender,
    const std::string& service,
    const scheduling::RefuseMessage& refusal,
    SteadyTime now) {
  if (refusal.forwarded_for) {
    return schedulers.OnForwardRefused(
        service, {*refusal.forwarded_for, refusal.token}, now);
  }
  ++counts.refused_by_reason[ToText(refusal.reason)];
  Execute(client.OnRefusal(sender, refusal.token, refusal.reason, refusal.other,
                           now),
          kRedirected, now);
  return true;
}

bool FlowScheduling::State::HandleAnnouncement(
    const Ipv4Endpoint& sender,
    const std::string& service,
    scheduling::Announcement announcement,
    SteadyTime now) {
  const bool is_passed_on = announcement.scheduler != Ipv4Endpoint();
  if (!is_passed_on) {
    announcement.scheduler = sender;
  }
  if (announcement.scheduler == options.own.endpoint) {
    return false;
  }
  const bool is_local = announcement.failure_domain == options.failure_domain;
  if (is_local && is_passed_on) {
    return false;
  }
  if (is_local) {
    capacity_classes[sender] = announcement.capacity_class;
    client.OnAnnouncement(announcement, now);
  }
  if (schedulers.OnAnnouncement(announcement, now) || is_passed_on) {
    return true;
  }
  // An idle service has no scheduler; it needs no offers either.
  const auto scheduler = client.scheduler_of(service, now);
  const bool is_other = scheduler && *scheduler != options.own.endpoint;
  if (is_other && pools.Find(service) != nullptr) {
    Deliver(*scheduler, {service, announcement});
  }
  return true;
}

void FlowScheduling::State::Execute(const scheduling::ClientActions& actions,
                                    const char* local_cause,
                                    SteadyTime now) {
  for (const ClientAction& action : actions) {
    const uint32_t token = action.request.key.token;
    switch (action.kind) {
      case ClientActionKind::kSendRequest:
        SendRequest(action, now);
        break;
      case ClientActionKind::kPlace:
        ++counts.granted;
        Decide({action.kind, action.service, token, action.upstream_id});
        break;
      case ClientActionKind::kPlaceLocally:
        ++counts.placed_locally_by_cause[local_cause];
        Decide({action.kind, action.service, token});
        break;
      case ClientActionKind::kReset:
        Decide({action.kind, action.service, token, 0, action.reason});
        break;
      case ClientActionKind::kSendCompletions:
        Deliver(
            action.scheduler,
            {action.service, scheduling::CompleteMessage{action.completions}});
        break;
      case ClientActionKind::kSendSnapshot:
        Deliver(action.scheduler,
                {action.service,
                 scheduling::SnapshotMessage{0, 1, action.open_flows}});
        break;
    }
  }
}

void FlowScheduling::State::SendRequest(const ClientAction& action,
                                        SteadyTime now) {
  ++counts.sent_requests;
  const scheduling::PlacementRequest& request = action.request;
  scheduling::PlaceMessage message;
  message.token = request.key.token;
  message.listener = request.listener;
  message.client_address = request.client_address;
  message.syn_age = std::chrono::duration_cast<scheduling::milliseconds>(
      now - request.first_syn);
  message.excluded_upstream_ids = request.excluded_upstream_ids;
  Deliver(action.scheduler, {action.service, message});
}

void FlowScheduling::State::LogSchedulerInUse(const std::string& service,
                                              SteadyTime now) {
  const auto endpoint = client.scheduler_of(service, now);
  if (!endpoint) {
    return;
  }
  const auto known = schedulers_in_use.find(service);
  if (known != schedulers_in_use.end() && known->second.endpoint == *endpoint) {
    return;
  }
  const auto capacity = capacity_classes.find(*endpoint);
  const scheduling::Candidate candidate{
      *endpoint,
      *endpoint == options.own.endpoint
          ? options.own.capacity_class
          : (capacity == capacity_classes.end() ? 0 : capacity->second)};
  std::string previous = "none";
  std::string reason = "first request";
  if (known != schedulers_in_use.end()) {
    previous = model::ToString(known->second.endpoint);
    const auto ranked =
        scheduling::RankCandidates({known->second, candidate}, service);
    reason = ranked[0] == candidate ? "better rank" : "previous unavailable";
  }
  schedulers_in_use[service] = candidate;
  telemetry::Log(telemetry::LogLevel::kInfo, "scheduling", "scheduler in use",
                 {{"service", service},
                  {"endpoint", model::ToString(*endpoint)},
                  {"previous", previous},
                  {"reason", reason}});
}

void FlowScheduling::State::Decide(Decision decision) {
  decisions.push_back(std::move(decision));
  if (decisions.size() > 1) {
    return;
  }
  boost::asio::post(*context, [weak = weak_from_this()]() {
    if (const auto state = weak.lock()) {
      state->ExecuteDecisions();
    }
  });
}

void FlowScheduling::State::ExecuteDecisions() {
  for (const Decision& decision : std::exchange(decisions, {})) {
    ExecuteDecision(decision);
  }
  ScheduleTimers();
}

void FlowScheduling::State::ExecuteDecision(const Decision& decision) {
  switch (decision.kind) {
    case ClientActionKind::kPlace: {
      const SteadyTime now = Now();
      const PlaceResult result =
          delegate->PlaceFlow(decision.token, decision.upstream_id);
      client.OnPlaced(decision.service, decision.token, decision.upstream_id,
                      now);
      if (result == PlaceResult::kPlaced) {
        return;
      }
      const bool is_unusable = result == PlaceResult::kUnusableUpstream;
      client.OnCompleted({decision.token, decision.upstream_id,
                          is_unusable ? scheduling::Outcome::kFailed
                                      : scheduling::Outcome::kAbandoned},
                         now);
      if (!is_unusable) {
        return;
      }
      ++counts.placed_locally_by_cause[kUnusableUpstream];
      delegate->PlaceFlowLocally(decision.token);
      return;
    }
    case ClientActionKind::kReset:
      delegate->RefuseFlow(decision.token, decision.reason);
      return;
    default:
      delegate->PlaceFlowLocally(decision.token);
      return;
  }
}

void FlowScheduling::State::ScheduleTimers() {
  Schedule(client_alarm, client.NextDeadline(), &State::OnClientTimer);
  const SteadyTime now = Now();
  const auto interval = schedulers.TickInterval(now);
  Schedule(scheduler_alarm,
           interval ? std::optional(now + *interval) : std::nullopt,
           &State::OnSchedulerTimer);
}

void FlowScheduling::State::Schedule(Alarm& alarm,
                                     std::optional<SteadyTime> expiry,
                                     void (State::*handler)()) {
  if (!expiry || (alarm.expiry && *alarm.expiry <= *expiry)) {
    return;
  }
  alarm.expiry = expiry;
  alarm.timer.expires_at(*expiry);
  alarm.timer.async_wait([weak = weak_from_this(), &alarm, expiry,
                          handler](const boost::system::error_code& error) {
    const auto state = weak.lock();
    // The timer may have been set to an earlier time meanwhile.
    if (error || !state || alarm.expiry != expiry) {
      return;
    }
    alarm.expiry.reset();
    (*state.*handler)();
    state->ScheduleTimers();
  });
}

void FlowScheduling::State::OnClientTimer() {
  const SteadyTime now = Now();
  Execute(client.Tick(now), kNoAnswer, now);
}

void FlowScheduling::State::OnSchedulerTimer() {
  schedulers.Tick(Now());
}

FlowScheduling::FlowScheduling(boost::asio::io_context* context,
                               PeerSocket* socket,
                               Delegate* delegate,
                               Options options)
    : m_state(std::make_shared<State>(context,
                                      socket,
                                      delegate,
                                      std::move(options))) {
  socket->SetHandler(
      scheduling::kSchedulingMessageVersion,
      [this](const Ipv4Endpoint& sender, std::span<const uint8_t> datagram) {
        m_state->HandleDatagram(sender, datagram);
      });
}

FlowScheduling::~FlowScheduling() {
  m_state->is_stopping = true;
  m_state->schedulers.HandOver(Now());
  m_state->socket->SetHandler(scheduling::kSchedulingMessageVersion, nullptr);
}

void FlowScheduling::Update(const cluster_state::ClusterState& cluster_state) {
  m_state->pools.Update(cluster_state);
  m_state->schedulers.UpdatePools(Now());
  m_state->ScheduleTimers();
}

void FlowScheduling::SetLocalCandidates(
    const std::vector<scheduling::Candidate>& candidates) {
  for (const scheduling::Candidate& candidate : candidates) {
    m_state->capacity_classes[candidate.endpoint] = candidate.capacity_class;
  }
  m_state->client.SetCandidates(candidates);
  m_state->schedulers.SetCandidates(candidates);
}

void FlowScheduling::SetRemotePeers(
    const std::vector<model::Ipv4Endpoint>& peers) {
  m_state->schedulers.SetRemotePeers(peers);
}

bool FlowScheduling::IsScheduled(const std::string& service) const {
  return m_state->options.is_enabled &&
         m_state->pools.HasSingleRequests(service, m_state->detector);
}

uint32_t FlowScheduling::Request(const std::string& service,
                                 scheduling::PlacementRequest request) {
  const SteadyTime now = Now();
  m_state->LogSchedulerInUse(service, now);
  const scheduling::ClientActions actions =
      m_state->client.Request(service, std::move(request), now);
  const uint32_t token = actions.front().request.key.token;
  m_state->Execute(actions, kNoScheduler, now);
  m_state->ScheduleTimers();
  return token;
}

uint32_t FlowScheduling::NewToken() {
  return m_state->client.NewToken(Now());
}

void FlowScheduling::OnPlaced(const std::string& service,
                              uint32_t token,
                              uint64_t upstream_id) {
  m_state->client.OnPlaced(service, token, upstream_id, Now());
  m_state->ScheduleTimers();
}

void FlowScheduling::OnCompleted(const scheduling::Completion& completion) {
  m_state->client.OnCompleted(completion, Now());
  m_state->ScheduleTimers();
}

void FlowScheduling::OnFlowEnded(const Ipv4Endpoint& listener,
                                 uint32_t request_count) {
  m_state->detector.RecordFlow(listener, request_count);
}

void FlowScheduling::OnFlowReused(const Ipv4Endpoint& listener) {
  m_state->detector.RecordReuse(listener);
}

SchedulingFigures FlowScheduling::figures() const {
  SchedulingFigures figures = m_state->counts;
  m_state->schedulers.AddFigures(Now(), &figures);
  return figures;
}

std::vector<scheduling::Candidate> MakeCandidates(const FleetView& fleet) {
  std::vector<scheduling::Candidate> candidates;
  for (size_t i = 0; i < fleet.local_peers.size(); ++i) {
    const uint32_t cpu_thousandths =
        i < fleet.local_capacities.size() ? fleet.local_capacities[i] : 0;
    candidates.push_back(
        {fleet.local_peers[i], CapacityClass(cpu_thousandths)});
  }
  return candidates;
}

uint32_t CapacityClass(uint32_t cpu_thousandths) {
  return cpu_thousandths == 0
             ? 0
             : static_cast<uint32_t>(std::bit_width(cpu_thousandths) - 1);
}

}  // namespace poplarsail::entry
