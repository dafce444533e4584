#include <algorithm>

#include "client_driver.h"

namespace poplarsail::scheduling {

// Guards against places that stay taken for grants which were lost.
TEST_CASE("A scheduler whose answer was lost gets a snapshot") {
  Driver driver;
  driver.Request();
  driver.Run(60);
  const auto sent = Only(driver.Run(3'000), Kind::kSendSnapshot);
  // No third host is asked before the flow is placed locally.
  REQUIRE(sent.size() == 2);
  CHECK(sent[0].scheduler == kBest.endpoint);
  CHECK(sent[1].scheduler == kSecond.endpoint);
  CHECK(sent[0].open_flows.empty());
}

// Guards against places that stay taken in a domain that was forwarded to.
TEST_CASE("A scheduler of another domain gets the ends of its flows") {
  Driver driver;
  const Ipv4Endpoint foreign{0x0a000101, 7000};
  const uint32_t token = TokenOf(driver.Request());
  driver.client.OnGrant(foreign, token, 5, driver.now);
  driver.client.OnPlaced(kService, token, 5, driver.now);
  driver.client.OnCompleted({token, 5, Outcome::kResponded}, driver.now);
  const auto sent = driver.Run(5);
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].scheduler == foreign);
  const auto snapshots = driver.Run(3'000);
  CHECK(std::ranges::count(snapshots, foreign, &ClientAction::scheduler) == 1);
}

// Guards against a place that stays taken when the granted upstream is unknown.
TEST_CASE("A granted flow that is placed elsewhere frees its place") {
  Driver driver;
  const uint32_t token = TokenOf(driver.Request());
  driver.client.OnGrant(kBest.endpoint, token, 5, driver.now);
  driver.client.OnPlaced(kService, token, 6, driver.now);
  const auto sent = driver.Run(5);
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].completions ==
        std::vector{Completion{token, 5, Outcome::kAbandoned}});
  const auto snapshots = driver.Run(500);
  REQUIRE(!snapshots.empty());
  REQUIRE(snapshots[0].open_flows.size() == 1);
  CHECK(snapshots[0].open_flows[0].upstream_id == 6);
}

// Guards against completions at a scheduler that did not grant the flow.
TEST_CASE("Completions share a datagram and go to the scheduler that granted") {
  Driver driver;
  const uint32_t granted = TokenOf(driver.Request());
  driver.Run(25);
  driver.client.OnGrant(kSecond.endpoint, granted, 5, driver.now);
  const uint32_t local = TokenOf(driver.Request());
  const uint32_t also_local = TokenOf(driver.Request());
  driver.client.OnPlaced(kService, granted, 5, driver.now);
  driver.Run(70);
  driver.client.OnPlaced(kService, local, 6, driver.now);
  driver.client.OnPlaced(kService, also_local, 7, driver.now);
  driver.Run(1'000);
  // `kBest` is no longer skipped.
  driver.client.OnCompleted({granted, 5, Outcome::kResponded}, driver.now);
  driver.client.OnCompleted({local, 6, Outcome::kFailed}, driver.now);
  driver.client.OnCompleted({also_local, 7, Outcome::kResponded}, driver.now);
  // A delay would keep the places taken.
  const auto sent = Only(driver.Run(1), Kind::kSendCompletions);
  REQUIRE(sent.size() == 2);
  CHECK(sent[0].scheduler == kBest.endpoint);
  CHECK(sent[0].completions.size() == 2);
  CHECK(sent[1].scheduler == kSecond.endpoint);
  CHECK(sent[1].completions.size() == 1);
}

// Guards against counts that stay wrong after lost messages.
TEST_CASE("Snapshots list open flows and end with an empty one") {
  Driver driver;
  const uint32_t token = TokenOf(driver.Request());
  driver.client.OnGrant(kBest.endpoint, token, 5, driver.now);
  driver.client.OnPlaced(kService, token, 5, driver.now);
  auto sent = driver.Run(1'000);
  REQUIRE(sent.size() == 2);
  CHECK(sent[1].kind == Kind::kSendSnapshot);
  CHECK(sent[1].scheduler == kBest.endpoint);
  CHECK(sent[1].open_flows ==
        std::vector{OpenFlow{token, 5, milliseconds(1'000)}});
  driver.client.OnCompleted({token, 5, Outcome::kResponded}, driver.now);
  sent = Only(driver.Run(3'000), Kind::kSendSnapshot);
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].open_flows.empty());
  // A flow that ends between two snapshots, with its completion lost.
  const uint32_t brief = TokenOf(driver.Request());
  driver.client.OnGrant(kBest.endpoint, brief, 5, driver.now);
  driver.client.OnPlaced(kService, brief, 5, driver.now);
  driver.client.OnCompleted({brief, 5, Outcome::kResponded}, driver.now);
  CHECK(Only(driver.Run(3'000), Kind::kSendSnapshot).size() == 1);
  // A hung flow is not listed for ever, nor kept.
  driver.client.OnPlaced(kService, 77, 5, driver.now);
  sent = driver.Run(65'000);
  CHECK(std::ranges::max(sent, {},
                         [](const ClientAction& action) {
                           return action.open_flows.empty()
                                      ? milliseconds(0)
                                      : action.open_flows[0].age;
                         })
            .open_flows[0]
            .age < milliseconds(60'000));
  CHECK_FALSE(driver.client.NextDeadline());
}

// Guards against a new scheduler that takes busy upstreams for free ones.
TEST_CASE("A new scheduler and the one that granted both get the snapshot") {
  Driver driver;
  const uint32_t token = TokenOf(driver.Request());
  driver.Run(25);
  driver.client.OnGrant(kSecond.endpoint, token, 5, driver.now);
  driver.client.OnPlaced(kService, token, 5, driver.now);
  driver.Run(1'400);
  const auto sent = driver.Run(500);
  REQUIRE(sent.size() == 2);
  CHECK(sent[0].scheduler == kBest.endpoint);
  CHECK(sent[1].scheduler == kSecond.endpoint);
  CHECK(sent[0].open_flows == sent[1].open_flows);
  CHECK(sent[0].open_flows.size() == 1);
}

// Guards against unbounded memory with flows that do not end.
TEST_CASE("Open flows and decided requests are bounded") {
  Driver driver;
  const uint32_t oldest = TokenOf(driver.Request());
  // Until the silent schedulers are used again.
  driver.Run(1'200);
  for (uint32_t i = 1; i <= 70'000; ++i) {
    driver.client.OnPlaced(kService, oldest + i, 5, driver.now);
  }
  const auto sent = Only(driver.Run(500), Kind::kSendSnapshot);
  REQUIRE(!sent.empty());
  CHECK(sent[0].open_flows.size() == 65'536);
  for (uint32_t i = 1; i <= 8'192; ++i) {
    driver.client.OnCompleted({oldest + i, 5}, driver.now);
  }
  driver.Run(10);
  driver.client.OnGrant(kBest.endpoint, oldest, 5, driver.now);
  CHECK(Only(driver.Run(10), Kind::kSendCompletions).empty());
}

}  // namespace poplarsail::scheduling
