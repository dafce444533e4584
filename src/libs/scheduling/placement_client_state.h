#ifndef SCHEDULING_PLACEMENT_CLIENT_STATE_H_
#define SCHEDULING_PLACEMENT_CLIENT_STATE_H_

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "scheduling/flow_reports.h"
#include "scheduling/placement_client.h"
#include "scheduling/scheduler_directory.h"

namespace poplarsail::scheduling {

// A request whose SYN is held.
struct Held {
  std::string service;
  PlacementRequest request;
  std::vector<Ipv4Endpoint> asked;
  bool is_repeated = false;
  // Schedulers that have refused the request.
  size_t refusal_count = 0;
  // The schedulers at which the request waits.
  std::set<Ipv4Endpoint> queued_at;
  // Not set if no candidate is left.
  std::optional<SteadyTime> repeat_due;
  // While the request waits, the end of the wait, else when the flow is placed
  // locally.
  SteadyTime end;

  bool IsQueued() const { return !queued_at.empty(); }
  SteadyTime Due() const {
    return repeat_due ? std::min(*repeat_due, end) : end;
  }
};

struct PlacementClient::State {
  explicit State(const Candidate& candidate)
      : own(candidate), directory(candidate) {}

  Candidate own;
  SchedulerDirectory directory;
  FlowReports reports;
  std::optional<uint32_t> next_token;
  std::unordered_map<uint32_t, Held> held;
  std::set<std::pair<SteadyTime, uint32_t>> deadlines;
  std::map<Ipv4Endpoint, std::set<uint32_t>> queued;

  uint32_t TakeToken(SteadyTime now);
  Held* FindAsked(uint32_t token, const Ipv4Endpoint& scheduler);
  FlowReports::SchedulerLookup Lookup(SteadyTime now) const;

  // Changes to a held request go through these, which keep the deadlines.
  template <typename Change>
  void Update(uint32_t token, const Change& change);
  Held Release(uint32_t token, SteadyTime now);

  void AskNext(uint32_t token, SteadyTime now, ClientActions& actions);
  void Ask(uint32_t token,
           const Ipv4Endpoint& scheduler,
           SteadyTime now,
           ClientActions& actions);
  // Asks the same scheduler again.
  void Repeat(uint32_t token, SteadyTime now, ClientActions& actions);
  // Asks again a scheduler at which the request waits: its answer may be lost.
  void AskWhileQueued(uint32_t token, SteadyTime now, ClientActions& actions);
  void SendRequest(uint32_t token,
                   const Ipv4Endpoint& scheduler,
                   ClientActions& actions) const;
  void Queue(uint32_t token, const Ipv4Endpoint& scheduler, SteadyTime now);
  void Unqueue(uint32_t token, const Ipv4Endpoint& scheduler);
  void PlaceLocally(uint32_t token, SteadyTime now, ClientActions& actions);
  void Reset(uint32_t token,
             RefusalReason reason,
             SteadyTime now,
             ClientActions& actions);
  void ProcessDeadlines(SteadyTime now, ClientActions& actions);
  void LeaveSilentSchedulers(SteadyTime now, ClientActions& actions);
};

}  // namespace poplarsail::scheduling

#endif  // SCHEDULING_PLACEMENT_CLIENT_STATE_H_
