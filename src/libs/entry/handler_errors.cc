#include "entry/handler_errors.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/core/demangle.hpp>
#include <string>
#include <typeinfo>

#include "telemetry/telemetry.h"

namespace poplarsail::entry {

namespace {

namespace asio = boost::asio;

constexpr std::chrono::seconds kLogInterval{1};

struct ErrorCounts {
  uint64_t total = 0;
  uint64_t logged = 0;
  std::chrono::steady_clock::time_point next_log;
};

// Handlers of all components share it: the process has one event loop.
ErrorCounts g_counts;

struct ErrorText {
  std::string type = "unknown";
  std::string text;
};

ErrorText Describe(const std::exception_ptr& error) {
  try {
    std::rethrow_exception(error);
  } catch (const std::exception& exception) {
    return {boost::core::demangle(typeid(exception).name()), exception.what()};
  } catch (...) {
    return {};
  }
}

asio::awaitable<void> RunRestarting(
    asio::io_context* context,
    const char* component,
    std::function<asio::awaitable<void>()> run) {
  asio::steady_timer pause(*context);
  while (true) {
    try {
      co_await run();
      co_return;
    } catch (...) {
      ReportHandlerError(component, std::current_exception());
    }
    pause.expires_after(kRestartPause);
    co_await pause.async_wait(asio::use_awaitable);
  }
}

}  // namespace

void ReportHandlerError(const char* component,
                        const std::exception_ptr& error) noexcept {
  ++g_counts.total;
  const auto now = std::chrono::steady_clock::now();
  if (now < g_counts.next_log) {
    return;
  }
  g_counts.next_log = now + kLogInterval;
  try {
    const uint64_t unlogged = g_counts.total - g_counts.logged - 1;
    const ErrorText described = Describe(error);
    telemetry::Log(telemetry::LogLevel::kError, component,
                   "handler failed, the daemon goes on",
                   {{"type", described.type},
                    {"reason", described.text},
                    {"more_since_last_line", std::to_string(unlogged)}});
    g_counts.logged = g_counts.total;
  } catch (...) {
    // No memory for the line; the error is counted.
    return;
  }
}

uint64_t HandlerErrorCount() noexcept {
  return g_counts.total;
}

void SpawnRestarting(asio::io_context* context,
                     const char* component,
                     std::function<asio::awaitable<void>()> run) {
  SpawnGuarded(context, component,
               RunRestarting(context, component, std::move(run)));
}

void SpawnGuarded(asio::io_context* context,
                  const char* component,
                  asio::awaitable<void> run) {
  asio::co_spawn(*context, std::move(run),
                 [component](const std::exception_ptr& error) {
                   if (error) {
                     ReportHandlerError(component, error);
                   }
                 });
}

}  // namespace poplarsail::entry
