#include "entry/retry_gate.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace poplarsail::entry {

namespace asio = boost::asio;

asio::awaitable<void> RetryGate::WaitToRetry(const void* caller,
                                             std::chrono::milliseconds delay) {
  const bool is_prober = m_prober == nullptr || m_prober == caller;
  if (is_prober) {
    m_prober = caller;
  }
  asio::steady_timer timer(*m_context, is_prober ? delay : kMaxProbeWait);
  if (!is_prober) {
    m_waiting_timers.push_back(&timer);
  }
  boost::system::error_code cancelled;
  co_await timer.async_wait(
      asio::redirect_error(asio::use_awaitable, cancelled));
  std::erase(m_waiting_timers, &timer);
}

void RetryGate::RecordSuccess() {
  m_prober = nullptr;
  for (asio::steady_timer* timer : m_waiting_timers) {
    timer->cancel();
  }
}

}  // namespace poplarsail::entry
