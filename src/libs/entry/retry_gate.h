#ifndef ENTRY_RETRY_GATE_H_
#define ENTRY_RETRY_GATE_H_

#include <utility>
// Boost 1.74's awaitable.hpp needs <utility> before it.
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <vector>

namespace poplarsail::entry {

// Callers that wait for the prober retry on their own after this time: the
// longest delay between two retries plus a call with a late response.
inline constexpr std::chrono::milliseconds kMaxProbeWait{2'500};

// Lets only one of several callers probe an unavailable store while the others
// wait for its success. This keeps the number of calls low when the store
// refuses all hosts for seconds, since each call is charged.
class RetryGate {
 public:
  explicit RetryGate(boost::asio::io_context* context) : m_context(context) {}

  // Call after a failed call. Completes when `caller` should retry: after
  // `delay` if it is the prober, else once another call has succeeded or after
  // kMaxProbeWait.
  boost::asio::awaitable<void> WaitToRetry(const void* caller,
                                           std::chrono::milliseconds delay);

  // Wakes up all waiting callers after a successful call.
  void RecordSuccess();

 private:
  boost::asio::io_context* m_context;
  // The caller that probes the store; nullptr while the store responds.
  const void* m_prober = nullptr;
  std::vector<boost::asio::steady_timer*> m_waiting_timers;
};

}  // namespace poplarsail::entry

#endif  // ENTRY_RETRY_GATE_H_
