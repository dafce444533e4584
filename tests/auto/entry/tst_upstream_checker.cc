#include <catch2/catch.hpp>

#include "entry/upstream_checker.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <memory>
#include <optional>

namespace poplarsail::entry {
namespace {

using boost::asio::ip::tcp;

// A loopback port that accepts connections, refuses them or leaves them
// unanswered.
class Port {
 public:
  enum class Kind { kAnswers, kRefuses, kSilent };

  Port(boost::asio::io_context* context, Kind kind) : m_acceptor(*context) {
    m_acceptor.open(tcp::v4());
    m_acceptor.bind({boost::asio::ip::address_v4::loopback(), 0});
    m_endpoint = m_acceptor.local_endpoint();
    if (kind == Kind::kRefuses) {
      return;
    }
    m_acceptor.listen(kind == Kind::kSilent ? 0 : 16);
    if (kind == Kind::kSilent) {
      FillQueue(context);
    }
  }

  model::Ipv4Endpoint endpoint() const {
    return {m_endpoint.address().to_v4().to_uint(), m_endpoint.port()};
  }

  // Empties the accept queue of a silent port, which then answers.
  void StartAnswering() {
    m_acceptor.non_blocking(true);
    boost::system::error_code error;
    while (!error) {
      m_accepted.emplace_back(m_acceptor.get_executor());
      m_acceptor.accept(m_accepted.back(), error);
    }
  }

 private:
  // Fills the accept queue, so that further connections stay unanswered.
  void FillQueue(boost::asio::io_context* context) {
    for (int i = 0; i < 4; ++i) {
      m_pending.emplace_back(*context);
      m_pending.back().async_connect(m_endpoint,
                                     [](const boost::system::error_code&) {});
    }
  }

  tcp::acceptor m_acceptor;
  tcp::endpoint m_endpoint;
  std::list<tcp::socket> m_pending;
  std::list<tcp::socket> m_accepted;
};

constexpr std::chrono::milliseconds kConnectTimeout{45};

// `on_doubt` is called with the checker after the first attempt without a
// response.
CheckResult Check(
    boost::asio::io_context* context,
    const Port& upstream,
    const Port* reference,
    const std::function<void(UpstreamChecker*)>& on_doubt = nullptr) {
  context->restart();
  std::optional<CheckResult> result;
  UpstreamChecker* started = nullptr;
  UpstreamChecker checker(
      context, [&](uint64_t, CheckResult found) { result = found; },
      [&](uint64_t) {
        if (on_doubt) {
          on_doubt(started);
        }
      });
  started = &checker;
  checker.Check(1, upstream.endpoint(),
                reference == nullptr ? std::nullopt
                                     : std::optional(reference->endpoint()),
                kConnectTimeout);
  while (!result) {
    REQUIRE(context->run_one() > 0);
  }
  context->poll();
  return *result;
}

TEST_CASE("A check tells accepted and refused connections apart") {
  boost::asio::io_context context;
  const Port answers(&context, Port::Kind::kAnswers);
  const Port refuses(&context, Port::Kind::kRefuses);
  CHECK(Check(&context, answers, nullptr) == CheckResult::kConnected);
  CHECK(Check(&context, refuses, nullptr) == CheckResult::kRefused);
}

TEST_CASE("A check without an answer counts only if the reference answers") {
  boost::asio::io_context context;
  const Port silent(&context, Port::Kind::kSilent);
  const Port other(&context, Port::Kind::kSilent);
  const Port answers(&context, Port::Kind::kAnswers);
  const Port refuses(&context, Port::Kind::kRefuses);
  CHECK(Check(&context, silent, &other) == CheckResult::kInconclusive);
  // On a busy machine a check may be inconclusive since its timer fires late.
  while (Check(&context, silent, &answers) != CheckResult::kNoResponse) {
  }
  while (Check(&context, silent, &refuses) != CheckResult::kNoResponse) {
  }
}

// Two lost connections and one that got through, of a host with a full link,
// ended the flows of an upstream to which 28 other hosts were connected
// (zlab-west-grown, crowded).
TEST_CASE("The reference has to answer during each attempt") {
  boost::asio::io_context context;
  const Port silent(&context, Port::Kind::kSilent);
  Port late(&context, Port::Kind::kSilent);
  boost::asio::steady_timer opening(context);
  opening.expires_after(kConnectTimeout + std::chrono::milliseconds(5));
  opening.async_wait(
      [&](const boost::system::error_code&) { late.StartAnswering(); });
  CHECK(Check(&context, silent, &late) == CheckResult::kInconclusive);
}

TEST_CASE("A check without an answer fails only if nobody else is connected") {
  boost::asio::io_context context;
  const Port silent(&context, Port::Kind::kSilent);
  const Port answers(&context, Port::Kind::kAnswers);
  CheckResult result = CheckResult::kInconclusive;
  while (result == CheckResult::kInconclusive) {
    result = Check(&context, silent, &answers, [](UpstreamChecker* checker) {
      checker->RecordConnectionElsewhere(2);
      checker->RecordConnectionElsewhere(1);
    });
  }
  CHECK(result == CheckResult::kConnectedElsewhere);
  // Another upstream's connection proves nothing about this one.
  result = CheckResult::kInconclusive;
  while (result == CheckResult::kInconclusive) {
    result = Check(&context, silent, &answers, [](UpstreamChecker* checker) {
      checker->RecordConnectionElsewhere(2);
    });
  }
  CHECK(result == CheckResult::kNoResponse);
}

TEST_CASE("A host that loses packets takes more attempts") {
  boost::asio::io_context context;
  const Port silent(&context, Port::Kind::kSilent);
  const Port answers(&context, Port::Kind::kAnswers);
  std::optional<CheckResult> result;
  int doubts = 0;
  UpstreamChecker checker(
      &context, [&](uint64_t, CheckResult found) { result = found; },
      [&](uint64_t) { ++doubts; });
  const auto check = [&](const Port& reference) {
    result.reset();
    doubts = 0;
    checker.Check(1, silent.endpoint(), reference.endpoint(), kConnectTimeout);
    while (!result) {
      REQUIRE(context.run_one() > 0);
    }
    return *result;
  };
  // On a busy machine a check may be inconclusive since its timer fires late.
  if (check(answers) == CheckResult::kNoResponse) {
    CHECK(doubts == kConnectAttempts - 1);
  }
  CHECK(check(silent) == CheckResult::kInconclusive);
  while (check(answers) != CheckResult::kNoResponse) {
  }
  CHECK(doubts == kConnectAttemptsUnderLoss - 1);
}

// Opens descriptors until the limit of open files is reached.
class DescriptorShortage {
 public:
  DescriptorShortage() {
    ::getrlimit(RLIMIT_NOFILE, &m_limit);
    rlimit low = m_limit;
    low.rlim_cur = std::min<rlim_t>(low.rlim_cur, 64);
    ::setrlimit(RLIMIT_NOFILE, &low);
    for (int fd = ::dup(STDIN_FILENO); fd >= 0; fd = ::dup(STDIN_FILENO)) {
      m_descriptors.push_back(fd);
    }
  }
  ~DescriptorShortage() {
    for (const int fd : m_descriptors) {
      ::close(fd);
    }
    ::setrlimit(RLIMIT_NOFILE, &m_limit);
  }

  DescriptorShortage(const DescriptorShortage&) = delete;
  DescriptorShortage& operator=(const DescriptorShortage&) = delete;

 private:
  rlimit m_limit{};
  std::list<int> m_descriptors;
};

TEST_CASE("A host without descriptors does not take upstreams for dead") {
  boost::asio::io_context context;
  const Port answers(&context, Port::Kind::kAnswers);
  const Port other(&context, Port::Kind::kAnswers);
  const DescriptorShortage shortage;
  CHECK(Check(&context, answers, nullptr) == CheckResult::kInconclusive);
  CHECK(Check(&context, answers, &other) == CheckResult::kInconclusive);
}

TEST_CASE("A probe tells whether the upstream accepts a connection") {
  boost::asio::io_context context;
  const Port answers(&context, Port::Kind::kAnswers);
  const Port refuses(&context, Port::Kind::kRefuses);
  const Port silent(&context, Port::Kind::kSilent);
  UpstreamChecker checker(
      &context, [](uint64_t, CheckResult) {}, [](uint64_t) {});
  const auto probe = [&](const Port& port) {
    context.restart();
    std::optional<bool> connected;
    checker.Probe(port.endpoint(), kConnectTimeout,
                  [&](bool is_connected) { connected = is_connected; });
    while (!connected) {
      REQUIRE(context.run_one() > 0);
    }
    return *connected;
  };
  while (!probe(answers)) {
  }
  CHECK_FALSE(probe(refuses));
  CHECK_FALSE(probe(silent));
}

}  // namespace
}  // namespace poplarsail::entry
