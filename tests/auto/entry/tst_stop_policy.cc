#include <catch2/catch.hpp>

#include "entry/stop_policy.h"

namespace poplarsail::entry {
namespace {

using namespace std::chrono_literals;

const StopPolicy::TimePoint kStart{1'000s};
constexpr std::chrono::milliseconds kLinger = 2'500ms;

TEST_CASE("A host that gets no more packets stops after its linger time") {
  const StopPolicy policy(kStart, kLinger);
  CHECK(policy.StopTime(kStart - 10s) == kStart + kLinger);
  CHECK(policy.StopTime(kStart + 1s) == kStart + kLinger);
}

TEST_CASE("A host in use forwards packets until they end") {
  // A rolling restart of most hosts of a domain: the fabric uses all of them as
  // long as fewer than half are ready.
  const StopPolicy policy(kStart, kLinger);
  CHECK(policy.StopTime(kStart + 2'400ms) == kStart + 3'000ms);
  CHECK(policy.StopTime(kStart + 3'900ms) == kStart + 4'500ms);
  // It is killed a second after that.
  CHECK(policy.StopTime(kStart + 4'990ms) == kStart + 5'000ms);
}

}  // namespace
}  // namespace poplarsail::entry
