#include <catch2/catch.hpp>

#include <rapidcheck.h>

#include <map>
#include <nlohmann/json.hpp>

#include "steering/steering.h"

namespace poplarsail::steering {
namespace {

const TimePoint kStart = model::FromUnixMillis(1'000'000);
constexpr std::chrono::milliseconds kAnnounce{2'500};

constexpr std::chrono::milliseconds kLeaveDelay{1'000};

PlanTiming TimingAt(TimePoint now) {
  return {now, now + kAnnounce, now + kLeaveDelay};
}

DesiredService MakeDesiredService(const std::map<int, uint32_t>& weights) {
  DesiredService desired;
  desired.service = "tally";
  desired.address = *model::ParseEndpoint("203.0.113.10:443");
  for (const auto& [number, weight] : weights) {
    desired.upstreams.push_back(
        {"u" + std::to_string(number),
         *model::ParseEndpoint("192.0.2." + std::to_string(number) + ":443"),
         "d" + std::to_string(number % 3), weight});
  }
  return desired;
}

std::map<int, uint32_t> EqualWeights(int count) {
  std::map<int, uint32_t> weights;
  for (int i = 1; i <= count; ++i) {
    weights[i] = 1;
  }
  return weights;
}

std::map<UpstreamId, int> OwnersOfNewFlows(const ServicePlan& plan,
                                           TimePoint now) {
  std::map<UpstreamId, int> owners;
  for (uint32_t bucket = 0; bucket < plan.bucket_count(); ++bucket) {
    ++owners[plan.OwnerOfNewFlows(bucket, now)];
  }
  return owners;
}

TEST_CASE("the first plan shares buckets evenly and has no owner changes") {
  const auto plan =
      NextPlan(nullptr, MakeDesiredService(EqualWeights(14)), TimingAt(kStart));
  REQUIRE(plan);
  CHECK(plan->owner_change_count() == 0);
  for (const auto& [id, count] : OwnersOfNewFlows(*plan, kStart)) {
    CHECK(count >= 36);
    CHECK(count <= 37);
  }
  CHECK_FALSE(
      NextPlan(&*plan, MakeDesiredService(EqualWeights(14)), TimingAt(kStart)));
}

TEST_CASE(
    "a drain moves only the buckets of the upstream, after the announcement") {
  const auto before =
      NextPlan(nullptr, MakeDesiredService(EqualWeights(14)), TimingAt(kStart));
  auto weights = EqualWeights(14);
  weights[1] = 0;
  const auto after =
      NextPlan(&*before, MakeDesiredService(weights), TimingAt(kStart));
  REQUIRE(after);
  CHECK(after->generation() == 2);
  for (uint32_t bucket = 0; bucket < after->bucket_count(); ++bucket) {
    CHECK(after->OldestOwner(bucket) == before->OldestOwner(bucket));
    CHECK(after->OwnerChanges(bucket).empty() ==
          (before->OldestOwner(bucket) != 1));
    CHECK(after->OwnerOfNewFlows(bucket, kStart) ==
          before->OldestOwner(bucket));
    CHECK(after->OwnerOfNewFlows(bucket, kStart + kAnnounce) != 1);
  }
}

TEST_CASE("an added upstream receives its share and no more") {
  const auto before =
      NextPlan(nullptr, MakeDesiredService(EqualWeights(14)), TimingAt(kStart));
  const auto after = NextPlan(&*before, MakeDesiredService(EqualWeights(15)),
                              TimingAt(kStart));
  REQUIRE(after);
  CHECK(after->owner_change_count() == 512 / 15);
}

TEST_CASE("a removed upstream leaves the chains in two steps") {
  const auto before =
      NextPlan(nullptr, MakeDesiredService(EqualWeights(3)), TimingAt(kStart));
  auto weights = EqualWeights(3);
  weights.erase(2);
  const auto leaving =
      NextPlan(&*before, MakeDesiredService(weights), TimingAt(kStart));
  REQUIRE(leaving);
  const TimePoint left = kStart + kLeaveDelay;
  for (uint32_t bucket = 0; bucket < leaving->bucket_count(); ++bucket) {
    if (before->OldestOwner(bucket) != 2) {
      CHECK(leaving->OwnerChanges(bucket).empty());
      continue;
    }
    // Existing flows stay until the upstream leaves; new flows have no owner
    // until then.
    CHECK(leaving->OwnerOfUnrecorded(bucket, kStart) == 2);
    CHECK(leaving->OwnerOfNewFlows(bucket, kStart) == kNoUpstream);
    CHECK(leaving->OwnerOfUnrecorded(bucket, left) != 2);
    CHECK(leaving->OwnerOfNewFlows(bucket, left) ==
          leaving->OwnerOfUnrecorded(bucket, left));
  }
  CHECK_FALSE(NextPlan(&*leaving, MakeDesiredService(weights), TimingAt(left)));
  const auto settled = NextPlan(&*leaving, MakeDesiredService(weights),
                                TimingAt(left + kUpstreamRemovalDelay));
  REQUIRE(settled);
  CHECK(settled->owner_change_count() == 0);
  CHECK(settled->FindUpstream(2) == nullptr);
  CHECK(OwnersOfNewFlows(*settled, left).size() == 2);
}

TEST_CASE("an upstream that returns while it is leaving gets a new id") {
  const auto before =
      NextPlan(nullptr, MakeDesiredService(EqualWeights(3)), TimingAt(kStart));
  auto weights = EqualWeights(3);
  weights.erase(2);
  const auto leaving =
      NextPlan(&*before, MakeDesiredService(weights), TimingAt(kStart));
  const auto returned = NextPlan(&*leaving, MakeDesiredService(EqualWeights(3)),
                                 TimingAt(kStart + kLeaveDelay));
  REQUIRE(returned);
  CHECK(returned->FindUpstream(2)->is_leaving());
  CHECK(returned->FindUpstream(4)->name == "u2");
}

TEST_CASE("without a serving upstream new flows have no owner") {
  const auto before =
      NextPlan(nullptr, MakeDesiredService(EqualWeights(1)), TimingAt(kStart));
  const auto drained =
      NextPlan(&*before, MakeDesiredService({{1, 0}}), TimingAt(kStart));
  REQUIRE(drained);
  const TimePoint later = kStart + kAnnounce;
  CHECK(drained->OldestOwner(0) == 1);
  CHECK(drained->OwnerOfNewFlows(0, later) == kNoUpstream);
  CHECK_FALSE(
      NextPlan(&*drained, MakeDesiredService({{1, 0}}), TimingAt(later)));
  const auto returned = NextPlan(
      &*drained, MakeDesiredService({{1, 0}, {2, 1}}), TimingAt(later));
  REQUIRE(returned);
  CHECK(returned->OldestOwner(0) == 1);
  CHECK(returned->OwnerOfNewFlows(0, later) == kNoUpstream);
  CHECK(returned->OwnerOfNewFlows(0, later + kAnnounce) == 2);
}

TEST_CASE("an upstream that returns at another address gets a new id") {
  const auto before =
      NextPlan(nullptr, MakeDesiredService(EqualWeights(2)), TimingAt(kStart));
  DesiredService desired = MakeDesiredService(EqualWeights(2));
  desired.upstreams[0].address.port = 444;
  const auto after = NextPlan(&*before, desired, TimingAt(kStart));
  REQUIRE(after);
  CHECK(after->FindUpstream(1)->is_leaving());
  CHECK(after->FindUpstream(3) != nullptr);
}

// Checks the properties that steering relies on for any sequence of desired
// states.
TEST_CASE("plans keep their properties over any changes") {
  CHECK(rc::check([](const std::vector<std::map<uint8_t, uint8_t>>& goals) {
    std::optional<ServicePlan> plan;
    TimePoint now = kStart;
    for (const auto& raw : goals) {
      std::map<int, uint32_t> weights;
      for (const auto& [number, weight] : raw) {
        weights[1 + number % 9] = weight % 4;
      }
      now += std::chrono::milliseconds(700);
      const ServicePlan* previous = plan ? &*plan : nullptr;
      const auto next =
          NextPlan(previous, MakeDesiredService(weights), TimingAt(now));
      if (!next) {
        continue;
      }
      RC_ASSERT(next ==
                NextPlan(previous, MakeDesiredService(weights), TimingAt(now)));
      RC_ASSERT(ServicePlanFromJson(ToJson(*next), "test") == *next);
      const TimePoint later = now + kAnnounce;
      for (uint32_t bucket = 0; bucket < next->bucket_count(); ++bucket) {
        const UpstreamId owner = next->OwnerOfNewFlows(bucket, later);
        const PlannedUpstream* upstream = next->FindUpstream(owner);
        const bool takes_new_flows =
            owner == kNoUpstream || (upstream != nullptr && upstream->weight);
        RC_ASSERT(takes_new_flows);
        if (previous == nullptr) {
          continue;
        }
        // An oldest owner that is still in the plan stays the oldest owner.
        const OwnerChain old = previous->Chain(bucket);
        const OwnerChain chain = next->Chain(bucket);
        if (next->FindUpstream(old.oldest_owner) != nullptr) {
          RC_ASSERT(chain.oldest_owner == old.oldest_owner);
        }
      }
      plan = next;
    }
  }));
}

}  // namespace
}  // namespace poplarsail::steering
