#include "scheduling/placement_client.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

namespace poplarsail::scheduling {
namespace {

using Kind = ClientActionKind;

const std::string kService = "web";
// By rank: best, second, own.
const Candidate kBest{{0x0a000001, 7000}, 12};
const Candidate kSecond{{0x0a000002, 7000}, 11};
const Candidate kOwn{{0x0a000003, 7000}, 10};

// A client with virtual time. The test gives the answers of the schedulers.
class Driver {
 public:
  explicit Driver(SteadyTime start = SteadyTime(std::chrono::hours(1)))
      : now(start) {
    client.SetCandidates({kSecond, kBest});
  }

  ClientActions Request() {
    return client.Request(kService, {.first_syn = now}, now);
  }

  // Advances the time from deadline to deadline.
  ClientActions Run(int duration_ms) {
    const SteadyTime end = now + milliseconds(duration_ms);
    ClientActions all;
    for (int steps = 0; steps < 100'000; ++steps) {
      const auto next = client.NextDeadline();
      if (!next || *next > end) {
        now = end;
        return all;
      }
      now = std::max(now, *next);
      for (const ClientAction& action : client.Tick(now)) {
        all.push_back(action);
      }
    }
    FAIL("deadlines are due but do nothing");
    return all;
  }

  Announcement Announce(const Candidate& scheduler) {
    Announcement announcement{.service = kService,
                              .scheduler = scheduler.endpoint,
                              .capacity_class = scheduler.capacity_class};
    client.OnAnnouncement(announcement, now);
    return announcement;
  }

  PlacementClient client{kOwn};
  SteadyTime now;
};

uint32_t TokenOf(const ClientActions& actions) {
  REQUIRE(!actions.empty());
  return actions[0].request.key.token;
}

ClientActions Only(ClientActions actions, Kind kind) {
  std::erase_if(actions, [kind](const ClientAction& action) {
    return action.kind != kind;
  });
  return actions;
}

std::vector<Ipv4Endpoint> Asked(const ClientActions& actions) {
  std::vector<Ipv4Endpoint> asked;
  for (const ClientAction& action : Only(actions, Kind::kSendRequest)) {
    asked.push_back(action.scheduler);
  }
  return asked;
}

}  // namespace

TEST_CASE("All hosts rank by capacity, then evenly by service") {
  CHECK(RankCandidates({kOwn, kBest, kSecond}, "any") ==
        std::vector{kBest, kSecond, kOwn});
  std::map<Ipv4Endpoint, int> first;
  for (int i = 0; i < 300; ++i) {
    std::vector<Candidate> hosts = {{{1, 1}, 5}, {{2, 1}, 5}, {{3, 1}, 5}};
    const auto ranked = RankCandidates(hosts, "s" + std::to_string(i));
    std::ranges::reverse(hosts);
    REQUIRE(RankCandidates(hosts, "s" + std::to_string(i)) == ranked);
    ++first[ranked[0].endpoint];
  }
  REQUIRE(first.size() == 3);
  for (const auto& [endpoint, count] : first) {
    // Guards against one host that schedules all services: 100 each, less six
    // standard deviations.
    CHECK(count > 50);
  }
}

TEST_CASE("A request whose scheduler was killed goes on by rank, then local") {
  Driver driver;
  const auto first = driver.Request();
  const uint32_t token = TokenOf(first);
  CHECK(Asked(first) == std::vector{kBest.endpoint});
  // Only a scheduler that was asked can let the request wait.
  driver.client.OnQueued(kSecond.endpoint, token, driver.now);
  CHECK(driver.Run(24).empty());
  CHECK(Asked(driver.Run(1)) == std::vector{kSecond.endpoint});
  CHECK(driver.client.IsHeld(token));
  CHECK(Only(driver.Run(34), Kind::kPlaceLocally).empty());
  const auto local = driver.Run(1);
  REQUIRE(local.size() == 1);
  CHECK(local[0].kind == Kind::kPlaceLocally);
  CHECK(local[0].request.key.token == token);
  CHECK_FALSE(driver.client.IsHeld(token));
}

// Guards against 25 ms for each flow until the dead host leaves the peers.
TEST_CASE("A silent scheduler is skipped for a second") {
  Driver driver;
  const uint32_t token = TokenOf(driver.Request());
  driver.Run(25);
  driver.client.OnGrant(kSecond.endpoint, token, 5, driver.now);
  driver.Run(35);
  CHECK(Asked(driver.Request()) == std::vector{kSecond.endpoint});
  driver.client.OnGrant(kSecond.endpoint, token + 1, 5, driver.now);
  driver.Run(999);
  CHECK(driver.client.scheduler_of(kService, driver.now) == kSecond.endpoint);
  driver.Run(1);
  CHECK(Asked(driver.Request()) == std::vector{kBest.endpoint});
}

TEST_CASE("A queued request is held for 1.3 s after its SYN, then reset") {
  Driver driver;
  const uint32_t token = TokenOf(driver.Request());
  driver.client.OnQueued(kBest.endpoint, token, driver.now);
  for (int i = 0; i < 4; ++i) {
    CHECK(driver.Run(300).empty());
    driver.Announce(kBest);
  }
  CHECK(driver.Run(99).empty());
  const auto reset = driver.Run(1);
  REQUIRE(reset.size() == 1);
  CHECK(reset[0].kind == Kind::kReset);
  CHECK(reset[0].reason == RefusalReason::kNoRoom);
}

TEST_CASE("A scheduler is paused for 5 s while requests wait there") {
  Driver driver;
  const uint32_t token = TokenOf(driver.Request());
  driver.client.OnQueued(kBest.endpoint, token, driver.now);
  CHECK(driver.Run(499).empty());
  CHECK(Asked(driver.Run(1)) == std::vector{kSecond.endpoint});
  CHECK(driver.client.scheduler_of(kService, driver.now) == kSecond.endpoint);
  CHECK(Only(driver.Run(59), Kind::kPlaceLocally).empty());
  CHECK(Only(driver.Run(1), Kind::kPlaceLocally).size() == 1);
  driver.client.OnPlaced(kService, token, 8, driver.now);
  driver.Run(4'440);
  // Back: its late grant frees the place, and it is used again.
  CHECK(driver.client.OnGrant(kBest.endpoint, token, 5, driver.now).empty());
  const auto sent = Only(driver.Run(5), Kind::kSendCompletions);
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].scheduler == kBest.endpoint);
  CHECK(sent[0].service == kService);
  CHECK(sent[0].completions ==
        std::vector{Completion{token, 5, Outcome::kAbandoned}});
  CHECK(Asked(driver.Request()) == std::vector{kBest.endpoint});
}

// Guards against SYNs that wait for answers which are lost on the way.
TEST_CASE("Requests arrive and answers do not") {
  Driver driver;
  for (int i = 0; i < 200; ++i) {
    const auto request = driver.Request();
    const uint32_t token = TokenOf(request);
    auto actions = driver.Run(60);
    const bool is_local = Only(request, Kind::kPlaceLocally).size() +
                              Only(actions, Kind::kPlaceLocally).size() ==
                          1;
    CHECK(is_local);
    CHECK_FALSE(driver.client.IsHeld(token));
    const auto asked = Asked(actions);
    CHECK(std::ranges::count(asked, kBest.endpoint) <= 1);
  }
}

// Guards against places that stay taken for grants which were lost.
TEST_CASE("A scheduler whose answer was lost gets a snapshot") {
  Driver driver;
  driver.Request();
  driver.Run(60);
  const auto sent = Only(driver.Run(3'000), Kind::kSendSnapshot);
  REQUIRE(sent.size() == 3);
  CHECK(sent[0].scheduler == kBest.endpoint);
  CHECK(sent[1].scheduler == kSecond.endpoint);
  CHECK(sent[0].open_flows.empty());
}

TEST_CASE("A late grant is abandoned, a duplicate of the grant is not") {
  Driver driver;
  const uint32_t token = TokenOf(driver.Request());
  driver.Run(25);
  const auto placed =
      driver.client.OnGrant(kSecond.endpoint, token, 5, driver.now);
  REQUIRE(placed.size() == 1);
  CHECK(placed[0].kind == Kind::kPlace);
  CHECK(placed[0].upstream_id == 5);
  driver.client.OnPlaced(kService, token, 5, driver.now);
  CHECK(driver.client.OnGrant(kSecond.endpoint, token, 5, driver.now).empty());
  CHECK(driver.Run(5).empty());
  CHECK(driver.client.OnGrant(kBest.endpoint, token, 6, driver.now).empty());
  auto sent = driver.Run(5);
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].scheduler == kBest.endpoint);
  CHECK(sent[0].completions ==
        std::vector{Completion{token, 6, Outcome::kAbandoned}});
  // Also when the flow has ended.
  driver.client.OnCompleted({token, 5, Outcome::kResponded}, driver.now);
  driver.client.OnCompleted({token, 5, Outcome::kResponded}, driver.now);
  driver.client.OnGrant(kSecond.endpoint, token, 5, driver.now);
  sent = Only(driver.Run(5), Kind::kSendCompletions);
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].scheduler == kSecond.endpoint);
  CHECK(sent[0].completions ==
        std::vector{Completion{token, 5, Outcome::kResponded}});
  // Late answers of other kinds change nothing.
  driver.client.OnQueued(kBest.endpoint, token, driver.now);
  CHECK(driver.client
            .OnRefusal(kBest.endpoint, token, RefusalReason::kNoRoom, {},
                       driver.now)
            .empty());
  CHECK_FALSE(driver.client.IsHeld(token));
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

TEST_CASE("Refusals reset the client unless another scheduler is named") {
  Driver driver;
  const uint32_t token = TokenOf(driver.Request());
  const Ipv4Endpoint other{0x0a000009, 7000};
  const auto redirected = driver.client.OnRefusal(
      kBest.endpoint, token, RefusalReason::kUseOther, other, driver.now);
  CHECK(Asked(redirected) == std::vector{other});
  CHECK(Asked(driver.Request()) == std::vector{other});
  // A host that was not asked decides nothing.
  CHECK(driver.client
            .OnRefusal(kSecond.endpoint, token, RefusalReason::kNoRoom, {},
                       driver.now)
            .empty());
  const auto reset = driver.client.OnRefusal(
      other, token, RefusalReason::kNoUpstream, {}, driver.now);
  REQUIRE(reset.size() == 1);
  CHECK(reset[0].kind == Kind::kReset);
  CHECK(reset[0].reason == RefusalReason::kNoUpstream);
  // Guards against hosts that name each other: each is asked once.
  const uint32_t next = token + 1;
  const auto back = driver.client.OnRefusal(
      other, next, RefusalReason::kUseOther, kBest.endpoint, driver.now);
  CHECK(Asked(back) == std::vector{kBest.endpoint});
  CHECK(Asked(driver.client.OnRefusal(
            kBest.endpoint, next, RefusalReason::kUseOther, other,
            driver.now)) == std::vector{kSecond.endpoint});
}

// Guards against a reset although the request may still be granted elsewhere.
TEST_CASE("A request that waits at two schedulers survives one refusal") {
  Driver driver;
  const uint32_t token = TokenOf(driver.Request());
  driver.Run(25);
  driver.client.OnQueued(kBest.endpoint, token, driver.now);
  driver.client.OnQueued(kSecond.endpoint, token, driver.now);
  CHECK(driver.client
            .OnRefusal(kBest.endpoint, token, RefusalReason::kNoRoom, {},
                       driver.now)
            .empty());
  CHECK(driver.client.IsHeld(token));
  CHECK(driver.client
            .OnRefusal(kSecond.endpoint, token, RefusalReason::kNoRoom, {},
                       driver.now)
            .size() == 1);
}

// Guards against leaving the own scheduler, which announces nothing to itself.
TEST_CASE("Requests that wait at the own scheduler stay there") {
  Driver driver;
  driver.client.SetCandidates({});
  const auto asked = driver.Request();
  CHECK(Asked(asked) == std::vector{kOwn.endpoint});
  driver.client.OnQueued(kOwn.endpoint, TokenOf(asked), driver.now);
  driver.client.SetCandidates({kBest, kSecond});
  CHECK(driver.Run(1'299).empty());
  // Ticks may come at any time, not only at deadlines.
  CHECK(driver.client.Tick(driver.now).empty());
  CHECK(Only(driver.Run(1), Kind::kReset).size() == 1);
}

TEST_CASE("Hosts with different candidates converge by announcements") {
  Driver with_best;
  Driver without_best;
  without_best.client.SetCandidates({kSecond});
  CHECK(without_best.client.scheduler_of(kService, without_best.now) ==
        kSecond.endpoint);
  without_best.Announce(kBest);
  CHECK(Asked(without_best.Request()) == Asked(with_best.Request()));
  // A worse ranked scheduler changes nothing.
  with_best.Announce({{0x0a000009, 7000}, 3});
  CHECK(with_best.client.scheduler_of(kService, with_best.now) ==
        kBest.endpoint);
  // One that is no longer heard is not asked.
  CHECK(without_best.client.scheduler_of(
            kService, without_best.now + milliseconds(1'501)) ==
        kSecond.endpoint);
  Driver alone;
  alone.client.SetCandidates({});
  CHECK(alone.client.scheduler_of(kService, alone.now) == kOwn.endpoint);
}

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
  CHECK(Only(driver.Run(4), Kind::kSendCompletions).empty());
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

// Guards against schedulers that take requests after a restart of the host for
// copies of earlier ones.
TEST_CASE("Tokens differ between runs of a host") {
  Driver before;
  Driver after(before.now + milliseconds(1));
  const uint32_t distance =
      TokenOf(after.Request()) - TokenOf(before.Request());
  CHECK(distance > 1'000'000);
}

TEST_CASE("The start of the clock changes no decision") {
  const auto play = [](Driver driver) {
    const SteadyTime start = driver.now;
    std::vector<std::tuple<Kind, Ipv4Endpoint, milliseconds>> seen;
    for (int i = 0; i < 40; ++i) {
      auto actions = driver.Request();
      if (i % 3 == 0) {
        driver.client.OnQueued(kBest.endpoint, TokenOf(actions), driver.now);
      }
      for (const ClientAction& action : driver.Run(37)) {
        seen.emplace_back(
            action.kind, action.scheduler,
            std::chrono::duration_cast<milliseconds>(driver.now - start));
      }
    }
    return seen;
  };
  CHECK(play(Driver(SteadyTime())) ==
        play(Driver(SteadyTime(std::chrono::hours(24 * 10'000)))));
}

TEST_CASE("Beyond 4,096 held requests flows are placed locally at once") {
  Driver driver;
  for (int i = 0; i < 4'096; ++i) {
    REQUIRE(driver.Request()[0].kind == Kind::kSendRequest);
  }
  const auto actions = driver.Request();
  REQUIRE(actions.size() == 1);
  CHECK(actions[0].kind == Kind::kPlaceLocally);
  CHECK_FALSE(driver.client.IsHeld(TokenOf(actions)));
  CHECK(Only(driver.Run(60), Kind::kPlaceLocally).size() == 4'096);
  CHECK(driver.Request()[0].kind != Kind::kPlaceLocally);
}

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
