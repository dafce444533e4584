#include <catch2/catch.hpp>

#include <fmt/format.h>
#include <rapidcheck.h>

#include <functional>
#include <map>
#include <memory>
#include <set>

#include "membership/membership.h"

namespace poplarsail::membership {
namespace {

constexpr int64_t kStepMs = 10;
constexpr int64_t kLinkDelayMs = 5;

// Failure detectors connected by simulated links, which delay, lose or block
// messages.
class Fleet {
 public:
  using LinkFilter = std::function<bool(int from, int to)>;

  Fleet(int count, double loss, uint64_t seed) : m_loss(loss), m_random(seed) {
    std::vector<std::string> names;
    for (int i = 0; i < count; ++i) {
      names.push_back(fmt::format("e{:03}", i));
    }
    for (int i = 0; i < count; ++i) {
      m_detectors.push_back(
          std::make_unique<FailureDetector>(names[i], seed + i, Now()));
      m_detectors.back()->SetPeers(names, Now());
      m_index[names[i]] = i;
    }
  }

  void Run(int64_t milliseconds) {
    const int64_t end = m_now_ms + milliseconds;
    for (; m_now_ms < end; m_now_ms += kStepMs) {
      while (!m_queue.empty() && m_queue.begin()->first <= m_now_ms) {
        const auto [to, message] = m_queue.begin()->second;
        m_queue.erase(m_queue.begin());
        if (!m_stopped.contains(to)) {
          Send(to, m_detectors[to]->Receive(message, Now()));
        }
      }
      for (int i = 0; i < static_cast<int>(m_detectors.size()); ++i) {
        if (!m_stopped.contains(i)) {
          Send(i, m_detectors[i]->Tick(Now()));
        }
      }
    }
  }

  void Stop(int host) { m_stopped.insert(host); }
  void Resume(int host) { m_stopped.erase(host); }
  void SetLinkFilter(LinkFilter link_filter) {
    m_link_filter = std::move(link_filter);
  }
  FailureDetector& at(int host) { return *m_detectors[host]; }
  // Number of running hosts that consider `host` dead.
  int CountSeeingDead(int host) const {
    int count = 0;
    for (int i = 0; i < static_cast<int>(m_detectors.size()); ++i) {
      const auto dead = m_detectors[i]->DeadPeers();
      const auto name = fmt::format("e{:03}", host);
      count += !m_stopped.contains(i) &&
               std::find(dead.begin(), dead.end(), name) != dead.end();
    }
    return count;
  }
  int CountDeadViews() const {
    int count = 0;
    for (const auto& detector : m_detectors) {
      count += static_cast<int>(detector->DeadPeers().size());
    }
    return count;
  }
  size_t bytes() const { return m_bytes; }

 private:
  TimePoint Now() const { return model::FromUnixMillis(m_now_ms); }

  void Send(int from, const std::vector<OutgoingMessage>& messages) {
    std::bernoulli_distribution is_lost(m_loss);
    for (const OutgoingMessage& item : messages) {
      const std::string wire = Encode(item.message);
      m_bytes += wire.size();
      const int to = m_index.at(item.to);
      if (is_lost(m_random) || (m_link_filter && !m_link_filter(from, to))) {
        continue;
      }
      const auto decoded = Decode(std::span(
          reinterpret_cast<const uint8_t*>(wire.data()), wire.size()));
      REQUIRE(decoded == item.message);
      m_queue.emplace(m_now_ms + kLinkDelayMs, std::make_pair(to, *decoded));
    }
  }

  double m_loss;
  std::mt19937_64 m_random;
  int64_t m_now_ms = 0;
  std::vector<std::unique_ptr<FailureDetector>> m_detectors;
  std::map<std::string, int> m_index;
  std::multimap<int64_t, std::pair<int, Message>> m_queue;
  std::set<int> m_stopped;
  LinkFilter m_link_filter;
  size_t m_bytes = 0;
};

TEST_CASE("every host detects that a host stops and returns") {
  for (const int count : {3, 9, 60}) {
    INFO(count);
    Fleet fleet(count, 0, 7);
    fleet.Run(5'000);
    CHECK(fleet.CountDeadViews() == 0);
    fleet.Stop(1);
    fleet.Run(15'000);
    CHECK(fleet.CountSeeingDead(1) == count - 1);
    CHECK(fleet.CountDeadViews() == count - 1);
    const uint32_t refuted = fleet.at(1).refutation_count();
    fleet.Resume(1);
    fleet.Run(30'000);
    CHECK(fleet.CountDeadViews() == 0);
    // The host itself has learned that it was declared dead.
    CHECK(fleet.at(1).refutation_count() > refuted);
  }
}

TEST_CASE("message loss does not make a host dead") {
  for (const double loss : {0.01, 0.05, 0.1}) {
    INFO(loss);
    Fleet fleet(20, loss, 11);
    fleet.Run(60'000);
    CHECK(fleet.CountDeadViews() == 0);
  }
}

TEST_CASE("the hosts converge after a network partition heals") {
  Fleet fleet(9, 0, 3);
  fleet.Run(5'000);
  fleet.SetLinkFilter([](int from, int to) { return from % 3 == to % 3; });
  fleet.Run(20'000);
  // Each host considers the six hosts of the other failure domains dead.
  CHECK(fleet.CountDeadViews() == 9 * 6);
  fleet.SetLinkFilter(nullptr);
  fleet.Run(30'000);
  CHECK(fleet.CountDeadViews() == 0);
  for (int i = 0; i < 9; ++i) {
    CHECK(fleet.at(i).refutation_count() > 0);
  }
}

// Guards against declaring a host dead because of one broken link: the
// intermediaries still reach both hosts.
TEST_CASE("two hosts that can't reach each other are not declared dead") {
  Fleet fleet(9, 0, 5);
  fleet.SetLinkFilter([](int from, int to) {
    const bool is_cut = (from == 0 && to == 1) || (from == 1 && to == 0);
    return !is_cut;
  });
  fleet.Run(60'000);
  CHECK(fleet.CountDeadViews() == 0);
}

TEST_CASE("a host that is not in the list yet gets only an acknowledgement") {
  FailureDetector detector("e1", 1, model::FromUnixMillis(0));
  detector.SetPeers({"e1", "e2"}, model::FromUnixMillis(0));
  const auto answers = detector.Receive(
      {MessageType::kPing, "e9", "", 4, {{"e2", PeerState::kDead, 3}}},
      model::FromUnixMillis(0));
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].to == "e9");
  CHECK(answers[0].message.sequence == 4);
  CHECK(detector.DeadPeers().empty());
}

TEST_CASE("malformed messages are rejected") {
  const Message message{
      MessageType::kPing, "e1", "e2", 7, {{"e3", PeerState::kSuspect, 2}}};
  const std::string wire = Encode(message);
  const auto decode = [](std::string bytes) {
    return Decode(std::span(reinterpret_cast<const uint8_t*>(bytes.data()),
                            bytes.size()));
  };
  CHECK(decode(wire) == message);
  for (size_t length = 0; length < wire.size(); ++length) {
    CHECK_FALSE(decode(wire.substr(0, length)));
  }
  std::string other_version = wire;
  other_version[1] = 2;
  CHECK_FALSE(decode(other_version));
  std::string other_type = wire;
  other_type[2] = 9;
  CHECK_FALSE(decode(other_type));
  Message long_name = message;
  long_name.from = std::string(64, 'x');
  CHECK_FALSE(decode(Encode(long_name)));
  CHECK(rc::check([&](const std::vector<uint8_t>& bytes) { Decode(bytes); }));
}

}  // namespace
}  // namespace poplarsail::membership
