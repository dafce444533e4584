#include "entry/flow_scheduling_state.h"

#include <boost/asio/post.hpp>
#include <variant>

#include "entry/handler_errors.h"
#include "telemetry/telemetry.h"

namespace poplarsail::entry {

namespace {

using model::Ipv4Endpoint;
using scheduling::ClientAction;
using scheduling::ClientActionKind;
using scheduling::RefusalReason;
using scheduling::SchedulingMessage;
using scheduling::SteadyTime;

constexpr size_t kMaxKnownHosts = 4'096;
// Causes of placements without a scheduler.
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

}  // namespace

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
    if (capacity_classes.size() < kMaxKnownHosts) {
      capacity_classes[sender] = announcement.capacity_class;
    }
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
    RunGuarded("scheduling", [&]() { ExecuteDecision(decision); });
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
    RunGuarded("scheduling", [&]() { (*state.*handler)(); });
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

}  // namespace poplarsail::entry
