#include "entry/upstream_checker.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>
#include <vector>

namespace poplarsail::entry {

namespace {

// If the timeout is handled later than this, this host itself was delayed and
// the check proves nothing about the upstream.
constexpr std::chrono::milliseconds kMaxTimerDelay{40};

// When an attempt ends, and when the reference is connected to if there is no
// result yet. Most attempts are answered within a round trip and need none.
struct AttemptTimes {
  std::chrono::steady_clock::time_point reference_start;
  std::chrono::steady_clock::time_point deadline;
};

// Errors of this host prove nothing: it has not sent anything.
CheckResult ToResult(const boost::system::error_code& error) {
  namespace errc = boost::system::errc;
  if (!error) {
    return CheckResult::kConnected;
  }
  if (error == boost::asio::error::connection_refused) {
    return CheckResult::kRefused;
  }
  const bool is_own_error = error == errc::too_many_files_open ||
                            error == errc::too_many_files_open_in_system ||
                            error == errc::not_enough_memory ||
                            error == errc::no_buffer_space ||
                            error == errc::address_not_available;
  return is_own_error ? CheckResult::kInconclusive : CheckResult::kNoResponse;
}

}  // namespace

// State of one check: consecutive attempts, each together with a connection to
// the reference.
struct UpstreamChecker::PendingCheck {
  explicit PendingCheck(boost::asio::io_context* context)
      : reference_timer(*context) {}

  uint64_t upstream_id = 0;
  model::Ipv4Endpoint endpoint;
  std::optional<model::Ipv4Endpoint> reference;
  // The attempts that are left, the next one last.
  std::vector<AttemptTimes> attempts;
  boost::asio::steady_timer reference_timer;
  // The reference accepted or refused the connection during this attempt.
  bool has_reference_responded = false;
  bool is_connected_elsewhere = false;
};

// One connection attempt, closed as soon as its outcome is known.
struct UpstreamChecker::Attempt {
  Attempt(boost::asio::io_context* context,
          std::function<void(CheckResult)> callback)
      : socket(*context), timer(*context), done(std::move(callback)) {}

  // Reports the first outcome and ignores later ones.
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
                                 Callback callback,
                                 DoubtCallback on_doubt)
    : m_context(context),
      m_callback(std::move(callback)),
      m_on_doubt(std::move(on_doubt)) {}

void UpstreamChecker::Check(uint64_t upstream_id,
                            const model::Ipv4Endpoint& endpoint,
                            const std::optional<model::Ipv4Endpoint>& reference,
                            std::chrono::milliseconds connect_timeout) {
  if (m_checks.size() >= kMaxChecks || m_checks.contains(upstream_id)) {
    return;
  }
  auto check = std::make_shared<PendingCheck>(m_context);
  m_checks[upstream_id] = check;
  check->upstream_id = upstream_id;
  check->endpoint = endpoint;
  check->reference = reference;
  const auto now = std::chrono::steady_clock::now();
  const int attempts =
      now < m_loss_until ? kConnectAttemptsUnderLoss : kConnectAttempts;
  for (int attempt = attempts; attempt > 0; --attempt) {
    const auto start = now + (attempt - 1) * connect_timeout;
    check->attempts.push_back(
        {start + connect_timeout / 3, start + connect_timeout});
  }
  StartAttempt(check);
}

void UpstreamChecker::StartAttempt(const std::shared_ptr<PendingCheck>& check) {
  const AttemptTimes times = check->attempts.back();
  check->attempts.pop_back();
  check->has_reference_responded = false;
  ConnectTo(check->endpoint, times.deadline, [this, check](CheckResult result) {
    HandleAttemptResult(check, result);
  });
  if (!check->reference) {
    return;
  }
  check->reference_timer.expires_at(times.reference_start);
  check->reference_timer.async_wait(
      [this, check, times](const boost::system::error_code& error) {
        if (!error) {
          ConnectToReference(check, times.deadline);
        }
      });
}

void UpstreamChecker::ConnectToReference(
    const std::shared_ptr<PendingCheck>& check,
    std::chrono::steady_clock::time_point deadline) {
  const size_t attempts_left = check->attempts.size();
  ConnectTo(*check->reference, deadline,
            [check, attempts_left](CheckResult result) {
              const bool is_current = check->attempts.size() == attempts_left;
              const bool has_responded = result == CheckResult::kConnected ||
                                         result == CheckResult::kRefused;
              check->has_reference_responded |= is_current && has_responded;
            });
}

void UpstreamChecker::Probe(const model::Ipv4Endpoint& endpoint,
                            std::chrono::milliseconds connect_timeout,
                            std::function<void(bool is_connected)> done) {
  if (m_running_probes >= kMaxProbes) {
    done(false);
    return;
  }
  ++m_running_probes;
  ConnectTo(endpoint, std::chrono::steady_clock::now() + connect_timeout,
            [this, done = std::move(done)](CheckResult result) {
              --m_running_probes;
              done(result == CheckResult::kConnected);
            });
}

void UpstreamChecker::RecordConnectionElsewhere(uint64_t upstream_id) {
  const auto check = m_checks.find(upstream_id);
  if (check != m_checks.end()) {
    check->second->is_connected_elsewhere = true;
  }
}

void UpstreamChecker::ConnectTo(const model::Ipv4Endpoint& endpoint,
                                std::chrono::steady_clock::time_point deadline,
                                std::function<void(CheckResult)> done) {
  auto attempt = std::make_shared<Attempt>(m_context, std::move(done));
  const model::Endpoint target = model::ToEndpoint(endpoint);
  attempt->socket.async_connect(
      {target.address, target.port},
      [attempt](const boost::system::error_code& error) {
        attempt->Finish(ToResult(error));
      });
  attempt->timer.expires_at(deadline);
  attempt->timer.async_wait([attempt](const boost::system::error_code& error) {
    if (error) {
      return;
    }
    const auto delay =
        std::chrono::steady_clock::now() - attempt->timer.expiry();
    attempt->Finish(delay > kMaxTimerDelay ? CheckResult::kInconclusive
                                           : CheckResult::kNoResponse);
  });
}

void UpstreamChecker::HandleAttemptResult(
    const std::shared_ptr<PendingCheck>& check,
    CheckResult result) {
  check->reference_timer.cancel();
  if (result == CheckResult::kNoResponse) {
    if (check->reference && !check->has_reference_responded) {
      result = CheckResult::kInconclusive;
    } else if (check->is_connected_elsewhere) {
      result = CheckResult::kConnectedElsewhere;
    }
  }
  if (result == CheckResult::kNoResponse && !check->attempts.empty()) {
    m_on_doubt(check->upstream_id);
    StartAttempt(check);
    return;
  }
  m_checks.erase(check->upstream_id);
  const bool is_unproven = result == CheckResult::kInconclusive ||
                           result == CheckResult::kConnectedElsewhere;
  if (is_unproven) {
    m_loss_until = std::chrono::steady_clock::now() + kLossMemory;
  }
  m_callback(check->upstream_id, result);
}

}  // namespace poplarsail::entry
