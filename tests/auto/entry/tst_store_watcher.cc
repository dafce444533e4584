#include <catch2/catch.hpp>

#include "entry/store_watcher.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <deque>
#include <functional>
#include <stdexcept>
#include <string>

#include "objects/objects.h"

namespace poplarsail::entry {
namespace {

using cluster_state::ClusterState;
using cluster_state::ObjectKind;

// A store that responds to calls from a script and blocks at its end.
class ScriptedStore : public StateStore {
 public:
  using Step = std::function<StateBatch(uint64_t from)>;

  explicit ScriptedStore(boost::asio::io_context* context)
      : m_timer(*context) {}

  void Then(Step step) { m_steps.push_back(std::move(step)); }

  boost::asio::awaitable<StateBatch> List(ObjectKind,
                                          ReadFreshness freshness) override {
    ++lists;
    last_freshness = freshness;
    co_return co_await Next(0);
  }
  boost::asio::awaitable<StateBatch> Watch(
      ObjectKind,
      uint64_t from,
      cluster_state::SteadyTime deadline) override {
    ++watches;
    last_wait = deadline - std::chrono::steady_clock::now();
    co_return co_await Next(from);
  }
  const StoreCallCounts& counts() const override { return m_counts; }

  bool HasEnded() const { return m_has_ended; }

  int lists = 0;
  cluster_state::SteadyTime::duration last_wait{0};
  ReadFreshness last_freshness = ReadFreshness::kLatest;
  int watches = 0;

 private:
  boost::asio::awaitable<StateBatch> Next(uint64_t from) {
    if (m_steps.empty()) {
      m_has_ended = true;
      m_timer.expires_at(cluster_state::SteadyTime::max());
      co_await m_timer.async_wait(boost::asio::use_awaitable);
    }
    const Step step = m_steps.front();
    m_steps.pop_front();
    co_return step(from);
  }

  std::deque<Step> m_steps;
  boost::asio::steady_timer m_timer;
  bool m_has_ended = false;
  StoreCallCounts m_counts;
};

StateEntry Upstream(uint64_t id, uint64_t revision) {
  cluster_state::UpstreamRecord record;
  record.id = id;
  record.endpoint = {0x0a000000 + static_cast<uint32_t>(id), 8080};
  return ClusterState::UpstreamEntry{std::to_string(id), revision, record};
}

struct WatcherFixture {
  WatcherFixture()
      : watcher(&context,
                &store,
                &gate,
                &floor,
                ObjectKind::kUpstreams,
                ComputeWatchTiming({}, ObjectKind::kUpstreams),
                &cluster_state,
                [this]() { ++changes; }) {}

  void RunScript() {
    boost::asio::co_spawn(context, watcher.Run(), boost::asio::detached);
    while (!store.HasEnded()) {
      REQUIRE(context.run_one() > 0);
    }
  }

  boost::asio::io_context context;
  ScriptedStore store{&context};
  ClusterState cluster_state;
  int changes = 0;
  RetryGate gate{&context};
  VersionFloor floor;
  StoreWatcher watcher;
};

TEST_CASE("A list is followed by watches from its revision") {
  WatcherFixture fixture;
  fixture.store.Then([](uint64_t) {
    return StateBatch{{Upstream(1, 5)}, {0, 7}};
  });
  fixture.store.Then([](uint64_t from) {
    CHECK(from == 7);
    return StateBatch{{Upstream(2, 9)}, {0, 9}};
  });
  fixture.store.Then([](uint64_t from) {
    CHECK(from == 9);
    return StateBatch{{}, {0, 12}};
  });
  fixture.RunScript();
  CHECK(fixture.cluster_state.upstreams().size() == 2);
  CHECK(fixture.store.lists == 1);
  // A watch without changes does not call on_change.
  CHECK(fixture.changes == 2);
  CHECK(fixture.cluster_state.listed_version(ObjectKind::kUpstreams).revision ==
        12);
}

TEST_CASE(
    "After compaction the state is kept until the objects are listed again") {
  WatcherFixture fixture;
  fixture.store.Then([](uint64_t) {
    return StateBatch{{Upstream(1, 5), Upstream(2, 6)}, {0, 7}};
  });
  fixture.store.Then([&fixture](uint64_t) -> StateBatch {
    CHECK(fixture.cluster_state.upstreams().size() == 2);
    throw objects::CompactedError("gone");
  });
  fixture.store.Then([&fixture](uint64_t) {
    CHECK(fixture.cluster_state.upstreams().size() == 2);
    return StateBatch{{Upstream(1, 5)}, {0, 20}};
  });
  fixture.RunScript();
  CHECK(fixture.store.lists == 2);
  CHECK(fixture.cluster_state.upstreams().at("2").is_unregistered);
}

// Guards against the end of the process by a response that causes an error
// which is not one of the store.
TEST_CASE("An unexpected error of a response is retried") {
  WatcherFixture fixture;
  fixture.store.Then(
      [](uint64_t) -> StateBatch { throw std::length_error("response"); });
  fixture.store.Then([](uint64_t) {
    return StateBatch{{Upstream(1, 5)}, {0, 7}};
  });
  fixture.RunScript();
  CHECK(fixture.store.lists == 2);
  CHECK(fixture.cluster_state.upstreams().size() == 1);
}

TEST_CASE("After an outage the watch resumes and the state is kept") {
  WatcherFixture fixture;
  fixture.store.Then([](uint64_t) {
    return StateBatch{{Upstream(1, 5)}, {0, 7}};
  });
  for (int i = 0; i < 3; ++i) {
    fixture.store.Then([](uint64_t) -> StateBatch {
      throw objects::UnavailableError("status 503");
    });
  }
  fixture.store.Then([&fixture](uint64_t from) {
    CHECK(from == 7);
    CHECK(fixture.cluster_state.upstreams().size() == 1);
    return StateBatch{{Upstream(2, 9)}, {0, 9}};
  });
  fixture.RunScript();
  CHECK(fixture.store.lists == 1);
  CHECK(fixture.cluster_state.upstreams().size() == 2);
}

TEST_CASE("While the store is lost a watch does not wait for changes") {
  // A watch that started shortly before a silent store returned kept its host
  // from noticing the return for four seconds, beyond the bound on
  // configuration changes (zlab-west trouble-1 --seed 382297189291, CONFIG).
  WatcherFixture fixture;
  const auto second = std::chrono::seconds(1);
  fixture.store.Then([](uint64_t) {
    return StateBatch{{Upstream(1, 5)}, {0, 7}};
  });
  fixture.store.Then([&](uint64_t) -> StateBatch {
    CHECK(fixture.store.last_wait > second);
    throw objects::UnknownOutcomeError("no response");
  });
  for (int i = 0; i < 2; ++i) {
    fixture.store.Then([&](uint64_t) -> StateBatch {
      CHECK(fixture.store.last_wait <= std::chrono::seconds(0));
      throw objects::UnknownOutcomeError("no response");
    });
  }
  fixture.store.Then([&](uint64_t) {
    CHECK(fixture.store.last_wait <= std::chrono::seconds(0));
    return StateBatch{{}, {0, 9}};
  });
  fixture.store.Then([&](uint64_t) {
    CHECK(fixture.store.last_wait > second);
    return StateBatch{{}, {0, 9}};
  });
  fixture.RunScript();
}

TEST_CASE("After a restore of the store the latest data is listed") {
  // The watched revision exists again by now, for another change, so the store
  // does not refuse the watch.
  WatcherFixture fixture;
  fixture.store.Then([](uint64_t) {
    return StateBatch{{Upstream(1, 5), Upstream(2, 6)}, {1, 20}};
  });
  fixture.store.Then([](uint64_t from) {
    CHECK(from == 20);
    return StateBatch{{Upstream(3, 21)}, {2, 21}};
  });
  fixture.store.Then([&fixture](uint64_t) {
    CHECK(fixture.store.last_freshness == ReadFreshness::kLatest);
    CHECK_FALSE(fixture.cluster_state.upstreams().contains("3"));
    return StateBatch{{Upstream(1, 5), Upstream(3, 21)}, {2, 21}};
  });
  fixture.store.Then([&fixture](uint64_t from) {
    CHECK(from == 21);
    // The copy lacks upstream 2, which should register again.
    CHECK_FALSE(fixture.cluster_state.upstreams().at("2").is_unregistered);
    return StateBatch{{Upstream(2, 22)}, {2, 22}};
  });
  fixture.RunScript();
  CHECK(fixture.cluster_state.upstreams().size() == 3);
}

TEST_CASE("A watch from before a restore that a peer reported is dropped") {
  WatcherFixture fixture;
  fixture.store.Then([](uint64_t) {
    return StateBatch{{Upstream(1, 5)}, {1, 20}};
  });
  fixture.store.Then([&fixture](uint64_t) {
    fixture.cluster_state.ApplyList<cluster_state::UpstreamRecord>(
        ObjectKind::kUpstreams, {}, {2, 9}, cluster_state::SteadyTime());
    return StateBatch{{Upstream(3, 21)}, {1, 21}};
  });
  fixture.store.Then([&fixture](uint64_t) {
    CHECK_FALSE(fixture.cluster_state.upstreams().contains("3"));
    return StateBatch{{Upstream(1, 5)}, {2, 12}};
  });
  fixture.RunScript();
  CHECK(fixture.cluster_state.listed_version(ObjectKind::kUpstreams) ==
        cluster_state::StoreVersion{2, 12});
}

TEST_CASE("A stale response does not move the watch revision back") {
  WatcherFixture fixture;
  fixture.store.Then([](uint64_t) {
    return StateBatch{{Upstream(1, 5)}, {0, 20}};
  });
  fixture.store.Then([](uint64_t) { return StateBatch{{}, {0, 12}}; });
  fixture.store.Then([](uint64_t from) {
    CHECK(from == 20);
    return StateBatch{{}, {0, 21}};
  });
  fixture.RunScript();
  CHECK(fixture.store.watches == 3);
}

TEST_CASE("A stale list is replaced by the latest one before it is trusted") {
  // Stale data may be seconds old: an upstream that has left would be in use
  // again after a restart of the daemon.
  WatcherFixture fixture;
  fixture.store.Then([&fixture](uint64_t) {
    CHECK(fixture.store.last_freshness == ReadFreshness::kMayBeStale);
    // The list of the reference kind arrives at the same time.
    fixture.floor.Raise({0, 9});
    return StateBatch{{Upstream(1, 5), Upstream(2, 6)}, {0, 7}};
  });
  fixture.store.Then([&fixture](uint64_t) {
    CHECK(fixture.store.last_freshness == ReadFreshness::kLatest);
    return StateBatch{{Upstream(1, 5)}, {0, 9}};
  });
  fixture.store.Then([](uint64_t from) {
    CHECK(from == 9);
    return StateBatch{{}, {0, 12}};
  });
  fixture.RunScript();
  CHECK(fixture.store.lists == 2);
  CHECK(fixture.cluster_state.upstreams().at("2").is_unregistered);
}

TEST_CASE("A stale list is found out when the reference list arrives late") {
  // A slow store answers the lists of a start one after the other.
  WatcherFixture fixture;
  fixture.store.Then([](uint64_t) {
    return StateBatch{{Upstream(1, 5), Upstream(2, 6)}, {0, 7}};
  });
  fixture.store.Then([&fixture](uint64_t from) {
    CHECK(from == 7);
    fixture.floor.Raise({0, 9});
    return StateBatch{{}, {0, 7}};
  });
  fixture.store.Then([&fixture](uint64_t) {
    CHECK(fixture.store.lists == 2);
    CHECK(fixture.store.last_freshness == ReadFreshness::kLatest);
    return StateBatch{{Upstream(1, 5)}, {0, 9}};
  });
  fixture.RunScript();
  CHECK(fixture.cluster_state.upstreams().at("2").is_unregistered);
}

// Guards against a host that waits for the coalesce delay before it finds out
// that its first list is stale.
TEST_CASE("A stale list is found out as soon as the reference list arrives") {
  WatcherFixture fixture;
  boost::asio::steady_timer reference(fixture.context);
  std::chrono::steady_clock::time_point reference_time;
  fixture.store.Then([&](uint64_t) {
    reference.expires_after(std::chrono::milliseconds(20));
    reference.async_wait([&](const boost::system::error_code&) {
      reference_time = std::chrono::steady_clock::now();
      fixture.floor.Raise({0, 9});
    });
    return StateBatch{{Upstream(1, 5)}, {0, 7}};
  });
  std::chrono::steady_clock::time_point second_list;
  fixture.store.Then([&](uint64_t) {
    CHECK(fixture.store.lists == 2);
    second_list = std::chrono::steady_clock::now();
    return StateBatch{{Upstream(1, 5)}, {0, 9}};
  });
  fixture.RunScript();
  const auto coalesce_delay =
      ComputeWatchTiming({}, ObjectKind::kUpstreams).coalesce_delay;
  CHECK(second_list - reference_time < coalesce_delay / 2);
}

TEST_CASE("After compaction the latest data is listed") {
  // A stale list could lead to a revision whose history is gone again.
  WatcherFixture fixture;
  fixture.store.Then([](uint64_t) {
    return StateBatch{{Upstream(1, 5)}, {0, 7}};
  });
  fixture.store.Then(
      [](uint64_t) -> StateBatch { throw objects::CompactedError("gone"); });
  fixture.store.Then([&fixture](uint64_t) {
    CHECK(fixture.store.last_freshness == ReadFreshness::kLatest);
    return StateBatch{{Upstream(1, 5)}, {0, 20}};
  });
  fixture.RunScript();
}

TEST_CASE("A store whose history is gone after each list is listed in pauses") {
  WatcherFixture fixture;
  constexpr int kLists = 4;
  for (int i = 0; i < kLists; ++i) {
    fixture.store.Then([](uint64_t) {
      return StateBatch{{Upstream(1, 5)}, {0, 7}};
    });
    fixture.store.Then(
        [](uint64_t) -> StateBatch { throw objects::CompactedError("gone"); });
  }
  const auto start = std::chrono::steady_clock::now();
  fixture.RunScript();
  const auto time = std::chrono::steady_clock::now() - start;
  CHECK(fixture.store.lists == kLists + 1);
  // The second list follows at once, the pauses before the others are doubled.
  CHECK(time >= 7 * kInitialRetryDelay);
}

// Guards against lists without a pause, as a writer makes each watch too large.
TEST_CASE("Watches that are lost one after another are listed with pauses") {
  constexpr int kLostWatches = 4;
  WatcherFixture fixture;
  fixture.floor.Raise({0, 1});
  std::vector<cluster_state::SteadyTime> lists;
  for (int i = 0; i <= kLostWatches; ++i) {
    fixture.store.Then([&lists, i](uint64_t) {
      lists.push_back(std::chrono::steady_clock::now());
      return StateBatch{{}, {0, 7 + static_cast<uint64_t>(i)}};
    });
    if (i < kLostWatches) {
      fixture.store.Then([](uint64_t) -> StateBatch {
        throw objects::CompactedError("too many changes");
      });
    }
  }
  fixture.RunScript();
  REQUIRE(lists.size() == kLostWatches + 1);
  // The first one shows what was missed and is due at once.
  CHECK(lists[1] - lists[0] < kInitialRetryDelay);
  for (size_t i = 2; i < lists.size(); ++i) {
    CHECK(lists[i] - lists[i - 1] >= kInitialRetryDelay);
  }
}

TEST_CASE("One caller probes the store while the others wait") {
  boost::asio::io_context context;
  RetryGate gate(&context);
  std::string order;
  const auto run_until = [&](size_t count) {
    context.restart();
    while (order.size() < count) {
      REQUIRE(context.run_one() > 0);
    }
  };
  const auto wait = [&](const std::string& name,
                        std::chrono::milliseconds pause) {
    boost::asio::co_spawn(
        context, gate.WaitToRetry(&name, pause),
        [&order, &name](const std::exception_ptr&) { order += name; });
  };
  const std::string a = "a";
  const std::string b = "b";
  const std::string c = "c";
  wait(a, std::chrono::milliseconds(5));
  wait(b, std::chrono::milliseconds(1));
  wait(c, std::chrono::milliseconds(1));
  run_until(1);
  CHECK(order == "a");
  SECTION("the probe fails and the prober retries") {
    wait(a, std::chrono::milliseconds(5));
    run_until(2);
    CHECK(order == "aa");
  }
  SECTION("the probe succeeds") {
    gate.RecordSuccess();
    run_until(3);
    CHECK(order.find('b') != std::string::npos);
    CHECK(order.find('c') != std::string::npos);
    // The next caller that fails becomes the prober.
    wait(b, std::chrono::milliseconds(1));
    wait(a, std::chrono::milliseconds(1));
    run_until(4);
    CHECK(order.back() == 'b');
  }
  SECTION("the prober never reports a result") {
    run_until(3);
    CHECK(order.size() == 3);
  }
}

}  // namespace
}  // namespace poplarsail::entry
