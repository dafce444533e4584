#ifndef ENTRY_BELIEF_CODEC_H_
#define ENTRY_BELIEF_CODEC_H_

#include <array>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "cluster_state/cluster_state.h"

namespace poplarsail::entry {

// Version of the messages between entry hosts; others are refused.
inline constexpr int kBeliefMessageVersion = 1;
// A message of 25,000 upstreams and 6,800 listeners has 4 MB.
inline constexpr size_t kMaxBeliefMessageBytes = 8 << 20;

// A message of another entry host that can't be used.
class BeliefMessageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Up to which revision each kind is known.
using ListedRevisions = std::array<uint64_t, cluster_state::kObjectKindCount>;

ListedRevisions ListedRevisionsOf(const cluster_state::ClusterState& cluster_state);

// Whether `belief` knows something that a host with `known` does not.
bool IsNewer(const cluster_state::ClusterState& cluster_state, const ListedRevisions& known);

// Whether a host with `known` has all of some kind still to learn.
bool LacksKind(const ListedRevisions& known);

// What a host knows of the others.
struct FleetView {
  // Entry hosts of the fleet; 0 where that is not known.
  uint32_t host_count = 0;
  // Where entry hosts of the asker's failure domain take findings.
  std::vector<model::Ipv4Endpoint> neighbours;
  // The same of a few hosts in each other failure domain.
  std::vector<model::Ipv4Endpoint> contacts;
  // Up to which revision the host that answers knows each kind.
  ListedRevisions revisions{};

  friend bool operator==(const FleetView&, const FleetView&) = default;
};

// Returns a message, as msgpack: of each kind what changed after the revision
// in `known`, or all of it where that is 0. `belief` is nullptr where the asker
// knows it all.
std::string EncodeBelief(const cluster_state::ClusterState* cluster_state,
                         const ListedRevisions& known,
                         const FleetView& fleet,
                         cluster_state::SteadyTime now);

// Merges a message into `belief`, by revision, and returns what it tells of the
// fleet. Throws BeliefMessageError.
FleetView MergeBelief(std::string_view message,
                      cluster_state::ClusterState* cluster_state,
                      cluster_state::SteadyTime now);

// "1,2,3,4"; unreadable parts count as 0.
std::string ToText(const ListedRevisions& revisions);
ListedRevisions ParseListedRevisions(const std::string& text);

}  // namespace poplarsail::entry

#endif  // ENTRY_BELIEF_CODEC_H_
