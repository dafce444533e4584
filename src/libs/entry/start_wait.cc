#include "entry/start_wait.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

namespace poplarsail::entry {

// Owned by its handlers too, which may run after the wait has ended.
struct StartWait::Signals : std::enable_shared_from_this<Signals> {
  explicit Signals(boost::asio::io_context* context)
      : set(*context, SIGTERM, SIGINT, SIGHUP) {}

  void Wait() {
    set.async_wait([self = shared_from_this()](
                       const boost::system::error_code& error, int signal) {
      if (error) {
        return;
      }
      // SIGHUP: the settings are read before each attempt anyway.
      self->is_stop_requested |= signal != SIGHUP;
      self->Wait();
    });
  }

  boost::asio::signal_set set;
  bool is_stop_requested = false;
};

StartWait::StartWait(boost::asio::io_context* context)
    : m_context(context), m_signals(std::make_shared<Signals>(context)) {
  m_signals->Wait();
  sigset_t waited_for;
  sigemptyset(&waited_for);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
    sigaddset(&waited_for, signal);
  }
  // Blocked signals would stay pending.
  ::pthread_sigmask(SIG_UNBLOCK, &waited_for, &m_previous_mask);
}

StartWait::~StartWait() {
  ::pthread_sigmask(SIG_SETMASK, &m_previous_mask, nullptr);
  boost::system::error_code ignored;
  m_signals->set.cancel(ignored);
}

bool StartWait::WaitUntil(cluster_state::SteadyTime deadline) {
  bool is_over = false;
  boost::asio::steady_timer timer(*m_context, deadline);
  timer.async_wait(
      [&is_over](const boost::system::error_code&) { is_over = true; });
  while (!is_over && !m_signals->is_stop_requested) {
    m_context->run_one();
  }
  timer.cancel();
  // The handler of the timer refers to `is_over`.
  while (!is_over) {
    m_context->run_one();
  }
  return !m_signals->is_stop_requested;
}

bool StartWait::IsStopRequested() {
  m_context->poll();
  return m_signals->is_stop_requested;
}

}  // namespace poplarsail::entry
