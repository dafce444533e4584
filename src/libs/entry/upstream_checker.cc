#include "entry/upstream_checker.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace poplarsail::entry {

namespace {

// A time-out that is noticed this late says more of this host than of the
// upstream.
constexpr std::chrono::milliseconds kLateTimer{40};

}  // namespace

struct UpstreamChecker::Attempt {
  Attempt(boost::asio::io_context* context,
          uint64_t id,
          const model::Ipv4Endpoint& target,
          int left)
      : upstream_id(id),
        endpoint(target),
        attempts_left(left),
        socket(*context),
        timer(*context) {}

  uint64_t upstream_id;
  model::Ipv4Endpoint endpoint;
  int attempts_left;
  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
  bool is_finished = false;
};

UpstreamChecker::UpstreamChecker(boost::asio::io_context* context,
                                 Callback callback)
    : m_context(context), m_callback(std::move(callback)) {}

void UpstreamChecker::Check(uint64_t upstream_id,
                            const model::Ipv4Endpoint& endpoint) {
  if (m_running < kMaxChecks) {
    Connect(upstream_id, endpoint, kConnectAttempts);
  }
}

void UpstreamChecker::Connect(uint64_t upstream_id,
                              const model::Ipv4Endpoint& endpoint,
                              int attempts_left) {
  ++m_running;
  auto attempt = std::make_shared<Attempt>(m_context, upstream_id, endpoint,
                                           attempts_left - 1);
  const model::Endpoint target = model::ToEndpoint(endpoint);
  attempt->socket.async_connect(
      {target.address, target.port},
      [this, attempt](const boost::system::error_code& error) {
        const bool is_refused = error == boost::asio::error::connection_refused;
        Finish(attempt, !error       ? CheckResult::kAnswer
                        : is_refused ? CheckResult::kRefused
                                     : CheckResult::kNoAnswer);
      });
  attempt->timer.expires_after(kConnectTimeout);
  attempt->timer.async_wait(
      [this, attempt](const boost::system::error_code& error) {
        if (error) {
          return;
        }
        const auto late =
            std::chrono::steady_clock::now() - attempt->timer.expiry();
        Finish(attempt, late > kLateTimer ? CheckResult::kInconclusive
                                          : CheckResult::kNoAnswer);
      });
}

void UpstreamChecker::Finish(const std::shared_ptr<Attempt>& attempt,
                             CheckResult result) {
  if (std::exchange(attempt->is_finished, true)) {
    return;
  }
  --m_running;
  boost::system::error_code ignored;
  attempt->timer.cancel();
  attempt->socket.close(ignored);
  if (result == CheckResult::kInconclusive) {
    return;
  }
  if (result == CheckResult::kNoAnswer && attempt->attempts_left > 0) {
    Connect(attempt->upstream_id, attempt->endpoint, attempt->attempts_left);
    return;
  }
  m_callback(attempt->upstream_id, result);
}

}  // namespace poplarsail::entry
