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

// The properties of a client's request that the dispatcher needs.
struct RequestInfo {
  RequestId id = 0;
  std::string service;
  TimePoint deadline;
  // Running the request more than once is harmless.
  bool is_idempotent = false;

  friend bool operator==(const RequestInfo&, const RequestInfo&) = default;
};

// An upstream that can run requests of a service.
struct RequestUpstream {
  std::string name;
  model::Endpoint address;
  uint32_t slots = 1;
  // A draining upstream finishes its running requests and gets no new ones.
  bool is_draining = false;

  friend bool operator==(const RequestUpstream&,
                         const RequestUpstream&) = default;
};

// How one attempt on an upstream ended.
enum class AttemptOutcome : uint8_t {
  kResponseReceived,
  // The upstream rejected the request and confirmed that it did not run it.
  kShed,
  // No byte of the request reached the upstream.
  kNotRun,
  // The request may have run.
  kUnknown,
};

// Why a request was refused instead of answered by an upstream.
enum class RefusalCause : uint8_t {
  kNoSuchService,
  kNoUpstream,
  kQueueFull,
  kDeadlinePassed,
  kRetriesExhausted,
  // An attempt may have run, and the request is not idempotent.
  kOutcomeUnknown,
  kStopping,
};
inline constexpr size_t kRefusalCauseCount = 7;
std::string_view ToString(RefusalCause cause);

enum class DispatchActionKind : uint8_t { kStart, kRefuse, kCancel };

// An action that the owner of the dispatcher has to execute.
struct DispatchAction {
  DispatchActionKind kind = DispatchActionKind::kStart;
  RequestId request = 0;
  // Set for kStart and kCancel.
  RequestUpstream upstream;
  // Set for kRefuse.
  RefusalCause cause = RefusalCause::kNoUpstream;
  // Set for kRefuse: no attempt can have run, so the client can safely retry.
  bool did_not_run = false;

  friend bool operator==(const DispatchAction&,
                         const DispatchAction&) = default;
};

using DispatchActions = std::vector<DispatchAction>;

// Assigns each request to an upstream, queues it or refuses it. The upstream is
// the less loaded of two random candidates, where load is the number of running
// requests in relation to the concurrency limit.
class Dispatcher {
 public:
  explicit Dispatcher(uint64_t seed);

  // Replaces the upstreams of a service. Upstreams whose address and slots are
  // unchanged keep their concurrency limits.
  DispatchActions SetUpstreams(const std::string& service,
                               std::vector<RequestUpstream> upstreams,
                               TimePoint now);
  DispatchActions RemoveService(const std::string& service, TimePoint now);

  DispatchActions Submit(const RequestInfo& request, TimePoint now);
  // Records the outcome of the running attempt. Does nothing if the request has
  // already ended.
  DispatchActions FinishAttempt(RequestId id,
                                AttemptOutcome outcome,
                                TimePoint now);
  // Ends a request whose client no longer waits for it.
  DispatchActions Cancel(RequestId id, TimePoint now);
  // Refuses requests that are past their deadline and starts queued requests
  // for which a slot is free.
  DispatchActions Tick(TimePoint now);
  // Refuses all new requests as not run.
  DispatchActions StopAccepting(TimePoint now);

  // Number of running and queued requests.
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
    // A removed service is kept until its running requests have ended.
    bool is_removed = false;
  };
  struct RequestState {
    RequestInfo info;
    uint32_t attempts = 0;
    // Empty while the request is queued.
    std::string upstream;
    std::set<std::string> tried;
    // An attempt may have run.
    bool may_have_run = false;
  };

  void StartOrQueue(RequestState* request,
                    TimePoint now,
                    DispatchActions* actions);
  void StartQueued(const std::string& service,
                   TimePoint now,
                   DispatchActions* actions);
  UpstreamState* ChooseUpstream(ServiceState* service,
                                const RequestState& request,
                                TimePoint now);
  bool CanRetry(ServiceState* service,
                const RequestState& request,
                TimePoint now);
  void Refuse(RequestId id, RefusalCause cause, DispatchActions* actions);
  void ReleaseSlot(ServiceState* service, const std::string& upstream);

  std::mt19937_64 m_random;
  std::map<std::string, ServiceState> m_services;
  std::map<RequestId, RequestState> m_requests;
  bool m_is_stopping = false;
};

}  // namespace poplarsail::dispatch

#endif  // DISPATCH_DISPATCHER_H_
