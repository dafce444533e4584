#ifndef SCHEDULING_SERVICE_SCHEDULER_H_
#define SCHEDULING_SERVICE_SCHEDULER_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "scheduling/message_codec.h"
#include "scheduling/scheduler_figures.h"
#include "scheduling/types.h"

namespace poplarsail::scheduling {

enum class SchedulerActionKind : uint8_t { kGrant, kQueue, kRefuse, kForward };

// A message that the owner of the scheduler has to send.
struct SchedulerAction {
  SchedulerActionKind kind = SchedulerActionKind::kGrant;
  RequestKey request;
  // Set for kGrant.
  uint64_t upstream_id = 0;
  // Set for kRefuse.
  RefusalReason reason = RefusalReason::kNoRoom;
  // Set for kForward: the scheduler of another domain, and the request.
  Ipv4Endpoint forward_to;
  PlacementRequest forwarded;

  friend bool operator==(const SchedulerAction&,
                         const SchedulerAction&) = default;
};

using SchedulerActions = std::vector<SchedulerAction>;

// Places the flows of one service in one failure domain, lets them wait or
// refuses them.
class ServiceScheduler {
 public:
  ServiceScheduler(std::string service,
                   std::string failure_domain,
                   uint64_t seed);
  ~ServiceScheduler();

  // Replaces upstreams and listeners; what is known of remaining ones is kept,
  // except of upstreams that have restarted.
  SchedulerActions UpdatePool(const Pool& pool, SteadyTime now);
  SchedulerActions Submit(const PlacementRequest& request, SteadyTime now);
  SchedulerActions Complete(const Ipv4Endpoint& host,
                            const std::vector<Completion>& completions,
                            SteadyTime now);
  // All open flows of a host.
  SchedulerActions ApplySnapshot(const Ipv4Endpoint& host,
                                 const std::vector<OpenFlow>& flows,
                                 SteadyTime now);
  // An announcement of the service's scheduler in another failure domain.
  void RecordAnnouncement(const Announcement& announcement, SteadyTime now);
  // A forwarded request was refused there.
  SchedulerActions OnForwardRefused(const RequestKey& key, SteadyTime now);
  // A forwarded request was granted there. Without this call it waits here
  // after 60 ms, until its host lists or completes it.
  void OnForwardGranted(const RequestKey& key, SteadyTime now);
  // Call every 10 ms while requests wait, else at least once a second.
  SchedulerActions Tick(SteadyTime now);

  // The figures of the announcement; scheduler and capacity class are left to
  // the caller.
  Announcement Summary(SteadyTime now) const;

  // Speeds and work for the schedulers that may follow this one.
  LearnedMessage ExportLearned(SteadyTime now) const;
  // Takes over what another scheduler has learned where it knows more.
  void ImportLearned(const LearnedMessage& learned, SteadyTime now);

  SchedulerFigures figures() const;
  // Returns the waits of requests granted since the last call, at most the
  // last 1,024.
  std::vector<RecordedWait> TakeWaits();

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace poplarsail::scheduling

#endif  // SCHEDULING_SERVICE_SCHEDULER_H_
