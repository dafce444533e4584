#include <catch2/catch.hpp>

#include "entry/state_currency.h"

namespace poplarsail::entry {
namespace {

using cluster_state::ClusterState;
using cluster_state::ObjectKind;

constexpr ObjectKind kKind = ObjectKind::kConfiguration;

// Guards against a host that takes an old list for the latest data.
TEST_CASE("A kind is current once it has caught up with the latest data") {
  VersionFloor floor;
  ClusterState state;
  StateCurrency currency;
  state.MarkListed(kKind, {1, 5});
  CHECK_FALSE(currency.Update(kKind, floor, state));
  floor.Raise({1, 7});
  CHECK_FALSE(currency.Update(kKind, floor, state));
  CHECK_FALSE(currency.IsCurrent(kKind));
  state.MarkListed(kKind, {1, 7});
  CHECK(currency.Update(kKind, floor, state));
  CHECK(currency.IsCurrent(kKind));
  CHECK_FALSE(currency.IsCurrent(ObjectKind::kUpstreams));
}

TEST_CASE("A kind stays current while later data is on its way") {
  VersionFloor floor;
  ClusterState state;
  StateCurrency currency;
  state.MarkListed(kKind, {1, 5});
  floor.Raise({1, 5});
  REQUIRE(currency.Update(kKind, floor, state));
  floor.Raise({1, 9});
  CHECK_FALSE(currency.Update(kKind, floor, state));
  CHECK(currency.IsCurrent(kKind));
}

}  // namespace
}  // namespace poplarsail::entry
