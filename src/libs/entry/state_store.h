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

using BeliefEntry = std::variant<cluster_state::ClusterState::ConfigurationEntry,
                                 cluster_state::ClusterState::UpstreamEntry,
                                 cluster_state::ClusterState::EvacuationEntry>;

// Objects of one kind as of revision `at`.
struct StateBatch {
  std::vector<BeliefEntry> entries;
  uint64_t at = 0;
};

// Calls to the store by outcome.
struct StoreCallCounts {
  uint64_t answered = 0;
  uint64_t refused = 0;
  // Without an answer: nothing, or nothing known, was done.
  uint64_t failed = 0;
  uint64_t malformed_objects = 0;

  friend bool operator==(const StoreCallCounts&,
                         const StoreCallCounts&) = default;
};

// Where beliefs are read from. Calls throw
// the errors of objects/object_store.h.
class StateStore {
 public:
  virtual ~StateStore() = default;

  virtual boost::asio::awaitable<StateBatch> List(cluster_state::ObjectKind kind) = 0;

  // Waits for changes after revision `from`, until `deadline` at the most.
  virtual boost::asio::awaitable<StateBatch>
  Watch(cluster_state::ObjectKind kind, uint64_t from, cluster_state::SteadyTime deadline) = 0;

  virtual const StoreCallCounts& counts() const = 0;
};

}  // namespace poplarsail::entry

#endif  // ENTRY_STATE_STORE_H_
