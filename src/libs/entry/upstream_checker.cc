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

// One check: attempts one after the other, the last one beside the control.
struct UpstreamChecker::Inquiry {
  uint64_t upstream_id = 0;
  model::Ipv4Endpoint endpoint;
  std::optional<model::Ipv4Endpoint> control;
  int attempts_left = kConnectAttempts;
  // Something answered the control connection, if only to refuse it.
  bool has_control_answered = false;
};

// One connection, closed as soon as its outcome is known.
struct UpstreamChecker::Attempt {
  Attempt(boost::asio::io_context* context,
          std::function<void(CheckResult)> callback)
      : socket(*context), timer(*context), done(std::move(callback)) {}

  // The first outcome counts.
  void Finish(CheckResult result) {
    if (std::exchange(is_finished, true)) {
      return;
    }
    boost::system::error_code ignored;
    timer.cancel();
    socket.close(ignored);
    done(result);
  }

  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
  std::function<void(CheckResult)> done;
  bool is_finished = false;
};

UpstreamChecker::UpstreamChecker(boost::asio::io_context* context,
                                 Callback callback)
    : m_context(context), m_callback(std::move(callback)) {}

void UpstreamChecker::Check(uint64_t upstream_id,
                            const model::Ipv4Endpoint& endpoint,
                            const std::optional<model::Ipv4Endpoint>& control) {
  if (m_running >= kMaxChecks) {
    return;
  }
  ++m_running;
  auto inquiry = std::make_shared<Inquiry>();
  inquiry->upstream_id = upstream_id;
  inquiry->endpoint = endpoint;
  inquiry->control = control;
  Connect(inquiry);
}

void UpstreamChecker::Connect(const std::shared_ptr<Inquiry>& inquiry) {
  --inquiry->attempts_left;
  TryConnection(inquiry->endpoint, [this, inquiry](CheckResult result) {
    Conclude(inquiry, result);
  });
  // Sent after the attempt and waited for no longer than it.
  if (inquiry->attempts_left == 0 && inquiry->control) {
    TryConnection(*inquiry->control, [inquiry](CheckResult result) {
      inquiry->has_control_answered =
          result == CheckResult::kAnswer || result == CheckResult::kRefused;
    });
  }
}

void UpstreamChecker::TryConnection(const model::Ipv4Endpoint& endpoint,
                                    std::function<void(CheckResult)> done) {
  auto attempt = std::make_shared<Attempt>(m_context, std::move(done));
  const model::Endpoint target = model::ToEndpoint(endpoint);
  attempt->socket.async_connect(
      {target.address, target.port},
      [attempt](const boost::system::error_code& error) {
        const bool is_refused = error == boost::asio::error::connection_refused;
        attempt->Finish(!error       ? CheckResult::kAnswer
                        : is_refused ? CheckResult::kRefused
                                     : CheckResult::kNoAnswer);
      });
  attempt->timer.expires_after(kConnectTimeout);
  attempt->timer.async_wait([attempt](const boost::system::error_code& error) {
    if (error) {
      return;
    }
    const auto late =
        std::chrono::steady_clock::now() - attempt->timer.expiry();
    attempt->Finish(late > kLateTimer ? CheckResult::kInconclusive
                                      : CheckResult::kNoAnswer);
  });
}

void UpstreamChecker::Conclude(const std::shared_ptr<Inquiry>& inquiry,
                               CheckResult result) {
  if (result == CheckResult::kNoAnswer && inquiry->attempts_left > 0) {
    Connect(inquiry);
    return;
  }
  --m_running;
  const bool is_doubtful = result == CheckResult::kNoAnswer &&
                           inquiry->control && !inquiry->has_control_answered;
  m_callback(inquiry->upstream_id,
             is_doubtful ? CheckResult::kInconclusive : result);
}

}  // namespace poplarsail::entry
