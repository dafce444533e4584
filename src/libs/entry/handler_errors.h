#ifndef ENTRY_HANDLER_ERRORS_H_
#define ENTRY_HANDLER_ERRORS_H_

#include <utility>
// Boost 1.74's awaitable.hpp needs <utility> before it.
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <exception>
#include <functional>

namespace poplarsail::entry {

// A coroutine that ends by an exception runs again after this time.
inline constexpr std::chrono::milliseconds kRestartPause{250};

// Logs and counts what a handler of the event loop threw. At most one line per
// second is logged. Call from the thread of the event loop only.
void ReportHandlerError(const char* component,
                        const std::exception_ptr& error) noexcept;

// Number of errors that were reported since the process started.
uint64_t HandlerErrorCount() noexcept;

// Runs a handler of the event loop and reports what it throws, so that its
// caller goes on.
template <typename Handler>
void RunGuarded(const char* component, Handler&& handler) noexcept {
  try {
    std::forward<Handler>(handler)();
  } catch (...) {
    ReportHandlerError(component, std::current_exception());
  }
}

// Starts a coroutine that is run again, after kRestartPause, each time it ends
// by an exception.
void SpawnRestarting(boost::asio::io_context* context,
                     const char* component,
                     std::function<boost::asio::awaitable<void>()> run);

// Starts a coroutine whose exception is reported.
void SpawnGuarded(boost::asio::io_context* context,
                  const char* component,
                  boost::asio::awaitable<void> run);

}  // namespace poplarsail::entry

#endif  // ENTRY_HANDLER_ERRORS_H_
