#include <catch2/catch.hpp>

#include <rapidcheck.h>

#include <map>
#include <nlohmann/json.hpp>

#include "steering/steering.h"

namespace poplarsail::steering {
namespace {

const TimePoint kStart = model::FromUnixMillis(1'000'000);
constexpr std::chrono::milliseconds kAnnounce{2'500};

constexpr std::chrono::milliseconds kLeave{1'000};

PlanTiming At(TimePoint now) {
  return {now, now + kAnnounce, now + kLeave};
}

DesiredService GoalOf(const std::map<int, uint32_t>& weights) {
  DesiredService goal;
  goal.service = "tally";
  goal.address = *model::ParseEndpoint("203.0.113.10:443");
  for (const auto& [number, weight] : weights) {
    goal.upstreams.push_back(
        {"u" + std::to_string(number),
         *model::ParseEndpoint("192.0.2." + std::to_string(number) + ":443"),
         "d" + std::to_string(number % 3), weight});
  }
  return goal;
}

std::map<int, uint32_t> Equal(int count) {
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

TEST_CASE("the first plan shares buckets evenly and has no links") {
  const auto plan = NextPlan(nullptr, GoalOf(Equal(14)), At(kStart));
  REQUIRE(plan);
  CHECK(plan->link_count() == 0);
  for (const auto& [id, count] : OwnersOfNewFlows(*plan, kStart)) {
    CHECK(count >= 36);
    CHECK(count <= 37);
  }
  CHECK_FALSE(NextPlan(&*plan, GoalOf(Equal(14)), At(kStart)));
}

TEST_CASE("a drain moves the upstream's buckets only, after the announcement") {
  const auto before = NextPlan(nullptr, GoalOf(Equal(14)), At(kStart));
  auto weights = Equal(14);
  weights[1] = 0;
  const auto after = NextPlan(&*before, GoalOf(weights), At(kStart));
  REQUIRE(after);
  CHECK(after->generation() == 2);
  for (uint32_t bucket = 0; bucket < after->bucket_count(); ++bucket) {
    CHECK(after->OldestOwner(bucket) == before->OldestOwner(bucket));
    CHECK(after->OwnerChanges(bucket).empty() == (before->OldestOwner(bucket) != 1));
    CHECK(after->OwnerOfNewFlows(bucket, kStart) == before->OldestOwner(bucket));
    CHECK(after->OwnerOfNewFlows(bucket, kStart + kAnnounce) != 1);
  }
}

TEST_CASE("an added upstream takes its share and no more") {
  const auto before = NextPlan(nullptr, GoalOf(Equal(14)), At(kStart));
  const auto after = NextPlan(&*before, GoalOf(Equal(15)), At(kStart));
  REQUIRE(after);
  CHECK(after->link_count() == 512 / 15);
}

TEST_CASE("a gone upstream leaves the chains in two steps") {
  const auto before = NextPlan(nullptr, GoalOf(Equal(3)), At(kStart));
  auto weights = Equal(3);
  weights.erase(2);
  const auto leaving = NextPlan(&*before, GoalOf(weights), At(kStart));
  REQUIRE(leaving);
  const TimePoint left = kStart + kLeave;
  for (uint32_t bucket = 0; bucket < leaving->bucket_count(); ++bucket) {
    if (before->OldestOwner(bucket) != 2) {
      CHECK(leaving->OwnerChanges(bucket).empty());
      continue;
    }
    // Old flows stay until the deadline; new ones wait for it.
    CHECK(leaving->OwnerOfUnrecorded(bucket, kStart) == 2);
    CHECK(leaving->OwnerOfNewFlows(bucket, kStart) == kNoUpstream);
    CHECK(leaving->OwnerOfUnrecorded(bucket, left) != 2);
    CHECK(leaving->OwnerOfNewFlows(bucket, left) ==
          leaving->OwnerOfUnrecorded(bucket, left));
  }
  CHECK_FALSE(NextPlan(&*leaving, GoalOf(weights), At(left)));
  const auto settled =
      NextPlan(&*leaving, GoalOf(weights), At(left + kLeavingSettle));
  REQUIRE(settled);
  CHECK(settled->link_count() == 0);
  CHECK(settled->FindUpstream(2) == nullptr);
  CHECK(OwnersOfNewFlows(*settled, left).size() == 2);
}

TEST_CASE("an upstream that returns while it leaves is a new one") {
  const auto before = NextPlan(nullptr, GoalOf(Equal(3)), At(kStart));
  auto weights = Equal(3);
  weights.erase(2);
  const auto leaving = NextPlan(&*before, GoalOf(weights), At(kStart));
  const auto returned =
      NextPlan(&*leaving, GoalOf(Equal(3)), At(kStart + kLeave));
  REQUIRE(returned);
  CHECK(returned->FindUpstream(2)->is_leaving());
  CHECK(returned->FindUpstream(4)->name == "u2");
}

TEST_CASE("without a serving upstream new flows have no owner") {
  const auto before = NextPlan(nullptr, GoalOf(Equal(1)), At(kStart));
  const auto drained = NextPlan(&*before, GoalOf({{1, 0}}), At(kStart));
  REQUIRE(drained);
  const TimePoint later = kStart + kAnnounce;
  CHECK(drained->OldestOwner(0) == 1);
  CHECK(drained->OwnerOfNewFlows(0, later) == kNoUpstream);
  CHECK_FALSE(NextPlan(&*drained, GoalOf({{1, 0}}), At(later)));
  const auto returned =
      NextPlan(&*drained, GoalOf({{1, 0}, {2, 1}}), At(later));
  REQUIRE(returned);
  CHECK(returned->OldestOwner(0) == 1);
  CHECK(returned->OwnerOfNewFlows(0, later) == kNoUpstream);
  CHECK(returned->OwnerOfNewFlows(0, later + kAnnounce) == 2);
}

TEST_CASE("an upstream reborn at another address is a new one") {
  const auto before = NextPlan(nullptr, GoalOf(Equal(2)), At(kStart));
  DesiredService goal = GoalOf(Equal(2));
  goal.upstreams[0].address.port = 444;
  const auto after = NextPlan(&*before, goal, At(kStart));
  REQUIRE(after);
  CHECK(after->FindUpstream(1)->is_leaving());
  CHECK(after->FindUpstream(3) != nullptr);
}

// Any sequence of goals keeps what steering relies on.
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
      const auto next = NextPlan(previous, GoalOf(weights), At(now));
      if (!next) {
        continue;
      }
      RC_ASSERT(next == NextPlan(previous, GoalOf(weights), At(now)));
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
        // An owner that is still there keeps its recorded flows.
        const BucketChain old = previous->Chain(bucket);
        const BucketChain chain = next->Chain(bucket);
        if (next->FindUpstream(old.base) != nullptr) {
          RC_ASSERT(chain.base == old.base);
        }
      }
      plan = next;
    }
  }));
}

}  // namespace
}  // namespace poplarsail::steering
