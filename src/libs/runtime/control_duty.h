#ifndef RUNTIME_CONTROL_DUTY_H_
#define RUNTIME_CONTROL_DUTY_H_

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "control/control.h"
#include "objects/objects.h"
#include "runtime/membership_duty.h"
#include "runtime/packet_duty.h"
#include "runtime/request_duty.h"

namespace poplarsail::runtime {

// Keeps the configuration in force: lists and watches the object API, plans
// services, tells the other duties what changed, reports status.
class ControlDuty {
 public:
  ControlDuty(const model::Settings& settings,
              std::unique_ptr<objects::ObjectStore> store,
              PacketDuty* packets,
              MembershipDuty* membership,
              RequestDuty* requests);

  // Runs until `stop` is set.
  void Run(const std::atomic<bool>& stop);

  // A first configuration is in force.
  bool is_ready() const { return m_is_ready.load(); }
  void set_stopping() { m_is_stopping.store(true); }
  std::shared_ptr<telemetry::CounterFamily> counters() const { return m_counters; }

 private:
  void ServeStore();
  void Synchronize();
  void TakeEvents();
  void NoteStoreFailure(const std::string& reason);
  void Reconcile();
  void PlanServices();
  void ChoosePlannedServices();
  void PlanService(const model::Service& service);
  void PublishPlans();
  void PublishMembers();
  void PublishRequestUpstreams();
  void PushPending();
  void ReportStatus();
  nlohmann::json CurrentStatus();
  void UpdateKeeperTimes();

  model::Settings m_settings;
  std::unique_ptr<objects::ObjectStore> m_store;
  std::unique_ptr<objects::ObjectWatch> m_watch;
  PacketDuty* m_packets;
  MembershipDuty* m_membership;
  RequestDuty* m_requests;
  control::ConfigState m_config;
  std::mt19937_64 m_random;
  model::TimePoint m_next_store_attempt;
  model::TimePoint m_next_plan_check;
  model::TimePoint m_next_status_attempt;
  uint64_t m_reconciled_change = 0;
  bool m_store_is_up = true;
  // The services that this host plans, as of that change.
  std::vector<std::string> m_planned_services;
  uint64_t m_planned_at_change = 0;
  std::map<std::string, uint32_t> m_published_plans;
  std::shared_ptr<const MemberList> m_published_members;
  // When this host keeps flow records, as announced in its status.
  model::TimePoint m_keeper_from = model::TimePoint::max();
  model::TimePoint m_keeper_until = model::TimePoint::max();
  std::map<std::string, std::vector<dispatch::RequestUpstream>>
      m_published_upstreams;
  std::deque<PacketCommand> m_pending_packets;
  std::deque<RequestCommand> m_pending_requests;
  std::shared_ptr<const MemberList> m_pending_members;
  nlohmann::json m_reported_status;
  std::atomic<bool> m_is_ready = false;
  std::atomic<bool> m_is_stopping = false;
  std::shared_ptr<telemetry::CounterFamily> m_counters;
};

}  // namespace poplarsail::runtime

#endif  // RUNTIME_CONTROL_DUTY_H_
