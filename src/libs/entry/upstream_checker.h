#ifndef ENTRY_UPSTREAM_CHECKER_H_
#define ENTRY_UPSTREAM_CHECKER_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

#include "model/model.h"

namespace poplarsail::entry {

// Consecutive connection attempts without a response after which a check fails.
// A single one may be due to a lost packet. This host itself loses packets
// while its checks prove nothing, so that it takes more attempts until some
// time after the last such check.
inline constexpr int kConnectAttempts = 2;
inline constexpr int kConnectAttemptsUnderLoss = 4;
inline constexpr std::chrono::seconds kLossMemory{5};
// Maximum number of concurrent checks, and of probes for other hosts; each
// needs up to two file descriptors.
inline constexpr size_t kMaxChecks = 64;
inline constexpr size_t kMaxProbes = 64;

enum class CheckResult : uint8_t {
  kConnected,
  kRefused,
  // The upstream did not respond, while all else that should respond did.
  kNoResponse,
  // This host did not receive responses in time.
  kInconclusive,
  // This host got no response, but another host is connected.
  kConnectedElsewhere,
};

// Checks by TCP connections whether upstreams are alive. No request is sent, so
// a check occupies none of the upstream's slots.
//
// Load on this host or its link makes connections fail as a dead upstream does.
// A check without a response therefore counts only if a reference upstream
// responded during each of its attempts and no other host is connected.
class UpstreamChecker {
 public:
  using Callback = std::function<void(uint64_t upstream_id, CheckResult)>;
  // Called after each attempt without a response but the last one, so that
  // other hosts can be asked during the next one.
  using DoubtCallback = std::function<void(uint64_t upstream_id)>;

  UpstreamChecker(boost::asio::io_context* context,
                  Callback callback,
                  DoubtCallback on_doubt);

  // Each connection may take `connect_timeout`. `reference` is another upstream
  // that should respond.
  void Check(uint64_t upstream_id,
             const model::Ipv4Endpoint& endpoint,
             const std::optional<model::Ipv4Endpoint>& reference,
             std::chrono::milliseconds connect_timeout);

  // Tries a single connection on behalf of another host. Calls `done` with
  // whether the upstream accepted it in time.
  void Probe(const model::Ipv4Endpoint& endpoint,
             std::chrono::milliseconds connect_timeout,
             std::function<void(bool is_connected)> done);

  // Another host is connected to the upstream. Without effect unless a check of
  // it is running.
  void RecordConnectionElsewhere(uint64_t upstream_id);

 private:
  struct PendingCheck;
  struct Attempt;
  void StartAttempt(const std::shared_ptr<PendingCheck>& check);
  void ConnectToReference(const std::shared_ptr<PendingCheck>& check,
                          std::chrono::steady_clock::time_point deadline);
  void ConnectTo(const model::Ipv4Endpoint& endpoint,
                 std::chrono::steady_clock::time_point deadline,
                 std::function<void(CheckResult)> done);
  void HandleAttemptResult(const std::shared_ptr<PendingCheck>& check,
                           CheckResult result);

  boost::asio::io_context* m_context;
  Callback m_callback;
  DoubtCallback m_on_doubt;
  // Keyed by the id of the upstream.
  std::unordered_map<uint64_t, std::shared_ptr<PendingCheck>> m_checks;
  size_t m_running_probes = 0;
  // Until then, packets of this host may be lost.
  std::chrono::steady_clock::time_point m_loss_until;
};

}  // namespace poplarsail::entry

#endif  // ENTRY_UPSTREAM_CHECKER_H_
