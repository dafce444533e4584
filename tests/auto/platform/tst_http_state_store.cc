#include <catch2/catch.hpp>

#include "objects/objects.h"
#include "store_fixture.h"

namespace poplarsail::platform {
namespace {

using cluster_state::ObjectKind;
using standins::StoreMode;
using namespace std::chrono_literals;

TEST_CASE("A list contains the objects of all pages") {
  StoreFixture fixture;
  fixture.store.set_page_size(2);
  for (int i = 1; i <= 5; ++i) {
    fixture.store.Put("servers", "i-" + std::to_string(i),
                      UpstreamSpec("ready"));
  }
  const entry::StateBatch batch = fixture.Await(fixture.state.List(
      ObjectKind::kUpstreams, entry::ReadFreshness::kLatest));
  CHECK(batch.entries.size() == 5);
  CHECK(batch.version.revision == fixture.store.revision());
  CHECK(fixture.store.call_count() == 3);
}

TEST_CASE("A watch returns changes and deletions") {
  StoreFixture fixture;
  const uint64_t from =
      fixture.store.Put("servers", "i-1", UpstreamSpec("ready"));
  fixture.store.Put("servers", "i-1", UpstreamSpec("draining"));
  fixture.store.Remove("servers", "i-1");
  const entry::StateBatch batch = fixture.Await(
      fixture.state.Watch(ObjectKind::kUpstreams, from, FromNow(1s)));
  REQUIRE(batch.entries.size() == 2);
  const auto& drained =
      std::get<cluster_state::ClusterState::UpstreamEntry>(batch.entries[0]);
  CHECK(drained.value->phase == cluster_state::UpstreamPhase::kDraining);
  const auto& removed =
      std::get<cluster_state::ClusterState::UpstreamEntry>(batch.entries[1]);
  CHECK_FALSE(removed.value.has_value());
  CHECK(removed.revision > drained.revision);
}

TEST_CASE("A watch without changes returns no entries at its deadline") {
  StoreFixture fixture;
  const entry::StateBatch batch = fixture.Await(fixture.state.Watch(
      ObjectKind::kUpstreams, fixture.store.revision(), FromNow(50ms)));
  CHECK(batch.entries.empty());
}

TEST_CASE("A malformed object has no value and the others are decoded") {
  StoreFixture fixture;
  fixture.store.Put("servers", "i-1", UpstreamSpec("ready"));
  fixture.store.Put("servers", "i-2", UpstreamSpec("resting"));
  fixture.store.Put("servers", "i-3", "not even a table");
  const entry::StateBatch batch = fixture.Await(fixture.state.List(
      ObjectKind::kUpstreams, entry::ReadFreshness::kLatest));
  REQUIRE(batch.entries.size() == 3);
  int usable = 0;
  for (const entry::StateEntry& entry : batch.entries) {
    usable += std::get<cluster_state::ClusterState::UpstreamEntry>(entry).value
                  ? 1
                  : 0;
  }
  CHECK(usable == 1);
  CHECK(fixture.state.counts().malformed_objects == 2);
}

TEST_CASE("A store that is restored from a copy states a new era") {
  StoreFixture fixture;
  const auto list = [&fixture]() {
    return fixture.Await(fixture.state.List(ObjectKind::kUpstreams,
                                            entry::ReadFreshness::kLatest));
  };
  fixture.store.set_era(1);
  fixture.store.Put("servers", "i-1", UpstreamSpec("ready"));
  fixture.store.TakeSnapshot();
  fixture.store.Put("servers", "i-2", UpstreamSpec("ready"));
  const entry::StateBatch before = list();
  CHECK(before.version.era == 1);
  fixture.store.Restore();
  // The connection was reset.
  CHECK_THROWS_AS(list(), objects::UnknownOutcomeError);
  SECTION("the watched revision is gone") {
    CHECK_THROWS_AS(
        fixture.Await(fixture.state.Watch(
            ObjectKind::kUpstreams, before.version.revision, FromNow(1s))),
        objects::CompactedError);
  }
  SECTION("the watched revision was given out again") {
    fixture.store.Put("servers", "i-3", UpstreamSpec("ready"));
    REQUIRE(fixture.store.revision() == before.version.revision);
    CHECK(
        fixture
            .Await(fixture.state.Watch(ObjectKind::kUpstreams,
                                       before.version.revision, FromNow(50ms)))
            .version.era == 2);
  }
  CHECK(fixture.state.counts().era == 2);
  const entry::StateBatch after = list();
  CHECK(after.version.era == 2);
  CHECK(after.version.revision <= before.version.revision);
}

TEST_CASE("Pages of two eras are no list") {
  StoreFixture fixture;
  fixture.store.set_era(1);
  fixture.store.set_page_size(1);
  fixture.store.Put("servers", "i-1", UpstreamSpec("ready"));
  fixture.store.Put("servers", "i-2", UpstreamSpec("ready"));
  fixture.store.set_on_call(
      [&fixture](uint64_t call) { fixture.store.set_era(call == 1 ? 1 : 2); });
  CHECK_THROWS_AS(
      fixture.Await(fixture.state.List(ObjectKind::kUpstreams,
                                       entry::ReadFreshness::kMayBeStale)),
      objects::UnavailableError);
}

TEST_CASE("A late response is not taken for that of the next call") {
  StoreFixture fixture;
  fixture.store.Put("servers", "i-1", UpstreamSpec("ready"));
  fixture.store.set_mode(StoreMode::kLateResponses);
  CHECK_THROWS_AS(fixture.Await(fixture.state.List(
                      ObjectKind::kUpstreams, entry::ReadFreshness::kLatest)),
                  objects::UnknownOutcomeError);
  fixture.store.set_mode(StoreMode::kServe);
  fixture.store.Put("servers", "i-2", UpstreamSpec("ready"));
  // The first list is answered now, without the second upstream.
  bool is_late_response_due = false;
  boost::asio::steady_timer timer(fixture.context,
                                  standins::kLateResponseDelay);
  timer.async_wait(
      [&](const boost::system::error_code&) { is_late_response_due = true; });
  fixture.RunUntil([&]() { return is_late_response_due; });
  CHECK(fixture
            .Await(fixture.state.List(ObjectKind::kUpstreams,
                                      entry::ReadFreshness::kLatest))
            .entries.size() == 2);
}

TEST_CASE("A response with an unusable era is not used") {
  StoreFixture fixture;
  const auto list = [&fixture]() {
    return fixture.Await(fixture.state.List(ObjectKind::kUpstreams,
                                            entry::ReadFreshness::kLatest));
  };
  fixture.store.set_era(3);
  list();
  SECTION("it falls") {
    fixture.store.set_era(2);
  }
  SECTION("it is missing") {
    fixture.store.set_era(0);
  }
  CHECK_THROWS_AS(list(), objects::UnavailableError);
  CHECK(fixture.state.counts().unusable_eras == 1);
  fixture.store.set_era(3);
  CHECK_NOTHROW(list());
}

TEST_CASE("A refusal that states no era is a refusal") {
  StoreFixture fixture;
  fixture.store.set_era(3);
  const uint64_t from = fixture.store.revision();
  fixture.Await(fixture.state.List(ObjectKind::kUpstreams,
                                   entry::ReadFreshness::kLatest));
  fixture.store.Put("servers", "i-1", UpstreamSpec("ready"));
  fixture.store.Compact();
  fixture.store.set_era(0);
  CHECK_THROWS_AS(fixture.Await(fixture.state.Watch(ObjectKind::kUpstreams,
                                                    from, FromNow(1s))),
                  objects::CompactedError);
}

TEST_CASE("Refused calls and lost responses have different errors") {
  StoreFixture fixture;
  SECTION("history was compacted") {
    const uint64_t from = fixture.store.revision();
    fixture.store.Put("servers", "i-1", UpstreamSpec("ready"));
    fixture.store.Compact();
    CHECK_THROWS_AS(fixture.Await(fixture.state.Watch(ObjectKind::kUpstreams,
                                                      from, FromNow(1s))),
                    objects::CompactedError);
  }
  SECTION("throttled") {
    fixture.store.set_mode(StoreMode::kThrottled);
    CHECK_THROWS_AS(fixture.Await(fixture.state.List(
                        ObjectKind::kUpstreams, entry::ReadFreshness::kLatest)),
                    objects::UnavailableError);
    CHECK(fixture.state.counts().refused == 1);
  }
  SECTION("unavailable") {
    fixture.store.set_mode(StoreMode::kUnavailable);
    CHECK_THROWS_AS(fixture.Await(fixture.state.List(
                        ObjectKind::kUpstreams, entry::ReadFreshness::kLatest)),
                    objects::UnavailableError);
  }
  SECTION("resetting") {
    fixture.store.set_mode(StoreMode::kReset);
    CHECK_THROWS_AS(fixture.Await(fixture.state.List(
                        ObjectKind::kUpstreams, entry::ReadFreshness::kLatest)),
                    objects::UnknownOutcomeError);
    CHECK(fixture.state.counts().failed == 1);
  }
  SECTION("unresponsive") {
    fixture.store.set_mode(StoreMode::kUnresponsive);
    CHECK_THROWS_AS(fixture.Await(fixture.state.List(
                        ObjectKind::kUpstreams, entry::ReadFreshness::kLatest)),
                    objects::UnknownOutcomeError);
  }
  SECTION("the next call after each failure succeeds") {
    for (const StoreMode mode :
         {StoreMode::kUnavailable, StoreMode::kReset, StoreMode::kThrottled}) {
      fixture.store.set_mode(mode);
      CHECK_THROWS(fixture.Await(fixture.state.List(
          ObjectKind::kUpstreams, entry::ReadFreshness::kLatest)));
      fixture.store.set_mode(StoreMode::kServe);
      CHECK_NOTHROW(fixture.Await(fixture.state.List(
          ObjectKind::kUpstreams, entry::ReadFreshness::kLatest)));
    }
  }
}

}  // namespace
}  // namespace poplarsail::platform
