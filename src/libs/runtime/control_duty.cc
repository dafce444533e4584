#include "runtime/control_duty.h"

#include <thread>
#include <utility>

#include <fmt/format.h>

namespace poplarsail::runtime {

namespace {

using model::Now;
using model::TimePoint;
using telemetry::Log;
using telemetry::LogLevel;

constexpr std::chrono::milliseconds kEventWait{50};
constexpr std::chrono::milliseconds kRetryLeast{200};
constexpr std::chrono::milliseconds kRetrySpread{800};
constexpr std::chrono::milliseconds kPlanCheckInterval{1'000};
constexpr std::chrono::milliseconds kStatusInterval{1'000};
// Between the announcement that this host keeps records, or stops, and that
// time; longer than the platform's list takes to reach all hosts.
constexpr std::chrono::milliseconds kKeeperAnnounce{4'000};
constexpr int kMaxReadBacks = 3;
constexpr int kMaxEventsAtOnce = 1'000;

enum Count : size_t {
  kStoreFailure,
  kRelist,
  kEvent,
  kRefusedObject,
  kPlanWritten,
  kPlanConflict,
};

}  // namespace

ControlDuty::ControlDuty(const model::Settings& settings,
                         std::unique_ptr<objects::ObjectStore> store,
                         PacketDuty* packets,
                         MembershipDuty* membership,
                         RequestDuty* requests)
    : m_settings(settings),
      m_store(std::move(store)),
      m_packets(packets),
      m_membership(membership),
      m_requests(requests),
      m_random(std::random_device()()),
      m_counters(std::make_shared<telemetry::CounterFamily>(
          "poplarsail_control_events_total",
          "Events of the control duty.",
          "event",
          std::vector<std::string>{"store_failure", "relist", "watch_event",
                                   "refused_object", "plan_written",
                                   "plan_conflict"})) {}

void ControlDuty::Run(const std::atomic<bool>& stop) {
  while (!stop.load(std::memory_order_relaxed)) {
    if (Now() < m_next_store_attempt) {
      std::this_thread::sleep_for(kEventWait);
    } else {
      ServeStore();
    }
    Reconcile();
    PushPending();
  }
}

void ControlDuty::ServeStore() {
  try {
    if (m_watch == nullptr) {
      Synchronize();
    }
    TakeEvents();
    PlanServices();
    ReportStatus();
  } catch (const objects::CompactedError&) {
    m_watch.reset();
  } catch (const objects::ObjectStoreError& error) {
    NoteStoreFailure(error.what());
  }
}

void ControlDuty::Synchronize() {
  const objects::ObjectList list = m_store->List("");
  m_counters->Add(kRelist);
  if (m_config.ReplaceAll(list) == control::ApplyResult::kStale) {
    throw objects::UnavailableError(
        "the object API answered with an older state than is in force");
  }
  m_watch = m_store->Watch(list.resource_version);
  if (!m_store_is_up) {
    Log(LogLevel::kInfo, "control", "the object API answers again");
  }
  m_store_is_up = true;
}

void ControlDuty::TakeEvents() {
  TimePoint deadline = Now() + kEventWait;
  for (int i = 0; i < kMaxEventsAtOnce; ++i) {
    const auto event = m_watch->Next(deadline);
    if (!event) {
      return;
    }
    m_counters->Add(kEvent);
    if (m_config.Apply(*event) == control::ApplyResult::kInvalid) {
      m_counters->Add(kRefusedObject);
      Log(LogLevel::kWarning, "control",
          "an object was refused; its last good version stays in force",
          {{"object", event->object.key.kind + "/" + event->object.key.name},
           {"version", std::to_string(event->object.resource_version)},
           {"reason", m_config.refused().at(event->object.key)}});
    }
    deadline = Now();
  }
}

void ControlDuty::NoteStoreFailure(const std::string& reason) {
  m_watch.reset();
  m_counters->Add(kStoreFailure);
  if (m_store_is_up) {
    Log(LogLevel::kWarning, "control",
        "the object API is away; the configuration in force stays",
        {{"reason", reason}});
  }
  m_store_is_up = false;
  std::uniform_int_distribution<int64_t> jitter(0, kRetrySpread.count());
  m_next_store_attempt =
      Now() + kRetryLeast + std::chrono::milliseconds(jitter(m_random));
}

void ControlDuty::Reconcile() {
  if (m_config.change_count() == m_reconciled_change) {
    return;
  }
  m_reconciled_change = m_config.change_count();
  PublishMembers();
  PublishPlans();
  PublishRequestUpstreams();
  if (!m_is_ready.exchange(true)) {
    Log(LogLevel::kInfo, "control", "a configuration is in force",
        {{"version", std::to_string(m_config.version())}});
  }
  // Plans follow the change without waiting for the next regular check.
  m_next_plan_check = Now();
}

void ControlDuty::PlanServices() {
  if (Now() < m_next_plan_check || m_is_stopping.load()) {
    return;
  }
  m_next_plan_check = Now() + kPlanCheckInterval;
  ChoosePlannedServices();
  for (const std::string& name : m_planned_services) {
    PlanService(m_config.services().at(name));
  }
}

void ControlDuty::ChoosePlannedServices() {
  if (m_planned_at_change == m_config.change_count()) {
    return;
  }
  m_planned_at_change = m_config.change_count();
  m_planned_services.clear();
  const control::PlannerAssignment choice(m_config.LiveHosts());
  for (const auto& [name, service] : m_config.services()) {
    if (service.mode == model::ServiceMode::kPackets &&
        choice.PlannerOf(name) == m_settings.host_name) {
      m_planned_services.push_back(name);
    }
  }
}

void ControlDuty::PlanService(const model::Service& service) {
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
    Log(LogLevel::kInfo, "control", "a steering plan was written",
        {{"object", "Plan/" + service.name},
         {"generation", stored.spec.at("generation").dump()}});
  } catch (const objects::ConflictError&) {
    m_counters->Add(kPlanConflict);
  }
}

void ControlDuty::PublishPlans() {
  for (const auto& [name, plan] : m_config.plans()) {
    const auto published = m_published_plans.find(name);
    if (published != m_published_plans.end() &&
        published->second >= plan->generation()) {
      continue;
    }
    m_published_plans[name] = plan->generation();
    m_pending_packets.push_back(SetPlanCommand{plan});
  }
  std::erase_if(m_published_plans, [this](const auto& item) {
    const bool is_gone = !m_config.services().contains(item.first);
    if (is_gone) {
      m_pending_packets.push_back(RemoveServiceCommand{item.first});
    }
    return is_gone;
  });
}

void ControlDuty::PublishMembers() {
  MemberList list{m_config.Members(m_settings.relay_port),
                  m_config.FailureDomains()};
  if (m_published_members != nullptr && *m_published_members == list) {
    return;
  }
  m_published_members = std::make_shared<const MemberList>(std::move(list));
  m_pending_members = m_published_members;
}

void ControlDuty::PublishRequestUpstreams() {
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
    m_pending_requests.push_back({name, std::move(upstreams), false});
  }
  std::erase_if(m_published_upstreams, [this](const auto& item) {
    const bool is_gone = !m_config.services().contains(item.first);
    if (is_gone) {
      m_pending_requests.push_back({item.first, {}, true});
    }
    return is_gone;
  });
}

// What a full ring refuses is kept and pushed again in the next round.
void ControlDuty::PushPending() {
  while (!m_pending_packets.empty() &&
         m_packets->commands().TryPush(m_pending_packets.front())) {
    m_pending_packets.pop_front();
  }
  if (m_pending_members != nullptr &&
      m_membership->lists().TryPush(m_pending_members)) {
    m_pending_members = nullptr;
  }
  while (!m_pending_requests.empty() &&
         m_requests->commands().TryPush(m_pending_requests.front())) {
    m_pending_requests.pop_front();
  }
}

// A host that starts begins to keep records after an announcement; one that
// stops, leaves or stands in a domain that is out ends so.
void ControlDuty::UpdateKeeperTimes() {
  const TimePoint announced = Now() + kKeeperAnnounce;
  const auto self = m_config.entry_hosts().find(m_settings.host_name);
  const bool is_listed = self != m_config.entry_hosts().end();
  const bool is_serving =
      is_listed && self->second.phase == model::HostPhase::kLive &&
      !m_is_stopping.load() && !m_config.IsDomainEvacuated(m_settings.failure_domain);
  const bool is_announced =
      m_keeper_from != TimePoint::max() && m_keeper_until == TimePoint::max();
  if (is_serving && !is_announced) {
    m_keeper_from = announced;
    m_keeper_until = TimePoint::max();
  } else if (!is_serving && is_announced) {
    m_keeper_until = announced;
  }
}

nlohmann::json ControlDuty::CurrentStatus() {
  UpdateKeeperTimes();
  nlohmann::json status = {
      {"phase", m_is_stopping.load() ? "stopping" : "serving"},
      {"plans", m_published_plans}};
  if (m_keeper_from != TimePoint::max()) {
    status[control::kReplicaFromKey] = model::ToUnixMillis(m_keeper_from);
  }
  if (m_keeper_until != TimePoint::max()) {
    status[control::kReplicaUntilKey] = model::ToUnixMillis(m_keeper_until);
  }
  for (const auto& [key, reason] : m_config.refused()) {
    status["refused"][key.kind + "/" + key.name] = reason;
  }
  return status;
}

void ControlDuty::ReportStatus() {
  const model::Object* self =
      m_config.FindObject({model::kEntryHostKind, m_settings.host_name});
  if (self == nullptr || Now() < m_next_status_attempt) {
    return;
  }
  const nlohmann::json status = CurrentStatus();
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
    // The watch brings the newer version; the next round tries again.
  }
}

}  // namespace poplarsail::runtime
