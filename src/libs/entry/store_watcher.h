#ifndef ENTRY_STORE_WATCHER_H_
#define ENTRY_STORE_WATCHER_H_

#include "entry/retry_gate.h"
#include "entry/state_store.h"
#include "entry/version_floor.h"
#include "entry/watch_timing.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <random>
#include <string>

#include "cluster_state/cluster_state.h"

namespace poplarsail::entry {

// Exponential backoff after failed calls: doubled with each failure, up to half
// of the delay is jitter.
inline constexpr cluster_state::milliseconds kInitialRetryDelay{100};
inline constexpr cluster_state::milliseconds kMaxRetryDelay{1'600};

// Applies a full list of one kind to the cluster state.
void ApplyList(cluster_state::ClusterState* cluster_state,
               cluster_state::ObjectKind kind,
               const StateBatch& batch,
               cluster_state::SteadyTime now);

// The kind with the fewest objects. Its lists return the latest data, which
// costs ten times as much, and show whether the lists of the other kinds are
// stale.
inline constexpr cluster_state::ObjectKind kReferenceKind =
    cluster_state::ObjectKind::kEvacuations;

// Keeps the cluster state in sync with one kind of objects in the store: lists
// them, then watches for changes.
class StoreWatcher {
 public:
  StoreWatcher(boost::asio::io_context* context,
               StateStore* store,
               RetryGate* gate,
               VersionFloor* floor,
               cluster_state::ObjectKind kind,
               const WatchTiming& timing,
               cluster_state::ClusterState* cluster_state,
               std::function<void()> on_change);

  // Runs until the daemon stops.
  boost::asio::awaitable<void> Run();

  // Returns whether the last call failed.
  bool is_store_unreachable() const { return m_failures > 0; }

  cluster_state::ObjectKind kind() const { return m_kind; }
  // The kind as it appears in logs and metrics.
  std::string kind_label() const;
  // Time of the last usable response, or of the start if there was none.
  cluster_state::SteadyTime last_response() const { return m_last_response; }

 private:
  boost::asio::awaitable<void> ListOrWatch();
  boost::asio::awaitable<void> List();
  // Waits for a list of the latest data, at most for the coalesce delay.
  boost::asio::awaitable<void> WaitForFloor();
  boost::asio::awaitable<void> Sleep(cluster_state::milliseconds delay);
  void Apply(const StateBatch& batch, bool is_list);
  cluster_state::milliseconds RetryDelay(uint32_t failures);
  // The next call lists the latest data.
  void RequireLatestList();
  void RecordFailure(const char* reason);
  void RecordSuccess();

  StateStore* m_store;
  RetryGate* m_gate;
  VersionFloor* m_floor;
  cluster_state::ObjectKind m_kind;
  WatchTiming m_timing;
  cluster_state::ClusterState* m_cluster_state;
  std::function<void()> m_on_change;
  boost::asio::steady_timer m_timer;
  std::minstd_rand m_random;
  // Version to watch from; revision 0 if a list is needed first.
  cluster_state::StoreVersion m_watch_version;
  // The next list must return the latest data.
  bool m_needs_latest_list = false;
  // The last list may be stale and has not been compared with the floor yet.
  bool m_is_list_unverified = false;
  uint32_t m_failures = 0;
  // Watches in a row that a list had to replace.
  uint32_t m_lost_watches = 0;
  cluster_state::SteadyTime m_call_start;
  cluster_state::SteadyTime m_last_response;
};

}  // namespace poplarsail::entry

#endif  // ENTRY_STORE_WATCHER_H_
