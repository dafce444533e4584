#ifndef DISPATCH_DISPATCHER_H_
#define DISPATCH_DISPATCHER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/concurrency_limit.h"
#include "dispatch/retry_budget.h"
#include "model/model.h"

namespace poplarsail::dispatch {

using RequestId = uint64_t;

// A caller's request as far as decisions need it.
struct RequestInfo {
  RequestId id = 0;
  std::string service;
  TimePoint deadline;
  // The request may be run more than once.
  bool is_idempotent = false;

  friend bool operator==(const RequestInfo&, const RequestInfo&) = default;
};

// An upstream that requests of a service may go to.
struct RequestUpstream {
  std::string name;
  model::Endpoint address;
  uint32_t slots = 1;
  // A draining upstream finishes what it runs and gets nothing new.
  bool is_draining = false;

  friend bool operator==(const RequestUpstream&,
                         const RequestUpstream&) = default;
};

// How one attempt on an upstream ended.
enum class AttemptOutcome : uint8_t {
  kAnswered,
  // The upstream shed the request and proved that it did not run.
  kShed,
  // No byte of the request reached the upstream.
  kNotRun,
  // The request may have run.
  kUnknown,
};

// Why a caller gets no answer from an upstream.
enum class RefusalCause : uint8_t {
  kNoSuchService,
  kNoUpstream,
  kQueueFull,
  kDeadlinePassed,
  kRetriesExhausted,
  // The attempt may have run and the request must not run twice.
  kOutcomeUnknown,
  kStopping,
};
inline constexpr size_t kRefusalCauseCount = 7;
std::string_view ToString(RefusalCause cause);

enum class DispatchActionKind : uint8_t { kStart, kRefuse, kCancel };

// What the request duty has to do.
struct DispatchAction {
  DispatchActionKind kind = DispatchActionKind::kStart;
  RequestId request = 0;
  // kStart, kCancel.
  RequestUpstream upstream;
  // kRefuse.
  RefusalCause cause = RefusalCause::kNoUpstream;
  // kRefuse: the request certainly did not run.
  bool did_not_run = false;

  friend bool operator==(const DispatchAction&,
                         const DispatchAction&) = default;
};

using DispatchActions = std::vector<DispatchAction>;

// Decides which upstream runs which request, when it waits and when it is
// refused. Chooses the better of two random upstreams by load against limit.
class Dispatcher {
 public:
  explicit Dispatcher(uint64_t seed);

  // Replaces the upstreams of a service; limits of known ones are kept.
  DispatchActions SetUpstreams(const std::string& service,
                               std::vector<RequestUpstream> upstreams,
                               TimePoint now);
  DispatchActions RemoveService(const std::string& service, TimePoint now);

  DispatchActions Submit(const RequestInfo& request, TimePoint now);
  // An attempt ended. Outcomes of requests that are gone are ignored.
  DispatchActions FinishAttempt(RequestId id, AttemptOutcome outcome, TimePoint now);
  // The caller gave up.
  DispatchActions Cancel(RequestId id, TimePoint now);
  // Refuses what passed its deadline; starts what found a slot.
  DispatchActions Tick(TimePoint now);
  // From now on new requests are refused as not run.
  DispatchActions StopAccepting(TimePoint now);

  // Requests that run or wait.
  size_t open_requests() const { return m_requests.size(); }
  size_t queued_requests() const;

 private:
  struct UpstreamState {
    RequestUpstream info;
    ConcurrencyLimit limit;
    uint32_t running = 0;
    bool is_listed = true;
  };
  struct ServiceState {
    std::map<std::string, UpstreamState> upstreams;
    std::deque<RequestId> queue;
    RetryBudget budget;
    // Kept until its running requests have ended.
    bool is_removed = false;
  };
  struct RequestState {
    RequestInfo info;
    uint32_t attempts = 0;
    // Empty while the request waits.
    std::string upstream;
    std::set<std::string> tried;
    // An attempt may have run.
    bool may_have_run = false;
  };

  void Place(RequestState* request, TimePoint now, DispatchActions* actions);
  void StartQueued(const std::string& service,
                   TimePoint now,
                   DispatchActions* actions);
  UpstreamState* Choose(ServiceState* service,
                        const RequestState& request,
                        TimePoint now);
  bool CanRetry(ServiceState* service,
                const RequestState& request,
                TimePoint now);
  void Refuse(RequestId id, RefusalCause cause, DispatchActions* actions);
  void Release(ServiceState* service, const std::string& upstream);

  std::mt19937_64 m_random;
  std::map<std::string, ServiceState> m_services;
  std::map<RequestId, RequestState> m_requests;
  bool m_is_stopping = false;
};

}  // namespace poplarsail::dispatch

#endif  // DISPATCH_DISPATCHER_H_
