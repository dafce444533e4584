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

// Those who wait for another's success try by themselves after this time: the
// longest pause between two tries, and a call that is answered late.
inline constexpr std::chrono::milliseconds kGateWait{2'500};

// Lets one of several callers find out when the store is back. Load pattern:
// the store refuses all hosts for seconds, and each call is charged.
class RetryGate {
 public:
  explicit RetryGate(boost::asio::io_context* context) : m_context(context) {}

  // Returns when `caller` should try again after a failed call: after `pause`
  // where it is the one who finds out, else when another call succeeded.
  boost::asio::awaitable<void> WaitToRetry(const void* caller,
                                           std::chrono::milliseconds pause);

  // A call succeeded: all may try.
  void NoteSuccess();

 private:
  boost::asio::io_context* m_context;
  // Who finds out; nullptr while the store answers.
  const void* m_prober = nullptr;
  std::vector<boost::asio::steady_timer*> m_waiting;
};

}  // namespace poplarsail::entry

#endif  // ENTRY_RETRY_GATE_H_
