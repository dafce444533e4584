#ifndef ENTRY_STATE_FOLLOWER_H_
#define ENTRY_STATE_FOLLOWER_H_

#include "entry/retry_gate.h"
#include "entry/state_store.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <random>

#include "cluster_state/cluster_state.h"

namespace poplarsail::entry {

// One watch waits this long at the most. A connection that went silent, also
// one whose keep-alive something in between still answers, is noticed when an
// answer is overdue; that has to be within the stable window of 4 s.
inline constexpr std::chrono::seconds kWatchWait{3};
// Pause after a watch that brought changes, so that one call brings several.
// Bounds on configurations and drains are 3 s and more.
inline constexpr cluster_state::milliseconds kWatchPause{300};
// Pause after a failed call: doubled each time, with jitter of half of it.
inline constexpr cluster_state::milliseconds kFirstRetryPause{100};
inline constexpr cluster_state::milliseconds kLongestRetryPause{1'600};

// Takes a whole list over into the belief.
void ApplyList(cluster_state::ClusterState* cluster_state,
               cluster_state::ObjectKind kind,
               const StateBatch& batch,
               cluster_state::SteadyTime now);

// Keeps the belief in step with one kind of objects of the store: lists it,
// then watches for changes.
class StateFollower {
 public:
  StateFollower(boost::asio::io_context* context,
                StateStore* store,
                RetryGate* gate,
                cluster_state::ObjectKind kind,
                cluster_state::ClusterState* cluster_state,
                std::function<void()> changed);

  // Runs for as long as the daemon does.
  boost::asio::awaitable<void> Run();

  // Whether the last call failed.
  bool is_lost() const { return m_failures > 0; }

 private:
  boost::asio::awaitable<void> FollowOnce();
  boost::asio::awaitable<void> Pause(cluster_state::milliseconds pause);
  void Apply(const StateBatch& batch, bool is_list);
  void NoteFailure(const char* reason);
  void NoteSuccess();

  StateStore* m_store;
  RetryGate* m_gate;
  cluster_state::ObjectKind m_kind;
  cluster_state::ClusterState* m_belief;
  std::function<void()> m_changed;
  boost::asio::steady_timer m_timer;
  std::minstd_rand m_random;
  // Revision to watch from; 0 where a list is needed.
  uint64_t m_position = 0;
  uint32_t m_failures = 0;
};

}  // namespace poplarsail::entry

#endif  // ENTRY_STATE_FOLLOWER_H_
