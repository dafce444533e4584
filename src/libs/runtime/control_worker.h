#ifndef RUNTIME_CONTROL_WORKER_H_
#define RUNTIME_CONTROL_WORKER_H_

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "control/control.h"
#include "objects/objects.h"
#include "runtime/membership_worker.h"
#include "runtime/packet_worker.h"
#include "runtime/request_worker.h"

namespace poplarsail::runtime {

// Keeps the configuration up to date: lists and watches the object API, plans
// services, passes changes to the other workers and reports status.
class ControlWorker {
 public:
  ControlWorker(const model::Settings& settings,
                std::unique_ptr<objects::ObjectStore> store,
                PacketWorker* packets,
                MembershipWorker* membership,
                RequestWorker* requests);

  // Runs until `stop` is set.
  void Run(const std::atomic<bool>& stop);

  // Whether a first configuration has been applied.
  bool is_ready() const { return m_is_ready.load(); }
  void set_stopping() { m_is_stopping.store(true); }
  std::shared_ptr<telemetry::CounterFamily> counters() const {
    return m_counters;
  }

 private:
  void ServiceObjectStore();
  void ListAndWatch();
  void ApplyWatchEvents();
  void HandleStoreFailure(const std::string& reason);
  void PublishConfigChanges();
  void PlanServices();
  void UpdatePlannedServices();
  void PlanService(const model::Service& service);
  void PublishPlans();
  void PublishMembers();
  void PublishRequestUpstreams();
  void FlushPendingCommands();
  void ReportStatus();
  nlohmann::json BuildStatus();
  void UpdateReplicaPeriod();

  model::Settings m_settings;
  std::unique_ptr<objects::ObjectStore> m_store;
  std::unique_ptr<objects::ObjectWatch> m_watch;
  PacketWorker* m_packets;
  MembershipWorker* m_membership;
  RequestWorker* m_requests;
  control::ConfigState m_config;
  std::mt19937_64 m_random;
  model::TimePoint m_next_store_attempt;
  model::TimePoint m_next_plan_check;
  model::TimePoint m_next_status_attempt;
  uint64_t m_published_change = 0;
  bool m_is_store_available = true;
  // The services that this host plans, as of `m_planned_services_change`.
  std::vector<std::string> m_planned_services;
  uint64_t m_planned_services_change = 0;
  std::map<std::string, uint32_t> m_published_plans;
  std::shared_ptr<const MemberList> m_published_members;
  // Period in which this host stores flow records, as announced in its status.
  model::TimePoint m_replica_from = model::TimePoint::max();
  model::TimePoint m_replica_until = model::TimePoint::max();
  std::map<std::string, std::vector<dispatch::RequestUpstream>>
      m_published_upstreams;
  std::deque<PacketCommand> m_pending_packet_commands;
  std::deque<RequestCommand> m_pending_request_commands;
  std::shared_ptr<const MemberList> m_pending_members;
  nlohmann::json m_reported_status;
  std::atomic<bool> m_is_ready = false;
  std::atomic<bool> m_is_stopping = false;
  std::shared_ptr<telemetry::CounterFamily> m_counters;
};

}  // namespace poplarsail::runtime

#endif  // RUNTIME_CONTROL_WORKER_H_
