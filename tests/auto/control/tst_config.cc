#include <catch2/catch.hpp>

#include <algorithm>

#include "control/control.h"
#include "standins/memory_object_store.h"

namespace poplarsail::control {
namespace {

using model::Object;
using objects::WatchEvent;
using objects::WatchEventType;

const model::TimePoint kNow = model::FromUnixMillis(1'700'000'000'000);

Object Make(const std::string& kind,
            const std::string& name,
            nlohmann::json spec,
            uint64_t version = 0) {
  Object object;
  object.key = {kind, name};
  object.spec = std::move(spec);
  object.status = nlohmann::json::object();
  object.resource_version = version;
  return object;
}

Object Domain(const std::string& state, uint64_t version) {
  return Make("FailureDomain", "regina", {{"state", state}}, version);
}

Object ServiceObject() {
  return Make("Service", "tally", {{"address", "203.0.113.10:443"}});
}

Object UpstreamObject(const std::string& name, int number) {
  return Make("Upstream", name,
              {{"service", "tally"},
               {"address", "192.0.2." + std::to_string(number) + ":443"},
               {"failureDomain", number % 2 == 0 ? "regina" : "brandon"}});
}

steering::PlanTiming Timing() {
  return {kNow, kNow + std::chrono::milliseconds(2'500),
          kNow + std::chrono::milliseconds(1'000)};
}

TEST_CASE("no event puts an older object in force") {
  struct Case {
    WatchEvent event;
    ApplyResult expected;
    bool is_out;
  };
  ConfigState config;
  const std::vector<Case> cases = {
      {{WatchEventType::kPut, Domain("out", 5)}, ApplyResult::kApplied, true},
      {{WatchEventType::kPut, Domain("in", 4)}, ApplyResult::kStale, true},
      {{WatchEventType::kPut, Domain("in", 5)}, ApplyResult::kStale, true},
      {{WatchEventType::kDeleted, Domain("in", 3)}, ApplyResult::kStale, true},
      {{WatchEventType::kPut, Domain("sideways", 6)},
       ApplyResult::kInvalid,
       true},
      {{WatchEventType::kPut, Domain("in", 7)}, ApplyResult::kApplied, false},
      {{WatchEventType::kDeleted, Domain("in", 8)},
       ApplyResult::kApplied,
       false},
  };
  for (const Case& item : cases) {
    CHECK(config.Apply(item.event) == item.expected);
    CHECK(config.IsDomainEvacuated("regina") == item.is_out);
  }
  CHECK(config.version() == 8);
}

TEST_CASE("a refused object names its reason and keeps the last good one") {
  ConfigState config;
  config.Apply({WatchEventType::kPut, Domain("out", 1)});
  config.Apply({WatchEventType::kPut, Domain("sideways", 2)});
  const auto reason = config.refused().at({"FailureDomain", "regina"});
  CHECK_THAT(reason, Catch::Contains("FailureDomain/regina") &&
                         Catch::Contains("\"state\"") &&
                         Catch::Contains("is not one of: in, out"));
  config.Apply({WatchEventType::kPut, Domain("in", 3)});
  CHECK(config.refused().empty());
}

TEST_CASE("a list that is older than what is known is ignored as a whole") {
  ConfigState config;
  config.Apply({WatchEventType::kPut, Domain("out", 9)});
  CHECK(config.ReplaceAll({7, {}}) == ApplyResult::kStale);
  CHECK(config.IsDomainEvacuated("regina"));
  CHECK(config.ReplaceAll({10, {}}) == ApplyResult::kApplied);
  CHECK_FALSE(config.IsDomainEvacuated("regina"));
}

TEST_CASE("upstreams of a domain that is out leave the goal") {
  standins::MemoryObjectStore store;
  store.Put(ServiceObject());
  store.Put(UpstreamObject("u1", 1));
  store.Put(UpstreamObject("u2", 2));
  store.Put(Domain("out", 0));
  ConfigState config;
  config.ReplaceAll(store.List(""));
  const auto goal = config.GoalFor(config.services().at("tally"));
  REQUIRE(goal.upstreams.size() == 1);
  CHECK(goal.upstreams[0].name == "u1");
  CHECK(config.RequestUpstreamsFor("tally").size() == 1);
}

TEST_CASE("two planners that race write one plan") {
  standins::MemoryObjectStore store;
  store.Put(ServiceObject());
  store.Put(UpstreamObject("u1", 1));
  ConfigState first;
  ConfigState second;
  first.ReplaceAll(store.List(""));
  second.ReplaceAll(store.List(""));
  const auto& service = first.services().at("tally");
  const auto plan = NextPlanObject(first, service, 1, Timing());
  const auto other = NextPlanObject(second, service, 2, Timing());
  REQUIRE(plan);
  REQUIRE(other);
  const Object stored = objects::PutWithReadBack(&store, *plan, 3);
  CHECK_THROWS_AS(objects::PutWithReadBack(&store, *other, 3),
                  objects::ConflictError);
  second.Apply({WatchEventType::kPut, stored});
  CHECK_FALSE(NextPlanObject(second, service, 2, Timing()));
}

TEST_CASE("a plan whose answer was lost is not written twice") {
  standins::MemoryObjectStore store;
  store.Put(ServiceObject());
  store.Put(UpstreamObject("u1", 1));
  ConfigState config;
  config.ReplaceAll(store.List(""));
  const auto plan =
      NextPlanObject(config, config.services().at("tally"), 1, Timing());
  store.faults().lose_answers = 1;
  const Object stored = objects::PutWithReadBack(&store, *plan, 3);
  CHECK(store.version() == stored.resource_version);
  CHECK(stored.generation == 1);
}

TEST_CASE("a plan of an older generation does not replace a newer one") {
  ConfigState config;
  standins::MemoryObjectStore store;
  store.Put(ServiceObject());
  store.Put(UpstreamObject("u1", 1));
  config.ReplaceAll(store.List(""));
  const auto& service = config.services().at("tally");
  auto plan = *NextPlanObject(config, service, 1, Timing());
  plan.resource_version = 10;
  plan.spec["generation"] = 7;
  config.Apply({WatchEventType::kPut, plan});
  plan.resource_version = 11;
  plan.spec["generation"] = 6;
  config.Apply({WatchEventType::kPut, plan});
  CHECK(config.plans().at("tally")->generation() == 7);
}

TEST_CASE("a malformed plan is refused and named") {
  ConfigState config;
  const std::vector<nlohmann::json> specs = {
      {},
      {{"address", "nowhere"}},
      {{"address", "192.0.2.1:1"}, {"chains", 3}}};
  uint64_t version = 1;
  for (const auto& spec : specs) {
    CHECK(config.Apply(
              {WatchEventType::kPut, Make("Plan", "tally", spec, version++)}) ==
          ApplyResult::kInvalid);
  }
  CHECK(config.plans().empty());
  CHECK(config.refused().contains({"Plan", "tally"}));
}

TEST_CASE("one live host plans a service, whatever the order of the list") {
  const PlannerAssignment choice({"e1", "e2", "e3", "e4"});
  const PlannerAssignment reversed({"e4", "e3", "e2", "e1"});
  for (const std::string service : {"tally", "archive", "receipts"}) {
    CHECK_FALSE(choice.PlannerOf(service).empty());
    CHECK(choice.PlannerOf(service) == reversed.PlannerOf(service));
  }
  CHECK(PlannerAssignment({}).PlannerOf("tally").empty());
}

TEST_CASE("hosts keep records only when they said so") {
  ConfigState config;
  Object host =
      Make("EntryHost", "e1",
           {{"address", "127.0.0.1"}, {"failureDomain", "regina"}}, 1);
  config.Apply({WatchEventType::kPut, host});
  CHECK(steering::ReplicaHostsAt(config.Members(1), kNow).empty());
  host.resource_version = 2;
  host.status[kReplicaFromKey] = model::ToUnixMillis(kNow);
  config.Apply({WatchEventType::kPut, host});
  CHECK(steering::ReplicaHostsAt(config.Members(1), kNow).size() == 1);
  host.resource_version = 3;
  host.status[kReplicaUntilKey] = model::ToUnixMillis(kNow) + 1;
  config.Apply({WatchEventType::kPut, host});
  CHECK(steering::ReplicaHostsAt(config.Members(1), kNow).size() == 1);
  CHECK(steering::ReplicaHostsAt(config.Members(1),
                            kNow + std::chrono::milliseconds(1))
            .empty());
}

}  // namespace
}  // namespace poplarsail::control
