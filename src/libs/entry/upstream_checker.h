#ifndef ENTRY_UPSTREAM_CHECKER_H_
#define ENTRY_UPSTREAM_CHECKER_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "model/model.h"

namespace poplarsail::entry {

// Consecutive connection attempts without a response after which a check fails.
// A single one may be due to a lost packet.
inline constexpr int kConnectAttempts = 2;
// Maximum number of concurrent checks; each needs a file descriptor.
inline constexpr size_t kMaxChecks = 64;

enum class CheckResult : uint8_t {
  kConnected,
  kRefused,
  kNoResponse,
  kInconclusive
};

// Checks by TCP connections whether upstreams are alive. No request is sent, so
// a check occupies none of the upstream's slots.
class UpstreamChecker {
 public:
  using Callback = std::function<void(uint64_t upstream_id, CheckResult)>;

  UpstreamChecker(boost::asio::io_context* context, Callback callback);

  // Each connection may take `connect_timeout`. If `reference`, another
  // upstream that should respond, does not respond either, the result is
  // kInconclusive: when this host's own link or CPU is overloaded, all
  // responses are late.
  void Check(uint64_t upstream_id,
             const model::Ipv4Endpoint& endpoint,
             const std::optional<model::Ipv4Endpoint>& reference,
             std::chrono::milliseconds connect_timeout);

 private:
  struct PendingCheck;
  struct Attempt;
  void StartAttempt(const std::shared_ptr<PendingCheck>& check);
  void ConnectTo(const model::Ipv4Endpoint& endpoint,
                 std::chrono::steady_clock::time_point deadline,
                 std::function<void(CheckResult)> done);
  void HandleAttemptResult(const std::shared_ptr<PendingCheck>& check,
                           CheckResult result);

  boost::asio::io_context* m_context;
  Callback m_callback;
  size_t m_running_checks = 0;
};

}  // namespace poplarsail::entry

#endif  // ENTRY_UPSTREAM_CHECKER_H_
