// Entries that another writer left in the store: whatever their bytes, they
// cost themselves alone.
#include <catch2/catch.hpp>

#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>
#include <vector>

#include "entry/store_watcher.h"
#include "objects/objects.h"
#include "platform/object_decoder.h"
#include "store_fixture.h"

namespace poplarsail::platform {
namespace {

using cluster_state::ClusterState;
using cluster_state::ObjectKind;
using namespace std::chrono_literals;

std::vector<std::string> UnreadableSpecs() {
  return {"{\"service\":\"tally\",\"version\":\"v\xff\"}",
          R"({"service":"tally","version":"v\ud83d"})",
          R"({"service":"tally","version":1e400})",
          R"({"service":"tally","version":"\x"})",
          "{\"service\":\"tally\",\"version\":\"line\nbreak\"}",
          R"({"service":"tally","version":NaN})",
          R"({"service":"tally" "version":})",
          "not quoted",
          "[[}]"};
}

// Guards against the loss of whole responses to one entry: a single value that
// the parser refused made the list or watch fail, for good.
TEST_CASE("An unreadable entry costs no other entry of a response") {
  const std::string spec = GENERATE(from_range(UnreadableSpecs()));
  OddEntryFixture fixture;
  const uint64_t from = fixture.store.revision();
  fixture.store.Put("servers", "i-00000001", UpstreamSpec("ready"));
  fixture.store.PutText("servers", kOddName, spec);
  fixture.store.Put("servers", "i-00d00000", UpstreamSpec("ready"));
  CAPTURE(spec);
  CheckOnlyTheOddOneIsMissing(fixture.List());
  CheckOnlyTheOddOneIsMissing(fixture.WatchFrom(from));
  CHECK(fixture.state.counts().malformed_objects == 2);
}

// Guards against an upstream that stays in use although its entry names none
// any more.
TEST_CASE("An entry that becomes unreadable no longer names its upstream") {
  OddEntryFixture fixture;
  fixture.store.Put("servers", kOddName, UpstreamSpec("ready"));
  const entry::StateBatch before = fixture.List();
  REQUIRE(EntryAt(before, 0).value.has_value());
  fixture.store.PutText("servers", kOddName, UnreadableSpecs().front());
  const entry::StateBatch after = fixture.WatchFrom(before.version.revision);
  REQUIRE(after.entries.size() == 1);
  CHECK(EntryAt(after, 0).name == kOddName);
  CHECK(EntryAt(after, 0).revision > EntryAt(before, 0).revision);
  CHECK_FALSE(EntryAt(after, 0).value.has_value());
}

// Guards against a list that ends or repeats at an unreadable entry.
TEST_CASE("A list continues after a page that ends with an unreadable entry") {
  OddEntryFixture fixture;
  fixture.store.set_page_size(2);
  fixture.store.Put("servers", "i-00000001", UpstreamSpec("ready"));
  fixture.store.PutText("servers", kOddName, UnreadableSpecs().front());
  fixture.store.Put("servers", "i-00d00000", UpstreamSpec("ready"));
  CheckOnlyTheOddOneIsMissing(fixture.List());
  CHECK(fixture.store.call_count() == 2);
}

// Guards against a drain that is not learned because an unreadable entry came
// before it, and against a host that gets no list at its start.
TEST_CASE("Changes are followed past an unreadable entry") {
  const std::string spec = UnreadableSpecs().front();
  OddEntryFixture fixture;
  fixture.store.Put("servers", "i-00000001", UpstreamSpec("ready"));
  const bool is_written_before_start = GENERATE(true, false);
  if (is_written_before_start) {
    fixture.store.PutText("servers", kOddName, spec);
  }
  ClusterState cluster_state;
  entry::RetryGate gate(&fixture.context);
  entry::VersionFloor floor;
  entry::StoreWatcher watcher(
      &fixture.context, &fixture.state, &gate, &floor, ObjectKind::kUpstreams,
      entry::ComputeWatchTiming({}, ObjectKind::kUpstreams), &cluster_state,
      []() {});
  boost::asio::co_spawn(fixture.context, watcher.Run(), boost::asio::detached);
  fixture.RunUntil(
      [&]() { return cluster_state.IsListed(ObjectKind::kUpstreams); });
  if (!is_written_before_start) {
    fixture.store.PutText("servers", kOddName, spec);
  }
  fixture.store.Put("servers", "i-00000001", UpstreamSpec("draining"));
  const auto bound = FromNow(3s);
  boost::asio::steady_timer timer(fixture.context, bound);
  timer.async_wait([](const boost::system::error_code&) {});
  const auto is_draining = [&cluster_state]() {
    return cluster_state.upstreams().at("i-00000001").record.phase ==
           cluster_state::UpstreamPhase::kDraining;
  };
  fixture.RunUntil([&]() {
    return is_draining() || std::chrono::steady_clock::now() >= bound;
  });
  CHECK(is_draining());
  CHECK(cluster_state.upstreams().size() == 1);
}

// Guards against an evacuation that is ignored for what its writer put into it.
TEST_CASE("An evacuation stands whatever its spec is") {
  OddEntryFixture fixture;
  fixture.store.PutText("evacuations", "regina", UnreadableSpecs().front());
  const entry::StateBatch batch = fixture.Await(fixture.state.List(
      ObjectKind::kEvacuations, entry::ReadFreshness::kLatest));
  REQUIRE(batch.entries.size() == 1);
  const auto& evacuation =
      std::get<ClusterState::EvacuationEntry>(batch.entries.front());
  CHECK(evacuation.value == cluster_state::Evacuation{"regina"});
}

// Guards against a watch that fails for good, as one writer rewrote a large
// entry many times.
TEST_CASE("Too many changes for a response are listed instead") {
  OddEntryFixture fixture;
  const uint64_t from = fixture.store.revision();
  constexpr size_t kEntryBytes = 1'000'000;
  for (char c = 'a'; c < 'k'; ++c) {
    fixture.store.Put("servers", kOddName, std::string(kEntryBytes, c));
  }
  CHECK_THROWS_AS(fixture.WatchFrom(from), objects::CompactedError);
  CHECK(fixture.List().entries.size() == 1);
}

// Guards against texts that fill the memory of a host.
TEST_CASE("An entry with an over-long text names no upstream") {
  const std::string key =
      GENERATE(as<std::string>(), "service", "zone", "version");
  nlohmann::json spec = UpstreamSpec("ready");
  OddEntryFixture fixture;
  spec[key] = std::string(kMaxTextBytes, 'x');
  fixture.store.Put("servers", "i-00000001", spec);
  spec[key] = std::string(kMaxTextBytes + 1, 'x');
  fixture.store.Put("servers", kOddName, spec);
  spec = UpstreamSpec("ready");
  spec["note"] = std::string(kMaxRegistrationBytes, 'x');
  fixture.store.Put("servers", "i-00d00000", spec);
  const entry::StateBatch batch = fixture.List();
  REQUIRE(batch.entries.size() == 3);
  CHECK(EntryAt(batch, 0).value.has_value());
  CHECK_FALSE(EntryAt(batch, 1).value.has_value());
  CHECK_FALSE(EntryAt(batch, 2).value.has_value());
}

// Guards against requests that the store refuses for their length.
TEST_CASE("A list continues behind names that are too long") {
  OddEntryFixture fixture;
  fixture.store.set_page_size(2);
  const std::string long_name = std::string(kMaxTextBytes - 1, 'c') + "\u00e9" +
                                std::string(100'000, 'c');
  for (const char* end : {"1", "2", "3"}) {
    fixture.store.Put("servers", long_name + end, UpstreamSpec("ready"));
  }
  fixture.store.Put("servers", "a-00000001", UpstreamSpec("ready"));
  fixture.store.Put("servers", "d-00000001", UpstreamSpec("ready"));
  const entry::StateBatch batch = fixture.List();
  REQUIRE(batch.entries.size() == 2);
  CHECK(EntryAt(batch, 0).name == "a-00000001");
  CHECK(EntryAt(batch, 1).name == "d-00000001");
}

}  // namespace
}  // namespace poplarsail::platform
