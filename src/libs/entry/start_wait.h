#ifndef ENTRY_START_WAIT_H_
#define ENTRY_START_WAIT_H_

#include <boost/asio/io_context.hpp>
#include <csignal>
#include <memory>
#include <string>

#include "cluster_state/cluster_state.h"

namespace poplarsail::entry {

// Waits while the daemon can't start yet, and notices the signals that end it.
class StartWait {
 public:
  explicit StartWait(boost::asio::io_context* context);
  ~StartWait();

  StartWait(const StartWait&) = delete;
  StartWait& operator=(const StartWait&) = delete;

  // Returns false if a signal asks the process to stop.
  bool WaitUntil(cluster_state::SteadyTime deadline);
  // Handles the signals that have arrived.
  bool IsStopRequested();

 private:
  struct Signals;

  boost::asio::io_context* m_context;
  std::shared_ptr<Signals> m_signals;
  sigset_t m_previous_mask{};
};

}  // namespace poplarsail::entry

#endif  // ENTRY_START_WAIT_H_
