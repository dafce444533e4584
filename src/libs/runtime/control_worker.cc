#include "runtime/control_worker.h"

#include <thread>
#include <utility>

#include <fmt/format.h>

namespace poplarsail::runtime {

namespace {

using model::Now;
using model::TimePoint;
using telemetry::Log;
using telemetry::LogLevel;

constexpr std::chrono::milliseconds kEventPollInterval{50};
constexpr std::chrono::milliseconds kMinRetryDelay{200};
constexpr std::chrono::milliseconds kMaxRetryJitter{800};
constexpr std::chrono::milliseconds kPlanCheckInterval{1'000};
constexpr std::chrono::milliseconds kStatusInterval{1'000};
// Time between announcing that this host starts or stops storing flow records
// and doing so. Longer than the platform's host list takes to reach all hosts.
constexpr std::chrono::milliseconds kReplicaAnnounceLeadTime{4'000};
constexpr int kMaxReadBacks = 3;
constexpr int kMaxEventsPerRound = 1'000;

enum ControlEvent : size_t {
  kStoreFailure,
  kRelist,
  kEvent,
  kRefusedObject,
  kPlanWritten,
  kPlanConflict,
};

}  // namespace

ControlWorker::ControlWorker(const model::Settings& settings,
                             std::unique_ptr<objects::ObjectStore> store,
                             PacketWorker* packets,
                             MembershipWorker* membership,
                             RequestWorker* requests)
    : m_settings(settings),
      m_store(std::move(store)),
      m_packets(packets),
      m_membership(membership),
      m_requests(requests),
      m_random(std::random_device()()),
      m_counters(std::make_shared<telemetry::CounterFamily>(
          "poplarsail_control_events_total",
          "Events of the control worker.",
          "event",
          std::vector<std::string>{"store_failure", "relist", "watch_event",
                                   "refused_object", "plan_written",
                                   "plan_conflict"})) {}

void ControlWorker::Run(const std::atomic<bool>& stop) {
  while (!stop.load(std::memory_order_relaxed)) {
    if (Now() < m_next_store_attempt) {
      std::this_thread::sleep_for(kEventPollInterval);
    } else {
      ServiceObjectStore();
    }
    PublishConfigChanges();
    FlushPendingCommands();
  }
}

void ControlWorker::ServiceObjectStore() {
  try {
    if (m_watch == nullptr) {
      ListAndWatch();
    }
    ApplyWatchEvents();
    PlanServices();
    ReportStatus();
  } catch (const objects::CompactedError&) {
    m_watch.reset();
  } catch (const objects::ObjectStoreError& error) {
    HandleStoreFailure(error.what());
  }
}

void ControlWorker::ListAndWatch() {
  const objects::ObjectList list = m_store->List("");
  m_counters->Add(kRelist);
  if (m_config.ReplaceAll(list) == control::ApplyResult::kStale) {
    throw objects::UnavailableError(
        "the object API returned an older state than the one in use");
  }
  m_watch = m_store->Watch(list.resource_version);
  if (!m_is_store_available) {
    Log(LogLevel::kInfo, "control", "object API available again");
  }
  m_is_store_available = true;
}

void ControlWorker::ApplyWatchEvents() {
  TimePoint deadline = Now() + kEventPollInterval;
  for (int i = 0; i < kMaxEventsPerRound; ++i) {
    const auto event = m_watch->Next(deadline);
    if (!event) {
      return;
    }
    m_counters->Add(kEvent);
    if (m_config.Apply(*event) == control::ApplyResult::kInvalid) {
      m_counters->Add(kRefusedObject);
      Log(LogLevel::kWarning, "control",
          "invalid object rejected; keeping its last valid version",
          {{"object", event->object.key.kind + "/" + event->object.key.name},
           {"version", std::to_string(event->object.resource_version)},
           {"reason", m_config.rejected_objects().at(event->object.key)}});
    }
    deadline = Now();
  }
}

void ControlWorker::HandleStoreFailure(const std::string& reason) {
  m_watch.reset();
  m_counters->Add(kStoreFailure);
  if (m_is_store_available) {
    Log(LogLevel::kWarning, "control",
        "object API unavailable; keeping the current configuration",
        {{"reason", reason}});
  }
  m_is_store_available = false;
  std::uniform_int_distribution<int64_t> jitter(0, kMaxRetryJitter.count());
  m_next_store_attempt =
      Now() + kMinRetryDelay + std::chrono::milliseconds(jitter(m_random));
}

void ControlWorker::PublishConfigChanges() {
  if (m_config.change_count() == m_published_change) {
    return;
  }
  m_published_change = m_config.change_count();
  PublishMembers();
  PublishPlans();
  PublishRequestUpstreams();
  if (!m_is_ready.exchange(true)) {
    Log(LogLevel::kInfo, "control", "a configuration is in force",
        {{"version", std::to_string(m_config.version())}});
  }
  // Updates the plans now instead of at the next periodic check.
  m_next_plan_check = Now();
}

void ControlWorker::PlanServices() {
  if (Now() < m_next_plan_check || m_is_stopping.load()) {
    return;
  }
  m_next_plan_check = Now() + kPlanCheckInterval;
  UpdatePlannedServices();
  for (const std::string& name : m_planned_services) {
    PlanService(m_config.services().at(name));
  }
}

void ControlWorker::UpdatePlannedServices() {
  if (m_planned_services_change == m_config.change_count()) {
    return;
  }
  m_planned_services_change = m_config.change_count();
  m_planned_services.clear();
  const control::PlannerAssignment planner_assignment(m_config.LiveHosts());
  for (const auto& [name, service] : m_config.services()) {
    if (service.mode == model::ServiceMode::kPackets &&
        planner_assignment.PlannerOf(name) == m_settings.host_name) {
      m_planned_services.push_back(name);
    }
  }
}

void ControlWorker::PlanService(const model::Service& service) {
  const TimePoint now = Now();
  const auto object = control::NextPlanObject(
      m_config, service, m_random(),
      {now, now + std::chrono::milliseconds(m_settings.announce_ms),
       now + std::chrono::milliseconds(m_settings.leave_ms)});
  if (!object) {
    return;
  }
  try {
    const model::Object stored =
        objects::PutWithReadBack(m_store.get(), *object, kMaxReadBacks);
    m_config.Apply({objects::WatchEventType::kPut, stored});
    m_counters->Add(kPlanWritten);
    Log(LogLevel::kInfo, "control", "steering plan written",
        {{"object", "Plan/" + service.name},
         {"generation", stored.spec.at("generation").dump()}});
  } catch (const objects::ConflictError&) {
    m_counters->Add(kPlanConflict);
  }
}

void ControlWorker::PublishPlans() {
  for (const auto& [name, plan] : m_config.plans()) {
    const auto published = m_published_plans.find(name);
    if (published != m_published_plans.end() &&
        published->second >= plan->generation()) {
      continue;
    }
    m_published_plans[name] = plan->generation();
    m_pending_packet_commands.push_back(SetPlanCommand{plan});
  }
  std::erase_if(m_published_plans, [this](const auto& item) {
    const bool is_removed = !m_config.services().contains(item.first);
    if (is_removed) {
      m_pending_packet_commands.push_back(RemoveServiceCommand{item.first});
    }
    return is_removed;
  });
}

void ControlWorker::PublishMembers() {
  MemberList list{m_config.Members(m_settings.relay_port),
                  m_config.FailureDomains()};
  if (m_published_members != nullptr && *m_published_members == list) {
    return;
  }
  m_published_members = std::make_shared<const MemberList>(std::move(list));
  m_pending_members = m_published_members;
}

void ControlWorker::PublishRequestUpstreams() {
  for (const auto& [name, service] : m_config.services()) {
    if (service.mode != model::ServiceMode::kRequests) {
      continue;
    }
    auto upstreams = m_config.RequestUpstreamsFor(name);
    const auto published = m_published_upstreams.find(name);
    if (published != m_published_upstreams.end() &&
        published->second == upstreams) {
      continue;
    }
    m_published_upstreams[name] = upstreams;
    m_pending_request_commands.push_back({name, std::move(upstreams), false});
  }
  std::erase_if(m_published_upstreams, [this](const auto& item) {
    const bool is_removed = !m_config.services().contains(item.first);
    if (is_removed) {
      m_pending_request_commands.push_back({item.first, {}, true});
    }
    return is_removed;
  });
}

// Commands that do not fit into a full queue are retried in the next round.
void ControlWorker::FlushPendingCommands() {
  while (!m_pending_packet_commands.empty() &&
         m_packets->commands().TryPush(m_pending_packet_commands.front())) {
    m_pending_packet_commands.pop_front();
  }
  if (m_pending_members != nullptr &&
      m_membership->member_lists().TryPush(m_pending_members)) {
    m_pending_members = nullptr;
  }
  while (!m_pending_request_commands.empty() &&
         m_requests->commands().TryPush(m_pending_request_commands.front())) {
    m_pending_request_commands.pop_front();
  }
}

// A host starts storing flow records only after announcing it. A host that
// stops, leaves or is in an evacuated failure domain announces the end in the
// same way.
void ControlWorker::UpdateReplicaPeriod() {
  const TimePoint announced = Now() + kReplicaAnnounceLeadTime;
  const auto self = m_config.entry_hosts().find(m_settings.host_name);
  const bool is_listed = self != m_config.entry_hosts().end();
  const bool is_serving =
      is_listed && self->second.phase == model::HostPhase::kLive &&
      !m_is_stopping.load() &&
      !m_config.IsDomainEvacuated(m_settings.failure_domain);
  const bool is_announced =
      m_replica_from != TimePoint::max() && m_replica_until == TimePoint::max();
  if (is_serving && !is_announced) {
    m_replica_from = announced;
    m_replica_until = TimePoint::max();
  } else if (!is_serving && is_announced) {
    m_replica_until = announced;
  }
}

nlohmann::json ControlWorker::BuildStatus() {
  UpdateReplicaPeriod();
  nlohmann::json status = {
      {"phase", m_is_stopping.load() ? "stopping" : "serving"},
      {"plans", m_published_plans}};
  if (m_replica_from != TimePoint::max()) {
    status[control::kReplicaFromKey] = model::ToUnixMillis(m_replica_from);
  }
  if (m_replica_until != TimePoint::max()) {
    status[control::kReplicaUntilKey] = model::ToUnixMillis(m_replica_until);
  }
  for (const auto& [key, reason] : m_config.rejected_objects()) {
    status["refused"][key.kind + "/" + key.name] = reason;
  }
  return status;
}

void ControlWorker::ReportStatus() {
  const model::Object* self =
      m_config.FindObject({model::kEntryHostKind, m_settings.host_name});
  if (self == nullptr || Now() < m_next_status_attempt) {
    return;
  }
  const nlohmann::json status = BuildStatus();
  if (status == m_reported_status) {
    return;
  }
  m_next_status_attempt = Now() + kStatusInterval;
  model::Object object = *self;
  object.status = status;
  try {
    const model::Object stored =
        objects::PutWithReadBack(m_store.get(), object, kMaxReadBacks);
    m_config.Apply({objects::WatchEventType::kPut, stored});
    m_reported_status = status;
  } catch (const objects::ConflictError&) {
    // The watch will deliver the newer version; the next round retries.
  }
}

}  // namespace poplarsail::runtime
