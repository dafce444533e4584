#ifndef ENTRY_CLUSTER_STATE_CODEC_H_
#define ENTRY_CLUSTER_STATE_CODEC_H_

#include <array>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "cluster_state/cluster_state.h"

namespace poplarsail::entry {

// Version of the messages between entry hosts; other versions are rejected.
inline constexpr int kStateMessageVersion = 1;
// Twice the 4 MB of a message with 25,000 upstreams and 6,800 listeners.
inline constexpr size_t kMaxStateMessageBytes = 8 << 20;

// Capacities above this are treated as unknown.
inline constexpr uint32_t kMaxCpuThousandths = 1'024'000;

// A message from another entry host is malformed, too large or of another
// version.
class StateMessageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// What a host knows of the store: the version up to which each kind is known,
// with revision 0 if it was never listed, and the version of the configuration
// in force: 0 if there is none, nullopt if an earlier release does not state
// it.
struct KnownVersions {
  std::array<cluster_state::StoreVersion, cluster_state::kObjectKindCount>
      listed{};
  std::optional<int64_t> configuration;

  friend bool operator==(const KnownVersions&, const KnownVersions&) = default;
};

KnownVersions KnownVersionsOf(const cluster_state::ClusterState& cluster_state);

// Returns whether `cluster_state` has changes that a host with `known` lacks.
bool IsNewer(const cluster_state::ClusterState& cluster_state,
             const KnownVersions& known);

// Returns whether a host with `known` has never listed some kind.
bool LacksKind(const KnownVersions& known);

// Returns whether a host with `known` needs all upstreams, since it knows none
// or those of another era.
bool NeedsAllUpstreams(const cluster_state::ClusterState& cluster_state,
                       const KnownVersions& known);

// What a host knows about the other entry hosts.
struct FleetView {
  // Number of entry hosts in the fleet; 0 if unknown.
  uint32_t host_count = 0;
  // Failure report endpoints of hosts in the querying host's failure domain.
  std::vector<model::Ipv4Endpoint> local_peers;
  // Failure report endpoints of a few hosts in each other failure domain.
  std::vector<model::Ipv4Endpoint> remote_peers;
  // Versions that the responding host knows.
  KnownVersions known;
  // Processor capacities of the local peers, in their order, in thousandths of
  // a core, 0 if unknown; empty if an earlier release does not state them.
  std::vector<uint32_t> local_capacities;

  friend bool operator==(const FleetView&, const FleetView&) = default;
};

// Encodes a MessagePack message with the changes of each kind after its version
// in `known`, or with all of its objects if that is unknown or of another era.
// Pass nullptr for `cluster_state` to send `fleet` only.
std::string EncodeClusterState(const cluster_state::ClusterState* cluster_state,
                               const KnownVersions& known,
                               const FleetView& fleet,
                               cluster_state::SteadyTime now);

// Merges a message into `cluster_state` by version and returns the fleet view
// in it. What comes from an earlier era of the store than a kind's own is
// ignored. Throws StateMessageError.
FleetView MergeClusterState(std::string_view message,
                            cluster_state::ClusterState* cluster_state,
                            cluster_state::SteadyTime now);

// Convert to and from text: comma-separated revisions, then the eras and the
// configuration, such as "1,2,3,1,1,1,7". Malformed or missing numbers are
// parsed as 0; hosts of earlier releases send the revisions only.
std::string ToText(const KnownVersions& known);
KnownVersions ParseKnownVersions(const std::string& text);

}  // namespace poplarsail::entry

#endif  // ENTRY_CLUSTER_STATE_CODEC_H_
