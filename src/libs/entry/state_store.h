#ifndef ENTRY_STATE_STORE_H_
#define ENTRY_STATE_STORE_H_

#include <utility>
// Boost 1.74's awaitable.hpp needs <utility> before it.
#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "cluster_state/cluster_state.h"

namespace poplarsail::entry {

using StateEntry = std::variant<cluster_state::ClusterState::ConfigurationEntry,
                                cluster_state::ClusterState::UpstreamEntry,
                                cluster_state::ClusterState::EvacuationEntry>;

// Objects of one kind as of `version`.
struct StateBatch {
  std::vector<StateEntry> entries;
  cluster_state::StoreVersion version;
};

// Which data a list may return.
enum class ReadFreshness : uint8_t {
  kLatest,
  // Data that is some seconds old, at a tenth of the price of a call.
  kMayBeStale,
};

// Counts of calls to the store by outcome, and of malformed objects.
struct StoreCallCounts {
  uint64_t answered = 0;
  uint64_t refused = 0;
  // Calls without a response. They had no effect, or an unknown one.
  uint64_t failed = 0;
  uint64_t malformed_objects = 0;
  // Responses that were not used because of the era that they state.
  uint64_t unusable_eras = 0;
  // The latest era of the store; 0 if it states none.
  uint64_t era = 0;

  friend bool operator==(const StoreCallCounts&,
                         const StoreCallCounts&) = default;
};

// The store responds to a watch without changes at the watch's deadline; a
// response that is later than this counts as lost.
inline constexpr cluster_state::milliseconds kWatchOverdueTime{800};

// Source of the cluster state. Calls throw the errors of
// objects/object_store.h.
class StateStore {
 public:
  virtual ~StateStore() = default;

  virtual boost::asio::awaitable<StateBatch> List(
      cluster_state::ObjectKind kind,
      ReadFreshness freshness) = 0;

  // Waits for changes after revision `from`, at most until `deadline`. Gives up
  // on the response kWatchOverdueTime later, but not before the time that any
  // call may take. If the store was restored from a copy since, `from` may
  // denote another change now: the caller compares the era of the result.
  virtual boost::asio::awaitable<StateBatch> Watch(
      cluster_state::ObjectKind kind,
      uint64_t from,
      cluster_state::SteadyTime deadline) = 0;

  virtual const StoreCallCounts& counts() const = 0;
};

}  // namespace poplarsail::entry

#endif  // ENTRY_STATE_STORE_H_
