#ifndef SCHEDULING_SCHEDULER_STATE_H_
#define SCHEDULING_SCHEDULER_STATE_H_

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "scheduling/drain_meter.h"
#include "scheduling/fair_queue.h"
#include "scheduling/listener_table.h"
#include "scheduling/pool_state.h"
#include "scheduling/recent_answers.h"
#include "scheduling/service_scheduler.h"
#include "scheduling/spill.h"

namespace poplarsail::scheduling {

inline double MsUntil(SteadyTime now, SteadyTime time) {
  return std::chrono::duration<double, std::milli>(time - now).count();
}

inline SchedulerAction MakeAction(SchedulerActionKind kind,
                                  const RequestKey& key) {
  SchedulerAction action;
  action.kind = kind;
  action.request = key;
  return action;
}

struct ServiceScheduler::State {
  struct Forward {
    WaitingRequest waiting;
    SteadyTime expires;
  };

  State(std::string service_name, std::string domain, uint64_t seed)
      : service(std::move(service_name)),
        failure_domain(std::move(domain)),
        pool(seed) {}

  WaitingRequest Prepare(const PlacementRequest& request, SteadyTime now);
  bool AnswerDuplicate(const PlacementRequest& request, SteadyTime now);
  std::optional<uint64_t> ChoosePlace(const WaitingRequest& waiting,
                                      bool allow_extra,
                                      SteadyTime now);
  double DrainRate(const Capacity& capacity,
                   uint32_t priority,
                   SteadyTime now) const;
  double PredictWaitMs(const WaitingRequest& waiting,
                       const Capacity& capacity,
                       SteadyTime now) const;
  // How long a waiting request is planned to take once it has a slot.
  double PlannedMs(const WaitingRequest& waiting, double speed);
  void Admit(WaitingRequest waiting, SteadyTime now);
  void Enqueue(WaitingRequest waiting, SteadyTime now);
  bool TryForward(WaitingRequest& waiting, double wait_ms, SteadyTime now);
  void Grant(const WaitingRequest& waiting,
             uint64_t upstream_id,
             SteadyTime now);
  void Refuse(const WaitingRequest& waiting,
              RefusalReason reason,
              SteadyTime now);
  void GrantWaiting(SteadyTime now);
  void RefuseHopeless(SteadyTime now);
  void ReturnForwards(SteadyTime now);
  void CompleteOne(const RequestKey& key,
                   const Completion& completion,
                   SteadyTime now);
  // Ends a flow for good.
  void Free(const RequestKey& key, SteadyTime now);
  // Removes a flow that its host may list again.
  void Forget(const RequestKey& key, SteadyTime now);
  // An upstream that answers errors at once would have a free place more often
  // than all others. Its place stays taken for the usual time of a request.
  bool HoldsPlaceOfError(const RequestKey& key,
                         const Completion& completion,
                         SteadyTime now);
  void Withdraw(const RequestKey& key);
  void AddListed(const RequestKey& key, const OpenFlow& flow, SteadyTime now);
  void Refresh(SteadyTime now);
  void Sweep(SteadyTime now);
  SchedulerActions TakeActions() { return std::exchange(actions, {}); }

  std::string service;
  std::string failure_domain;
  PoolState pool;
  FairQueue queue;
  ListenerTable listeners;
  DrainMeter drain;
  SpillOffers offers;
  RecentAnswers answers;
  std::unordered_map<RequestKey, Forward, RequestKeyHash> forwards;
  // When the flows of a host no longer count, unless it sends a message.
  std::map<Ipv4Endpoint, SteadyTime> hosts;
  uint32_t grants_while_waiting = 0;
  SteadyTime next_sweep;
  SchedulerFigures figures;
  std::deque<RecordedWait> waits;
  SchedulerActions actions;
};

}  // namespace poplarsail::scheduling

#endif  // SCHEDULING_SCHEDULER_STATE_H_
