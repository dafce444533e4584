#ifndef SCHEDULING_PLACEMENT_CLIENT_H_
#define SCHEDULING_PLACEMENT_CLIENT_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "scheduling/types.h"

namespace poplarsail::scheduling {

enum class ClientActionKind : uint8_t {
  // Send the request to `scheduler`.
  kSendRequest,
  // Forward the SYN to the upstream `upstream_id`.
  kPlace,
  // Place the flow without a scheduler.
  kPlaceLocally,
  // Reset the client: nothing was forwarded.
  kReset,
  kSendCompletions,
  kSendSnapshot,
};

struct ClientAction {
  ClientActionKind kind = ClientActionKind::kSendRequest;
  std::string service;
  Ipv4Endpoint scheduler;
  // Set for kSendRequest, kPlace, kPlaceLocally and kReset.
  PlacementRequest request;
  uint64_t upstream_id = 0;
  RefusalReason reason = RefusalReason::kNoRoom;
  std::vector<Completion> completions;
  std::vector<OpenFlow> open_flows;

  friend bool operator==(const ClientAction&, const ClientAction&) = default;
};

using ClientActions = std::vector<ClientAction>;

// A host of this failure domain that may schedule.
struct Candidate {
  Ipv4Endpoint endpoint;
  // Floor of the binary logarithm of its thousandths of a core; 0 if unknown.
  uint32_t capacity_class = 0;

  friend auto operator<=>(const Candidate&, const Candidate&) = default;
};

// Returns the candidates by decreasing rank as schedulers of `service`.
std::vector<Candidate> RankCandidates(std::vector<Candidate> candidates,
                                      const std::string& service);

// Asks schedulers for the placement of this host's flows and reports what
// became of them.
class PlacementClient {
 public:
  explicit PlacementClient(const Candidate& own);
  ~PlacementClient();

  // The hosts of this failure domain that are known, with or without this one.
  void SetCandidates(const std::vector<Candidate>& candidates);

  // Asks for the placement of a flow. `key.host` and `key.token` of the request
  // are set by the client; the token is in the actions.
  ClientActions Request(const std::string& service,
                        PlacementRequest request,
                        SteadyTime now);
  // Returns a token for a flow that is placed without a request.
  uint32_t NewToken(SteadyTime now);
  // The client of a held SYN has sent a copy: whether it is still held.
  bool IsHeld(uint32_t token) const;

  ClientActions OnGrant(const Ipv4Endpoint& scheduler,
                        uint32_t token,
                        uint64_t upstream_id,
                        SteadyTime now);
  ClientActions OnQueued(const Ipv4Endpoint& scheduler,
                         uint32_t token,
                         SteadyTime now);
  ClientActions OnRefusal(const Ipv4Endpoint& scheduler,
                          uint32_t token,
                          RefusalReason reason,
                          const std::optional<Ipv4Endpoint>& other,
                          SteadyTime now);
  void OnAnnouncement(const Announcement& announcement, SteadyTime now);

  // The flow of a token was placed on an upstream, by grant or locally.
  void OnPlaced(const std::string& service,
                uint32_t token,
                uint64_t upstream_id,
                SteadyTime now);
  // The flow no longer occupies the upstream. Does nothing for unknown tokens.
  void OnCompleted(const Completion& completion, SteadyTime now);

  // Returns what is due: repeated requests, completions, snapshots.
  ClientActions Tick(SteadyTime now);
  // When Tick is due, or nullopt if nothing is pending.
  std::optional<SteadyTime> NextDeadline() const;

  // The scheduler in use for the service, or nullopt if there is none.
  std::optional<Ipv4Endpoint> scheduler_of(const std::string& service,
                                           SteadyTime now) const;

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace poplarsail::scheduling

#endif  // SCHEDULING_PLACEMENT_CLIENT_H_
