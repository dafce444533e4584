// Entries that another writer left in the store, nested deeply.
#include <catch2/catch.hpp>

#include <string>

#include "platform/object_reader.h"
#include "store_fixture.h"

namespace poplarsail::platform {
namespace {

// A value of this depth fits an object of 1 MB.
std::string DeeplyNested() {
  constexpr size_t kDepth = 500'000;
  return R"({"service":"tally","version":)" + std::string(kDepth, '[') +
         std::string(kDepth, ']') + "}";
}

// Guards against the crash of all daemons by one entry: copying a parsed value
// recursed once for each level.
TEST_CASE("A deeply nested entry ends no process") {
  OddEntryFixture fixture;
  const uint64_t from = fixture.store.revision();
  fixture.store.Put("servers", "i-00000001", UpstreamSpec("ready"));
  fixture.store.PutText("servers", kOddName, DeeplyNested());
  fixture.store.Put("servers", "i-00d00000", UpstreamSpec("ready"));
  CheckOnlyTheOddOneIsMissing(fixture.List());
  CheckOnlyTheOddOneIsMissing(fixture.WatchFrom(from));
}

TEST_CASE("A spec is read up to the limit of nesting") {
  const auto object = [](size_t levels) {
    return R"({"meta":{"name":"i-1","revision":1},"spec":)" +
           std::string(levels, '[') + std::string(levels, ']') + "}";
  };
  CHECK(ReadSpec(object(kMaxNesting)).is_array());
  CHECK_THROWS_AS(ReadSpec(object(kMaxNesting + 1)), MalformedObjectError);
}

}  // namespace
}  // namespace poplarsail::platform
