#ifndef ENTRY_LOCAL_SCHEDULERS_H_
#define ENTRY_LOCAL_SCHEDULERS_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "entry/scheduling_figures.h"
#include "entry/service_pools.h"
#include "entry/snapshot_assembler.h"
#include "scheduling/scheduling.h"

namespace poplarsail::entry {

// The schedulers that run on this host: one for each service for which requests
// arrive here.
class LocalSchedulers {
 public:
  using Send = std::function<void(const model::Ipv4Endpoint& receiver,
                                  const scheduling::SchedulingMessage&)>;

  // `pools` outlives this object. `send` also takes messages to this host.
  LocalSchedulers(const scheduling::Candidate& own,
                  std::string failure_domain,
                  const ServicePools* pools,
                  Send send);
  ~LocalSchedulers();

  void SetCandidates(const std::vector<scheduling::Candidate>& candidates);
  void SetRemotePeers(const std::vector<model::Ipv4Endpoint>& peers);
  // Call after each change of the pools.
  void UpdatePools(scheduling::SteadyTime now);

  // Return whether the message could be used.
  bool OnPlace(const std::string& service,
               const scheduling::PlaceMessage& message,
               const model::Ipv4Endpoint& sender,
               scheduling::SteadyTime now);
  bool OnComplete(const std::string& service,
                  const scheduling::CompleteMessage& message,
                  const model::Ipv4Endpoint& sender,
                  scheduling::SteadyTime now);
  bool OnSnapshot(const std::string& service,
                  const scheduling::SnapshotMessage& message,
                  const model::Ipv4Endpoint& sender,
                  scheduling::SteadyTime now);
  bool OnLearned(const std::string& service,
                 const scheduling::LearnedMessage& message,
                 scheduling::SteadyTime now);
  // An announcement of another scheduler, in this failure domain or another.
  bool OnAnnouncement(const scheduling::Announcement& announcement,
                      scheduling::SteadyTime now);
  // The answers to forwarded requests. Returns the request if one with this
  // token was forwarded to `sender`.
  std::optional<scheduling::RequestKey> OnForwardGranted(
      const std::string& service,
      uint32_t token,
      const model::Ipv4Endpoint& sender,
      scheduling::SteadyTime now);
  bool OnForwardRefused(const std::string& service,
                        const scheduling::RequestKey& key,
                        scheduling::SteadyTime now);

  bool IsRunning(const std::string& service) const;
  // Returns the requests that wait here to their hosts, which ask another
  // scheduler.
  void HandOver(scheduling::SteadyTime now);

  void Tick(scheduling::SteadyTime now);
  // Time until the next Tick, or nullopt if none is needed.
  std::optional<scheduling::milliseconds> TickInterval(
      scheduling::SteadyTime now) const;

  void AddFigures(scheduling::SteadyTime now, SchedulingFigures* figures) const;

 private:
  struct Running;
  // A better ranked scheduler of this failure domain.
  struct Better {
    scheduling::Candidate candidate;
    scheduling::SteadyTime since;
    scheduling::SteadyTime until;
  };
  struct StoredLearned {
    scheduling::LearnedMessage message;
    scheduling::SteadyTime expiry;
  };

  Running* Find(const std::string& service);
  Running* FindOrStart(const std::string& service, scheduling::SteadyTime now);
  const Better* FindBetter(const std::string& service,
                           scheduling::SteadyTime now) const;
  void Refuse(const std::string& service,
              const scheduling::PlaceMessage& message,
              const model::Ipv4Endpoint& receiver,
              scheduling::RefusalReason reason,
              const std::optional<model::Ipv4Endpoint>& other);
  // Sends the answers. `forwarder` is the scheduler that forwarded the request
  // `forwarded`.
  void Execute(Running& running,
               const scheduling::SchedulerActions& actions,
               scheduling::SteadyTime now,
               const scheduling::RequestKey& forwarded = {},
               const model::Ipv4Endpoint& forwarder = {});
  void Forward(Running& running,
               const scheduling::SchedulerAction& action,
               scheduling::SteadyTime now);
  void TickOne(const std::string& service,
               Running& running,
               scheduling::SteadyTime now);
  void Announce(Running& running, scheduling::SteadyTime now);
  void SendLearned(const std::string& service,
                   Running& running,
                   scheduling::SteadyTime now);
  void HandOverWaiting(const std::string& service,
                       Running& running,
                       scheduling::SteadyTime now);
  bool IsDroppable(const std::string& service,
                   const Running& running,
                   scheduling::SteadyTime now) const;
  scheduling::milliseconds AnnouncementInterval(
      size_t datagram_bytes,
      scheduling::SteadyTime now) const;
  std::vector<model::Ipv4Endpoint> AnnouncementReceivers() const;

  scheduling::Candidate m_own;
  std::string m_failure_domain;
  const ServicePools* m_pools;
  Send m_send;
  std::vector<scheduling::Candidate> m_candidates;
  std::vector<model::Ipv4Endpoint> m_remote_peers;
  std::map<std::string, std::unique_ptr<Running>> m_running;
  std::map<std::string, Better> m_better;
  std::map<std::string, std::vector<StoredLearned>> m_learned;
  SnapshotAssembler m_snapshots;
  uint64_t m_forwarded = 0;
  std::map<model::Ipv4Endpoint, telemetry::LatencyHistogram> m_waits;
};

}  // namespace poplarsail::entry

#endif  // ENTRY_LOCAL_SCHEDULERS_H_
