#include <algorithm>
#include <map>
#include <tuple>

#include "client_driver.h"

namespace poplarsail::scheduling {

// Guards against hosts that use different schedulers, or all the same one.
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

// Guards against SYNs that are held for a host that no longer runs.
TEST_CASE("A request whose scheduler was killed goes on by rank, then local") {
  Driver driver;
  const auto first = driver.Request();
  const uint32_t token = TokenOf(first);
  CHECK(Asked(first) == std::vector{kBest.endpoint});
  // Only a scheduler that was asked can let the request wait.
  driver.client.OnQueued(kSecond.endpoint, token, driver.now);
  CHECK(driver.Run(24).empty());
  CHECK(Asked(driver.Run(1)) == std::vector{kBest.endpoint});
  CHECK(driver.Run(19).empty());
  CHECK(Asked(driver.Run(1)) == std::vector{kSecond.endpoint});
  CHECK(driver.client.IsHeld(token));
  CHECK(Only(driver.Run(14), Kind::kPlaceLocally).empty());
  const auto local = driver.Run(1);
  REQUIRE(local.size() == 1);
  CHECK(local[0].kind == Kind::kPlaceLocally);
  CHECK(local[0].request.key.token == token);
  CHECK_FALSE(driver.client.IsHeld(token));
}

// Guards against a second scheduler, which knows nothing of the flows of the
// first one, because of one lost datagram.
TEST_CASE("A lost request is sent again to the same scheduler") {
  Driver driver;
  const uint32_t token = TokenOf(driver.Request());
  driver.Run(26);
  const auto placed =
      driver.client.OnGrant(kBest.endpoint, token, 5, driver.now);
  REQUIRE(placed.size() == 1);
  CHECK(placed[0].kind == Kind::kPlace);
  driver.client.OnPlaced(kService, token, 5, driver.now);
  driver.Run(100);
  CHECK(Asked(driver.Request()) == std::vector{kBest.endpoint});
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

// Guards against a client that waits until it gives up, without a reset.
TEST_CASE("A queued request is held for 1.3 s after its SYN, then reset") {
  Driver driver;
  const uint32_t token = TokenOf(driver.Request());
  driver.client.OnQueued(kBest.endpoint, token, driver.now);
  ClientActions all;
  for (int i = 0; i < 4; ++i) {
    std::ranges::move(driver.Run(300), std::back_inserter(all));
    driver.Announce(kBest);
  }
  std::ranges::move(driver.Run(99), std::back_inserter(all));
  // The answer may have been lost: the same scheduler is asked again.
  CHECK(Asked(all) == std::vector(6, kBest.endpoint));
  CHECK(all.size() == 6);
  const auto reset = Only(driver.Run(1), Kind::kReset);
  REQUIRE(reset.size() == 1);
  CHECK(reset[0].kind == Kind::kReset);
  CHECK(reset[0].reason == RefusalReason::kNoRoom);
}

// Guards against requests held, and places taken, by a paused scheduler.
TEST_CASE("A scheduler is paused for 5 s while requests wait there") {
  Driver driver;
  const uint32_t token = TokenOf(driver.Request());
  driver.client.OnQueued(kBest.endpoint, token, driver.now);
  CHECK(Asked(driver.Run(499)) == std::vector(2, kBest.endpoint));
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

// Guards against places that stay taken, or are freed while in use.
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

// Guards against requests refused by a host that does not schedule.
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
  driver.Run(45);
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
  CHECK(Asked(driver.Run(1'299)) == std::vector(6, kOwn.endpoint));
  // Ticks may come at any time, not only at deadlines.
  CHECK(driver.client.Tick(driver.now).empty());
  CHECK(Only(driver.Run(1), Kind::kReset).size() == 1);
}

// Guards against two schedulers for hosts that know different peers.
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

// Guards against schedulers that take requests after a restart of the host for
// copies of earlier ones.
TEST_CASE("Tokens differ between runs of a host") {
  Driver before;
  Driver after(before.now + milliseconds(1));
  const uint32_t distance =
      TokenOf(after.Request()) - TokenOf(before.Request());
  CHECK(distance > 1'000'000);
}

// Guards against decisions that depend on the time since boot.
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

// Guards against unbounded memory in a SYN flood.
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

}  // namespace poplarsail::scheduling
