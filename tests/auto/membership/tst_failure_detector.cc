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
constexpr int64_t kDelayMs = 5;

// Detectors joined by links that delay, lose and cut messages.
class Fleet {
 public:
  using Reaches = std::function<bool(int from, int to)>;

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
  void SetReaches(Reaches reaches) { m_reaches = std::move(reaches); }
  FailureDetector& at(int host) { return *m_detectors[host]; }
  // How many running hosts take `host` for dead.
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
      if (is_lost(m_random) || (m_reaches && !m_reaches(from, to))) {
        continue;
      }
      const auto decoded = Decode(std::span(
          reinterpret_cast<const uint8_t*>(wire.data()), wire.size()));
      REQUIRE(decoded == item.message);
      m_queue.emplace(m_now_ms + kDelayMs, std::make_pair(to, *decoded));
    }
  }

  double m_loss;
  std::mt19937_64 m_random;
  int64_t m_now_ms = 0;
  std::vector<std::unique_ptr<FailureDetector>> m_detectors;
  std::map<std::string, int> m_index;
  std::multimap<int64_t, std::pair<int, Message>> m_queue;
  std::set<int> m_stopped;
  Reaches m_reaches;
  size_t m_bytes = 0;
};

TEST_CASE("a host that stops is found by all, and its return as well") {
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
    // The host itself learned that others had gone on without it.
    CHECK(fleet.at(1).refutation_count() > refuted);
  }
}

TEST_CASE("lost messages make no host dead") {
  for (const double loss : {0.01, 0.05, 0.1}) {
    INFO(loss);
    Fleet fleet(20, loss, 11);
    fleet.Run(60'000);
    CHECK(fleet.CountDeadViews() == 0);
  }
}

TEST_CASE("a domain that is cut off and returns converges") {
  Fleet fleet(9, 0, 3);
  fleet.Run(5'000);
  fleet.SetReaches([](int from, int to) { return from % 3 == to % 3; });
  fleet.Run(20'000);
  // Each host sees the six of the other domains as dead.
  CHECK(fleet.CountDeadViews() == 9 * 6);
  fleet.SetReaches(nullptr);
  fleet.Run(30'000);
  CHECK(fleet.CountDeadViews() == 0);
  for (int i = 0; i < 9; ++i) {
    CHECK(fleet.at(i).refutation_count() > 0);
  }
}

TEST_CASE("a host that two others can't reach is kept by the helpers") {
  Fleet fleet(9, 0, 5);
  fleet.SetReaches([](int from, int to) {
    const bool is_cut = (from == 0 && to == 1) || (from == 1 && to == 0);
    return !is_cut;
  });
  fleet.Run(60'000);
  CHECK(fleet.CountDeadViews() == 0);
}

TEST_CASE("a host that the list does not name yet is answered") {
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

TEST_CASE("malformed messages are refused") {
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
