#ifndef SCHEDULING_SCHEDULER_DIRECTORY_H_
#define SCHEDULING_SCHEDULER_DIRECTORY_H_

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "scheduling/placement_client.h"

namespace poplarsail::scheduling {

// Knows which hosts may schedule a service, in the order of their rank, and
// which of them do not answer.
class SchedulerDirectory {
 public:
  explicit SchedulerDirectory(const Candidate& own);

  void SetCandidates(const std::vector<Candidate>& candidates);
  // A scheduler of `service` has announced itself.
  void RecordAnnouncement(const Announcement& announcement, SteadyTime now);
  // A scheduler has named another one of the service.
  void RecordRedirect(const std::string& service,
                      const Ipv4Endpoint& other,
                      SteadyTime now);

  // The best scheduler that is not in `excluded`, or nullopt.
  std::optional<Ipv4Endpoint> Select(const std::string& service,
                                     const std::vector<Ipv4Endpoint>& excluded,
                                     SteadyTime now) const;

  void RecordAsked(const Ipv4Endpoint& scheduler, SteadyTime now);
  void RecordAnswer(const Ipv4Endpoint& scheduler, SteadyTime now);
  // Does not select the scheduler for a second.
  void Skip(const Ipv4Endpoint& scheduler, SteadyTime now);
  // Skips schedulers that have not answered in time.
  void Tick(SteadyTime now);
  std::optional<SteadyTime> NextDeadline() const;

  // When any message of the scheduler last arrived.
  SteadyTime last_heard(const Ipv4Endpoint& scheduler) const;

 private:
  struct Heard {
    uint32_t capacity_class = 0;
    SteadyTime until;
  };
  struct Service {
    std::unordered_map<Ipv4Endpoint, Heard> heard;
    std::optional<Ipv4Endpoint> redirect;
    SteadyTime redirect_until;
    // Candidates and announced schedulers by rank.
    std::vector<Candidate> ranked;
  };
  struct Contact {
    SteadyTime last_heard;
    SteadyTime skipped_until;
    // Set while a request is unanswered.
    std::optional<SteadyTime> answer_due;
  };

  Service* FindService(const std::string& service);
  void Rank(const std::string& name, Service& service);
  // Whether the scheduler is known only by announcements that are too old.
  bool IsStale(const Service& service,
               const Ipv4Endpoint& scheduler,
               SteadyTime now) const;
  bool IsSkipped(const Ipv4Endpoint& scheduler, SteadyTime now) const;

  Candidate m_own;
  // Includes the own host.
  std::vector<Candidate> m_candidates;
  std::unordered_map<std::string, Service> m_services;
  std::unordered_map<Ipv4Endpoint, Contact> m_contacts;
};

}  // namespace poplarsail::scheduling

#endif  // SCHEDULING_SCHEDULER_DIRECTORY_H_
